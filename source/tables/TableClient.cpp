#include "tables/TableClient.h"

#include "core/Encoding.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::tables {

namespace {

using nlohmann::json;

constexpr auto requestTimeout = std::chrono::seconds(5);

std::string serializeTransaction(const Transaction& transaction)
{
    json body { { "token", transaction.token }, { "conditions", json::array() }, { "puts", json::array() },
        { "deletes", transaction.deletes } };
    for (const auto& condition : transaction.conditions)
        body["conditions"].push_back({ { "key", condition.key }, { "version", condition.version } });
    for (const auto& put : transaction.puts)
        body["puts"].push_back({ { "key", put.key }, { "value", core::encodeBase64(put.value) } });
    return body.dump();
}

core::Error unavailableError(const std::string& message)
{
    return core::Error(core::ResultCode::StoreUnavailable, message);
}

core::Error unknownOutcomeError(const std::string& message)
{
    return core::Error(core::ResultCode::StoreOutcomeUnknown, message, core::RunState::MayHaveRun);
}

core::Expected<TransactionReply> parseTransactionReply(
    const tl::expected<http::Response, http::ResponseFailure>& response)
{
    if (!response && response.error().kind == http::FailureKind::NotConnected)
        return tl::unexpected(unavailableError(response.error().message));
    if (!response)
        return tl::unexpected(unknownOutcomeError(response.error().message));
    if (response->status == 503 || response->status == 429)
        return tl::unexpected(unavailableError("table service returned status " + std::to_string(response->status)));
    const auto body = json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("committed") || !body["committed"].is_boolean())
        return tl::unexpected(unknownOutcomeError("table service returned status " + std::to_string(response->status)));
    try {
        TransactionReply reply;
        reply.committed = body["committed"];
        if (body.contains("versions"))
            reply.versions = body["versions"].get<std::map<std::string, RowVersion>>();
        if (body.contains("failed"))
            reply.failed = body["failed"].get<std::vector<std::string>>();
        return reply;
    } catch (const json::exception& error) {
        return tl::unexpected(unknownOutcomeError(error.what()));
    }
}

core::Expected<Row> parseRow(const json& body, const std::string& key)
{
    try {
        const auto value = core::decodeBase64(body.value("value", ""));
        if (!value)
            return tl::unexpected(unavailableError("table service sent a malformed row"));
        return Row { key, body.value("version", RowVersion(0)), *value };
    } catch (const json::exception& error) {
        return tl::unexpected(unavailableError(error.what()));
    }
}

core::Expected<std::optional<Row>> parseReadReply(
    const tl::expected<http::Response, http::ResponseFailure>& response, const std::string& key)
{
    if (!response)
        return tl::unexpected(unavailableError(response.error().message));
    if (response->status == 404)
        return std::optional<Row> {};
    const auto body = json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object())
        return tl::unexpected(unavailableError("table service returned status " + std::to_string(response->status)));
    auto row = parseRow(body, key);
    if (!row)
        return tl::unexpected(row.error());
    return std::optional<Row>(std::move(*row));
}

core::Expected<std::vector<Row>> parseScanReply(const tl::expected<http::Response, http::ResponseFailure>& response)
{
    if (!response)
        return tl::unexpected(unavailableError(response.error().message));
    const auto body = json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object() || !body.contains("rows") || !body["rows"].is_array())
        return tl::unexpected(unavailableError("table service returned status " + std::to_string(response->status)));
    std::vector<Row> rows;
    for (const auto& entry : body["rows"]) {
        const bool hasKey = entry.is_object() && entry.contains("key") && entry["key"].is_string();
        auto row = parseRow(entry, hasKey ? entry["key"].get<std::string>() : std::string());
        if (!row)
            return tl::unexpected(row.error());
        rows.push_back(std::move(*row));
    }
    return rows;
}

} // namespace

TableClient::TableClient(http::Client& client, std::string address)
    : client(client)
    , address(std::move(address))
{
}

http::Request TableClient::request(std::string method, const std::string& target, std::string body) const
{
    http::Request request;
    request.method = std::move(method);
    request.url = "http://" + this->address + target;
    request.body = std::move(body);
    request.connectTimeout = std::chrono::seconds(1);
    request.firstByteTimeout = requestTimeout;
    request.silenceTimeout = requestTimeout;
    return request;
}

void TableClient::transact(const Transaction& transaction, TransactionHandler handler) const
{
    auto request = this->request("POST", "/v1/transactions", serializeTransaction(transaction));
    this->client.fetch(std::move(request),
        [handler = std::move(handler)](const auto& response) { handler(parseTransactionReply(response)); });
}

void TableClient::read(const std::string& key, ReadHandler handler) const
{
    this->client.fetch(this->request("GET", "/v1/rows?key=" + core::encodeUrl(key), {}),
        [key, handler = std::move(handler)](const auto& response) { handler(parseReadReply(response, key)); });
}

void TableClient::scan(const std::string& prefix, const std::string& after, int limit, ScanHandler handler) const
{
    const auto target = "/v1/rows?prefix=" + core::encodeUrl(prefix) + "&after=" + core::encodeUrl(after)
        + "&limit=" + std::to_string(limit);
    this->client.fetch(this->request("GET", target, {}),
        [handler = std::move(handler)](const auto& response) { handler(parseScanReply(response)); });
}

} // namespace lagoontiller::tables
