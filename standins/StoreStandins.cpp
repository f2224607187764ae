#include "standins/StoreStandins.h"

#include "standins/Base64.h"

namespace lagoontiller::standins {

namespace {

using core::ResultCode;
using nlohmann::json;

constexpr std::string_view objectPath = "/v1/objects/";

core::Expected<tables::Transaction> parseTransaction(const json& body)
{
    tables::Transaction transaction;
    transaction.token = body.value("token", "");
    for (const auto& condition : body.value("conditions", json::array()))
        transaction.conditions.push_back({ condition.at("key"), condition.at("version") });
    for (const auto& put : body.value("puts", json::array())) {
        const auto value = decodeBase64(put.at("value").get<std::string>());
        if (!value)
            return core::failure(ResultCode::InvalidField, "value is not base64");
        transaction.puts.push_back({ put.at("key"), *value });
    }
    for (const auto& key : body.value("deletes", json::array()))
        transaction.deletes.push_back(key);
    return transaction;
}

json rowJson(const tables::Row& row)
{
    return { { "key", row.key }, { "version", row.version }, { "value", encodeBase64(row.value) } };
}

} // namespace

TableStandin::TableStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay)
    : Standin(loop, "table", name, address, delay)
{
}

void TableStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "POST" && request.path == "/v1/transactions")
        return this->transact(*exchange);
    if (request.method == "GET" && request.path == "/v1/rows")
        return request.query.contains("key") ? this->read(*exchange) : this->scan(*exchange);
    refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + request.path });
}

void TableStandin::transact(HttpExchange& exchange)
{
    const auto transaction = parseTransaction(json::parse(exchange.request().body));
    if (!transaction)
        return refuse(exchange, transaction.error());
    const auto reply = this->model.apply(*transaction);
    if (reply.committed)
        return exchange.answer(200, json { { "committed", true }, { "versions", reply.versions } }.dump());
    exchange.answer(409, json { { "committed", false }, { "failed", reply.failed } }.dump());
}

void TableStandin::read(HttpExchange& exchange)
{
    const auto row = this->model.read(exchange.request().parameter("key"));
    if (!row)
        return refuse(exchange, { ResultCode::UnknownPath, "no such row" });
    exchange.answer(200, json { { "version", row->version }, { "value", encodeBase64(row->value) } }.dump());
}

void TableStandin::scan(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto limit = std::strtoull(request.parameter("limit").c_str(), nullptr, 10);
    auto list = json::array();
    for (const auto& row : this->model.scan(request.parameter("prefix"), request.parameter("after"), limit))
        list.push_back(rowJson(row));
    exchange.answer(200, json { { "rows", list } }.dump());
}

void TableStandin::addCounters(json& counters) const
{
    const auto& counts = this->model.counters();
    counters["writes"] = counts.writes;
    counters["reads"] = counts.reads;
    counters["conditional_failures"] = counts.conditionalFailures;
    counters["rows"] = this->model.size();
}

ObjectStandin::ObjectStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay)
    : Standin(loop, "objects", name, address, delay)
{
}

void ObjectStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (!request.path.starts_with(objectPath) || request.path.size() == objectPath.size())
        return refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + request.path });
    const auto key = request.path.substr(objectPath.size());
    if (request.method == "PUT") {
        ++this->writes;
        this->objects[key] = request.body;
        return exchange->answer(200, json { { "stored", true } }.dump());
    }
    if (request.method == "DELETE") {
        ++this->writes;
        const bool deleted = this->objects.erase(key) > 0;
        return exchange->answer(200, json { { "deleted", deleted } }.dump());
    }
    ++this->reads;
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
        return refuse(*exchange, { ResultCode::UnknownPath, "no such object" });
    exchange->answer(200, found->second, "application/octet-stream");
}

void ObjectStandin::addCounters(json& counters) const
{
    counters["writes"] = this->writes;
    counters["reads"] = this->reads;
    counters["objects"] = this->objects.size();
}

} // namespace lagoontiller::standins
