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

/// \brief Log rows that no ownership row refers to any more, so that they may be deleted.
///
/// Rows of other streams count only after a complete scan of the ownership rows that started after they were read:
/// a partition that has entries in such a row shows its reference in that scan.
class LogReferences {
public:
    static constexpr std::uint64_t noReference = std::numeric_limits<std::uint64_t>::max();

    void onScanStarted();
    void onScanCompleted();
    /// \brief Rows read during recovery, by stream.
    void addReadKeys(const std::map<std::string, std::set<std::string>>& keys);
    /// \brief Replaces the references of one partition.
    void setRow(core::PartitionId partition, const records::OwnerRow& row);
    /// \brief Lowest sequence of the stream that some partition refers to.
    [[nodiscard]] std::uint64_t lowestSequence(const std::string& stream) const;

    /// \brief Up to `most` deletable keys of other streams.
    [[nodiscard]] std::vector<std::string> deletableKeys(std::size_t limit) const;
    void onDeleted(const std::vector<std::string>& keys);

private:
    using Keys = std::map<std::string, std::set<std::string>>;
    std::map<core::PartitionId, std::map<std::string, std::uint64_t>> references;
    Keys readSinceScanStart;
    Keys readBeforeScan;
    Keys confirmedByScan;
};

} // namespace lagoontiller::state::impl
