#include "tables/TableClient.h"

#include "core/Encoding.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::tables {

namespace {

using nlohmann::json;

constexpr auto operationTimeout = std::chrono::seconds(5);

std::string transactionBody(const Transaction& transaction)
{
    json body { { "token", transaction.token }, { "conditions", json::array() }, { "puts", json::array() },
        { "deletes", transaction.deletes } };
    for (const auto& condition : transaction.conditions)
        body["conditions"].push_back({ { "key", condition.key }, { "version", condition.version } });
    for (const auto& put : transaction.puts)
        body["puts"].push_back({ { "key", put.key }, { "value", core::encodeBase64(put.value) } });
    return body.dump();
}

core::Error unavailable(const std::string& message)
{
    return core::Error(core::ResultCode::StoreUnavailable, message);
}

core::Error unknownOutcome(const std::string& message)
{
    return core::Error(core::ResultCode::StoreOutcomeUnknown, message, core::RunState::MayHaveRun);
}

core::Expected<TransactionReply> transactionReply(const tl::expected<http::Response, http::ResponseFailure>& answer)
{
    if (!answer && answer.error().kind == http::FailureKind::NotConnected)
        return tl::unexpected(unavailable(answer.error().message));
    if (!answer)
        return tl::unexpected(unknownOutcome(answer.error().message));
    if (answer->status == 503 || answer->status == 429)
        return tl::unexpected(unavailable("table service answered " + std::to_string(answer->status)));
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("committed") || !body["committed"].is_boolean())
        return tl::unexpected(unknownOutcome("table service answered " + std::to_string(answer->status)));
    try {
        TransactionReply reply;
        reply.committed = body["committed"];
        if (body.contains("versions"))
            reply.versions = body["versions"].get<std::map<std::string, RowVersion>>();
        if (body.contains("failed"))
            reply.failed = body["failed"].get<std::vector<std::string>>();
        return reply;
    } catch (const json::exception& error) {
        return tl::unexpected(unknownOutcome(error.what()));
    }
}

core::Expected<Row> rowFrom(const json& body, const std::string& key)
{
    try {
        const auto value = core::decodeBase64(body.value("value", ""));
        if (!value)
            return tl::unexpected(unavailable("table service sent a malformed row"));
        return Row { key, body.value("version", RowVersion(0)), *value };
    } catch (const json::exception& error) {
        return tl::unexpected(unavailable(error.what()));
    }
}

core::Expected<std::optional<Row>> readReply(
    const tl::expected<http::Response, http::ResponseFailure>& answer, const std::string& key)
{
    if (!answer)
        return tl::unexpected(unavailable(answer.error().message));
    if (answer->status == 404)
        return std::optional<Row> {};
    const auto body = json::parse(answer->body, nullptr, false);
    if (answer->status != 200 || !body.is_object())
        return tl::unexpected(unavailable("table service answered " + std::to_string(answer->status)));
    auto row = rowFrom(body, key);
    if (!row)
        return tl::unexpected(row.error());
    return std::optional<Row>(std::move(*row));
}

core::Expected<std::vector<Row>> scanReply(const tl::expected<http::Response, http::ResponseFailure>& answer)
{
    if (!answer)
        return tl::unexpected(unavailable(answer.error().message));
    const auto body = json::parse(answer->body, nullptr, false);
    if (answer->status != 200 || !body.is_object() || !body.contains("rows") || !body["rows"].is_array())
        return tl::unexpected(unavailable("table service answered " + std::to_string(answer->status)));
    std::vector<Row> rows;
    for (const auto& each : body["rows"]) {
        const bool named = each.is_object() && each.contains("key") && each["key"].is_string();
        auto row = rowFrom(each, named ? each["key"].get<std::string>() : std::string());
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
    request.firstByteTimeout = operationTimeout;
    request.silenceTimeout = operationTimeout;
    return request;
}

void TableClient::transact(const Transaction& transaction, TransactionHandler handler) const
{
    auto request = this->request("POST", "/v1/transactions", transactionBody(transaction));
    this->client.fetch(
        std::move(request), [handler = std::move(handler)](const auto& answer) { handler(transactionReply(answer)); });
}

void TableClient::read(const std::string& key, ReadHandler handler) const
{
    this->client.fetch(this->request("GET", "/v1/rows?key=" + core::encodeUrl(key), {}),
        [key, handler = std::move(handler)](const auto& answer) { handler(readReply(answer, key)); });
}

void TableClient::scan(const std::string& prefix, const std::string& after, int limit, ScanHandler handler) const
{
    const auto target = "/v1/rows?prefix=" + core::encodeUrl(prefix) + "&after=" + core::encodeUrl(after)
        + "&limit=" + std::to_string(limit);
    this->client.fetch(this->request("GET", target, {}),
        [handler = std::move(handler)](const auto& answer) { handler(scanReply(answer)); });
}

} // namespace lagoontiller::tables
