#include "state/StoreKeys.h"

#include <charconv>
#include <fmt/format.h>

namespace lagoontiller::state {

namespace {

constexpr char inlineTag = 'B';
constexpr char objectTag = 'O';

template <typename Number> std::optional<Number> parse(std::string_view digits)
{
    Number number = 0;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, number);
    if (digits.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string ownerKey(core::PartitionId partition)
{
    return fmt::format("{}{:05}", ownerPrefix, partition);
}

std::optional<core::PartitionId> partitionOfOwnerKey(std::string_view key)
{
    if (!key.starts_with(ownerPrefix)) {
        return std::nullopt;
    }
    return parse<core::PartitionId>(key.substr(ownerPrefix.size()));
}

std::string logPrefix(std::string_view stream)
{
    return fmt::format("log/{}/", stream);
}

std::string logKey(std::string_view stream, std::uint64_t sequence)
{
    return fmt::format("log/{}/{:020}", stream, sequence);
}

std::optional<std::uint64_t> sequenceOfLogKey(std::string_view key)
{
    const auto slash = key.rfind('/');
    if (!key.starts_with("log/") || slash == std::string_view::npos) {
        return std::nullopt;
    }
    return parse<std::uint64_t>(key.substr(slash + 1));
}

std::string logObjectKey(std::string_view stream, std::uint64_t sequence, std::string_view batchId)
{
    return fmt::format("log/{}/{:020}-{}", stream, sequence, batchId);
}

std::string snapshotObjectKey(
    core::PartitionId partition, core::Epoch epoch, std::uint64_t sequence, std::string_view nonce)
{
    return fmt::format("snapshot/{:05}/{}-{}-{}", partition, epoch, sequence, nonce);
}

std::string encodeLogRow(const LogRow& row)
{
    const bool byObject = !row.object.empty();
    return fmt::format("{}{}\n{}", byObject ? objectTag : inlineTag, row.batchId, byObject ? row.object : row.batch);
}

std::optional<LogRow> decodeLogRow(std::string_view value)
{
    const auto end = value.find('\n');
    if (end == std::string_view::npos || (value.front() != inlineTag && value.front() != objectTag)) {
        return std::nullopt;
    }
    LogRow row { .batchId = std::string(value.substr(1, end - 1)), .batch = {}, .object = {} };
    (value.front() == objectTag ? row.object : row.batch) = std::string(value.substr(end + 1));
    return row;
}

} // namespace lagoontiller::state
