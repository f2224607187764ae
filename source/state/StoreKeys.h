#pragma once

#include "core/Identifiers.h"
#include "proto/records.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::state {

/// \brief Prefix of all ownership rows.
inline constexpr std::string_view ownerPrefix = "owner/";

[[nodiscard]] std::string ownerKey(core::PartitionId partition);
[[nodiscard]] std::optional<core::PartitionId> partitionOfOwnerKey(std::string_view key);

/// \brief Prefix of all rows of a stream. Stream names must not contain `/`.
[[nodiscard]] std::string logPrefix(std::string_view stream);
/// \brief Key of a log row; the sequence is padded to 20 digits so that key order is sequence order.
[[nodiscard]] std::string logKey(std::string_view stream, std::uint64_t sequence);
[[nodiscard]] std::optional<std::uint64_t> sequenceOfLogKey(std::string_view key);

[[nodiscard]] std::string logObjectKey(std::string_view stream, std::uint64_t sequence, std::string_view batchId);
/// \brief Objects under this prefix are never overwritten: `nonce` differs between two attempts.
[[nodiscard]] std::string snapshotObjectKey(
    core::PartitionId partition, core::Epoch epoch, std::uint64_t sequence, std::string_view nonce);

/// \brief Value of a log row: the batch itself, or the object that holds it. The batch id is readable in both cases.
struct LogRow {
    std::string batchId;
    /// \brief Serialised batch; empty when `object` is set.
    std::string batch;
    std::string object;
    [[nodiscard]] bool operator==(const LogRow&) const = default;
};

[[nodiscard]] std::string encodeLogRow(const LogRow& row);
/// \brief Empty when the value is malformed.
[[nodiscard]] std::optional<LogRow> decodeLogRow(std::string_view value);

} // namespace lagoontiller::state
