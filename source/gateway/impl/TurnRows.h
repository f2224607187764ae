#pragma once

#include "gateway/TurnStore.h"

namespace lagoontiller::gateway::wire {
class TurnRecord;
}

/// \brief Turns as records, for rows of the store and for messages between nodes.
namespace lagoontiller::gateway::impl {

/// \brief Parts over which turns are spread; the store runs 300 transactions a second and part.
inline constexpr std::uint64_t turnPartCount = 16;
inline constexpr auto turnTable = "turns";

/// \brief The whole turn in one record.
[[nodiscard]] wire::TurnRecord encodeRecord(const Turn& turn);
/// \brief The turn of a record that has its texts.
[[nodiscard]] std::shared_ptr<const Turn> decodeRecord(const std::string& id, const wire::TurnRecord& record);
/// \brief Place of the turn's first row, by which it is found.
[[nodiscard]] RowKey turnKey(const std::string& id);
/// \brief Key behind the last row of the turn.
[[nodiscard]] std::string turnRangeEnd(const std::string& id);
/// \brief The rows of the turn, the first row last: a turn exists once that one is written. Nothing when the turn is
/// too large.
[[nodiscard]] std::vector<Row> encodeTurn(const Turn& turn, std::size_t rowBytes);
/// \brief The turn; null when its rows cannot be read.
[[nodiscard]] std::shared_ptr<const Turn> decodeTurn(const std::string& id, const std::vector<Row>& rows);
/// \brief Time of the store's clock in ms until which any row of the table of turns is kept.
[[nodiscard]] std::optional<std::uint64_t> turnKeptUntilMs(const Row& row);

} // namespace lagoontiller::gateway::impl
