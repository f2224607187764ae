#include "gateway/impl/TurnRows.h"

#include "core/Hash.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway::impl {

namespace {

/// \brief Keys of pieces have two digits; with rows of 48 KB the pieces hold more than the 4 MB limit of request
/// bodies.
constexpr std::size_t maxPieces = 99;
/// \brief Size of an encoded piece in addition to its data.
constexpr std::size_t pieceOverheadBytes = 32;
constexpr char pieceSeparator = '~';
/// \brief Maximum length of an id that is used as a key unchanged; the store accepts keys of up to 200 bytes.
constexpr std::size_t maxRawIdBytes = 150;

/// \brief The id, or its digest if the id cannot be used as a key.
std::string rowKeyText(const std::string& id)
{
    const bool usable = id.size() <= maxRawIdBytes && id.find(pieceSeparator) == std::string::npos;
    return usable ? id : core::digestHex(id);
}

std::string pieceKey(const std::string& id, std::size_t piece)
{
    const auto number = std::to_string(piece);
    return rowKeyText(id) + pieceSeparator + (number.size() < 2 ? "0" : "") + number;
}

bool isPiece(const std::string& key)
{
    return key.find(pieceSeparator) != std::string::npos;
}

Row pieceRow(const Turn& turn, std::size_t number, std::string_view data, const TableParts& tableParts)
{
    wire::TurnPiece piece;
    piece.set_data(data.data(), data.size());
    piece.set_kept_until_ms(turn.keptUntilMs);
    auto key = turnKey(turn.id, tableParts);
    key.key = pieceKey(turn.id, number);
    return { std::move(key), piece.SerializeAsString(), 0, false };
}

std::vector<Row> encodePieces(const Turn& turn, std::size_t rowBytes, const TableParts& tableParts)
{
    wire::TurnTexts texts;
    texts.set_input(turn.input);
    texts.set_output(turn.output);
    const auto text = texts.SerializeAsString();
    const auto pieceBytes = rowBytes - pieceOverheadBytes;
    std::vector<Row> rows;
    for (std::size_t at = 0; at < text.size(); at += pieceBytes)
        rows.push_back(pieceRow(turn, rows.size() + 1, std::string_view(text).substr(at, pieceBytes), tableParts));
    return rows;
}

std::optional<wire::TurnTexts> decodePieces(const std::string& id, std::size_t count, const std::vector<Row>& rows)
{
    std::string text;
    std::size_t next = 1;
    for (const auto& row : rows) {
        wire::TurnPiece piece;
        if (next > count || row.key.key != pieceKey(id, next) || !piece.ParseFromString(row.value))
            continue;
        text.append(piece.data());
        ++next;
    }
    wire::TurnTexts texts;
    if (next != count + 1 || !texts.ParseFromString(text))
        return std::nullopt;
    return texts;
}

} // namespace

RowKey turnKey(const std::string& id, const TableParts& tableParts)
{
    return { turnTable, tableParts.partOf(id), rowKeyText(id) };
}

std::string turnRangeEnd(const std::string& id)
{
    return rowKeyText(id) + pieceSeparator + pieceSeparator;
}

wire::TurnRecord encodeRecord(const Turn& turn)
{
    wire::TurnRecord record;
    for (const auto& each : turn.ancestors)
        record.add_ancestors(each);
    record.set_kept_until_ms(turn.keptUntilMs);
    record.set_input(turn.input);
    record.set_output(turn.output);
    return record;
}

std::shared_ptr<const Turn> decodeRecord(const std::string& id, const wire::TurnRecord& record)
{
    return std::make_shared<const Turn>(Turn { id, { record.ancestors().begin(), record.ancestors().end() },
        record.input(), record.output(), record.kept_until_ms() });
}

std::vector<Row> encodeTurn(const Turn& turn, std::size_t rowBytes, const TableParts& tableParts)
{
    auto record = encodeRecord(turn);
    std::vector<Row> rows;
    if (record.ByteSizeLong() > rowBytes) {
        rows = encodePieces(turn, rowBytes, tableParts);
        record.clear_input();
        record.clear_output();
        record.set_pieces(static_cast<std::uint32_t>(rows.size()));
    }
    if (rows.size() > maxPieces || record.ByteSizeLong() > rowBytes)
        return {};
    rows.push_back({ turnKey(turn.id, tableParts), record.SerializeAsString(), 0, false });
    return rows;
}

std::shared_ptr<const Turn> decodeTurn(const std::string& id, const std::vector<Row>& rows)
{
    wire::TurnRecord record;
    if (rows.empty() || rows.front().key.key != rowKeyText(id) || !record.ParseFromString(rows.front().value))
        return nullptr;
    if (record.pieces() > 0) {
        const auto texts = decodePieces(id, record.pieces(), rows);
        if (!texts)
            return nullptr;
        record.set_input(texts->input());
        record.set_output(texts->output());
    }
    return decodeRecord(id, record);
}

std::optional<std::uint64_t> turnKeptUntilMs(const Row& row)
{
    if (isPiece(row.key.key)) {
        wire::TurnPiece piece;
        return piece.ParseFromString(row.value) ? std::optional(piece.kept_until_ms()) : std::nullopt;
    }
    wire::TurnRecord record;
    return record.ParseFromString(row.value) ? std::optional(record.kept_until_ms()) : std::nullopt;
}

} // namespace lagoontiller::gateway::impl
