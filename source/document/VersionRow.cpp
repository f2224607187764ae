#include "document/VersionRow.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lagoontiller::document {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t versionDigits = 10;

template <typename Row, typename Read> core::Expected<Row> decode(std::string_view value, Read read)
{
    try {
        return read(ordered_json::parse(value));
    } catch (const nlohmann::json::exception& exception) {
        return core::failure(core::ResultCode::Internal, std::string("malformed document row: ") + exception.what());
    }
}

ordered_json parsedDifference(const std::string& text)
{
    return text.empty() ? ordered_json::array() : ordered_json::parse(text);
}

} // namespace

std::string versionRowKey(DocumentVersion version)
{
    const auto digits = std::to_string(version);
    const auto padding = versionDigits - std::min(versionDigits, digits.size());
    return "document/version/" + std::string(padding, '0') + digits;
}

std::string encode(const CurrentRow& row)
{
    return ordered_json { { "version", row.version }, { "id", row.acceptanceId } }.dump();
}

std::string encode(const VersionRow& row)
{
    return ordered_json {
        { "version", row.version }, { "base", row.base }, { "author", row.author }, { "time_ms", row.unixMs },
        { "id", row.acceptanceId }, { "difference", parsedDifference(row.differenceJson) }, { "text", row.text }
    }.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

core::Expected<CurrentRow> decodeCurrentRow(std::string_view value)
{
    return decode<CurrentRow>(value, [](const ordered_json& json) {
        return CurrentRow { json.at("version").get<DocumentVersion>(), json.at("id").get<std::string>() };
    });
}

core::Expected<VersionRow> decodeVersionRow(std::string_view value)
{
    return decode<VersionRow>(value, [](const ordered_json& json) {
        return VersionRow {
            .version = json.at("version").get<DocumentVersion>(),
            .base = json.at("base").get<DocumentVersion>(),
            .text = json.at("text").get<std::string>(),
            .author = json.at("author").get<std::string>(),
            .unixMs = json.at("time_ms").get<std::int64_t>(),
            .acceptanceId = json.at("id").get<std::string>(),
            .differenceJson = json.at("difference").dump(),
        };
    });
}

} // namespace lagoontiller::document
