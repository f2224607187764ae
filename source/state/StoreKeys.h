#pragma once

#include "core/Identifiers.h"
#include "proto/records.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::state {

/// \brief Key prefix of all ownership rows.
inline constexpr std::string_view ownerPrefix = "owner/";

[[nodiscard]] std::string ownerKey(core::PartitionId partition);
/// \brief Partition of an ownership row's key; empty when the key is malformed.
[[nodiscard]] std::optional<core::PartitionId> partitionOfOwnerKey(std::string_view key);

/// \brief Key prefix of all log rows of a stream. Stream names must not contain `/`.
[[nodiscard]] std::string logPrefix(std::string_view stream);
/// \brief Key of a log row. The sequence is padded to 20 digits, so that keys sort by sequence.
[[nodiscard]] std::string logKey(std::string_view stream, std::uint64_t sequence);
/// \brief Sequence of a log row's key; empty when the key is malformed.
[[nodiscard]] std::optional<std::uint64_t> sequenceOfLogKey(std::string_view key);

/// \brief Key of the object that holds a batch too large for its log row.
[[nodiscard]] std::string logObjectKey(std::string_view stream, std::uint64_t sequence, std::string_view batchId);
/// \brief Key of a snapshot object. Every attempt uses another `nonce`, so that no snapshot is overwritten.
[[nodiscard]] std::string snapshotObjectKey(
    core::PartitionId partition, core::Epoch epoch, std::uint64_t sequence, std::string_view nonce);

/// \brief Value of a log row: the batch id with either the batch itself or the key of the object that holds it.
struct LogRow {
    std::string batchId;
    /// \brief Serialised batch; empty when `object` is set.
    std::string batch;
    /// \brief Key of the object that holds the batch; empty when the row holds it.
    std::string object;
    [[nodiscard]] bool operator==(const LogRow&) const = default;
};

[[nodiscard]] std::string encodeLogRow(const LogRow& row);
/// \brief Empty when the value is malformed.
[[nodiscard]] std::optional<LogRow> decodeLogRow(std::string_view value);

} // namespace lagoontiller::state
