#include "standins/PlainStandins.h"

namespace lagoontiller::standins {

namespace {

using core::ResultCode;
using nlohmann::json;

json entryJson(const fakes::LedgerEntry& entry)
{
    return { { "sequence", entry.sequence }, { "request_id", entry.requestId },
        { "idempotency_key", entry.idempotencyKey }, { "path", entry.path }, { "digest", entry.digest } };
}

} // namespace

ServiceStandin::ServiceStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay)
    : Standin(loop, "service", name, address, delay)
{
}

void ServiceStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "GET" && request.path == "/ledger")
        return this->answerLedger(*exchange);
    if (request.method != "POST")
        return refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + request.path });
    if (!json::accept(request.body))
        return refuse(*exchange, { ResultCode::MalformedJson, "the body is not JSON" });
    const auto& entry = this->model.execute(
        request.header("x-request-id"), request.header("idempotency-key"), request.path, request.body);
    const json body { { "ok", true }, { "sequence", entry.sequence }, { "path", entry.path },
        { "digest", entry.digest }, { "idempotency_key", entry.idempotencyKey } };
    exchange->answer(200, body.dump());
}

void ServiceStandin::answerLedger(HttpExchange& exchange) const
{
    auto list = json::array();
    for (const auto& entry : this->model.ledger())
        list.push_back(entryJson(entry));
    exchange.answer(200, json { { "calls", list } }.dump());
}

void ServiceStandin::addCounters(json& counters) const
{
    counters["writes"] = this->model.ledger().size();
}

VmListStandin::VmListStandin(
    Loop& loop, const std::string& name, const std::string& address, core::Duration delay, core::Duration lag)
    : Standin(loop, "vmlist", name, address, delay)
    , model(lag)
{
}

void VmListStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.method != "GET" || request.path != "/v1/vms")
        return refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + request.path });
    ++this->reads;
    exchange->answer(200, this->model.list(core::monotonicNow()).dump());
}

core::Expected<json> VmListStandin::applyControl(const json& body)
{
    const auto now = core::monotonicNow();
    if (body.contains("lag_ms"))
        this->model.setLag(std::chrono::milliseconds(body["lag_ms"].get<std::int64_t>()));
    if (body.contains("vms")) {
        if (!body["vms"].is_array())
            return core::failure(ResultCode::InvalidField, "vms is a list");
        this->model.set(body["vms"], now);
    }
    if (body.contains("vm") && !this->model.setState(body["vm"], body.value("state", "live"), now))
        return core::failure(ResultCode::InvalidField, "no such VM is listed");
    if (!body.contains("vms") && !body.contains("vm") && !body.contains("lag_ms"))
        return core::failure(ResultCode::MissingField, "a control request needs fault, vms, vm or lag_ms");
    return json { { "accepted", true } };
}

void VmListStandin::addCounters(json& counters) const
{
    counters["reads"] = this->reads;
}

WeightStandin::WeightStandin(
    Loop& loop, const std::string& name, const std::string& address, core::Duration delay, std::uint64_t bytesPerSecond)
    : Standin(loop, "weights", name, address, delay)
    , model(bytesPerSecond)
{
}

void WeightStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.method != "POST" || request.path != "/v1/leases")
        return refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + request.path });
    const auto body = json::parse(request.body);
    const auto bytes = body.at("bytes").get<std::uint64_t>();
    (void)body.at("model").get<std::string>();
    ++this->leases;
    this->leasedBytes += bytes;
    const auto wait = this->model.lease(bytes, core::monotonicNow());
    // Rounded up so that a client that waits for the given time does not start early.
    exchange->answer(200, json { { "wait_ms", (wait.count() + 999) / 1000 } }.dump());
}

void WeightStandin::addCounters(json& counters) const
{
    counters["writes"] = this->leases;
    counters["leased_bytes"] = this->leasedBytes;
}

} // namespace lagoontiller::standins
