#pragma once

#include "gateway/TurnStore.h"

namespace lagoontiller::gateway::wire {
class TurnRecord;
}

/// \brief Conversion of turns to and from records, for store rows and for messages between nodes.
namespace lagoontiller::gateway::impl {

inline constexpr auto turnTable = "turns";

/// \brief Encodes the complete turn as one record.
[[nodiscard]] wire::TurnRecord encodeRecord(const Turn& turn);
/// \brief Decodes a record that contains the texts of the turn.
[[nodiscard]] std::shared_ptr<const Turn> decodeRecord(const std::string& id, const wire::TurnRecord& record);
/// \brief Key of the turn's first row.
[[nodiscard]] RowKey turnKey(const std::string& id, const TableParts& tableParts);
/// \brief Exclusive end of the key range of the turn's rows.
[[nodiscard]] std::string turnRangeEnd(const std::string& id);
/// \brief Encodes the turn as rows, the first row last: the turn exists once that row is written. Empty if the turn is
/// too large.
[[nodiscard]] std::vector<Row> encodeTurn(const Turn& turn, std::size_t rowBytes, const TableParts& tableParts);
/// \brief Decodes the rows of a turn; null if they are incomplete or cannot be decoded.
[[nodiscard]] std::shared_ptr<const Turn> decodeTurn(const std::string& id, const std::vector<Row>& rows);
/// \brief Expiry of any row of the turns table in milliseconds of the store's clock; empty if the row cannot be
/// decoded.
[[nodiscard]] std::optional<std::uint64_t> turnKeptUntilMs(const Row& row);

} // namespace lagoontiller::gateway::impl
