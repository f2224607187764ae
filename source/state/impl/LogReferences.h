#pragma once

#include "core/Identifiers.h"
#include "proto/records.pb.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoontiller::state::impl {

/// \brief Tracks which log rows the ownership rows refer to, and finds the rows that may be deleted.
///
/// A row of another stream may be deleted only after a complete scan of the ownership rows that started after the row
/// was read: if a partition still has entries in the log row, that scan finds its reference.
class LogReferences {
public:
    /// \brief Result of `lowestSequence` without a reference, and end of a log range that is read up to its last row.
    static constexpr std::uint64_t noReference = std::numeric_limits<std::uint64_t>::max();

    void onScanStarted();
    void onScanCompleted();
    /// \brief Adds the keys of log rows that recovery read, by stream.
    void addReadKeys(const std::map<std::string, std::set<std::string>>& keys);
    /// \brief Replaces the references of one partition.
    void setRow(core::PartitionId partition, const records::OwnerRow& row);
    /// \brief Lowest sequence of the stream that a partition refers to; `noReference` when none does.
    [[nodiscard]] std::uint64_t lowestSequence(const std::string& stream) const;

    /// \brief Up to `limit` keys of log rows, added by `addReadKeys`, that may be deleted.
    [[nodiscard]] std::vector<std::string> deletableKeys(std::size_t limit) const;
    void onDeleted(const std::vector<std::string>& keys);

private:
    using Keys = std::map<std::string, std::set<std::string>>;
    std::map<core::PartitionId, std::map<std::string, std::uint64_t>> references;
    /// \brief Added since the latest scan started, or before any scan.
    Keys readSinceScanStart;
    /// \brief Added before the running scan started.
    Keys readBeforeScan;
    /// \brief Added before a scan that is complete.
    Keys confirmedByScan;
};

} // namespace lagoontiller::state::impl
