#include "standins/EngineStandin.h"

#include "bench/fakes/EngineText.h"
#include "core/Hash.h"

#include <cmath>

namespace lagoontiller::standins {

namespace {

using core::ResultCode;
using nlohmann::json;

json usageJson(const fakes::EngineUsage& usage)
{
    return { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens }, { "cached_tokens", usage.cachedTokens } };
}

json chunkJson(const std::string& requestId, const std::string& model)
{
    return { { "id", "chatcmpl-" + requestId }, { "object", "chat.completion.chunk" },
        { "created", core::unixMilliseconds() / 1000 }, { "model", model } };
}

std::string sse(const json& data)
{
    return "data: " + data.dump() + "\n\n";
}

std::uint64_t unsignedField(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found == body.end() || found->is_null() ? 0 : found->get<std::uint64_t>();
}

std::string textField(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found == body.end() || found->is_null() ? std::string() : found->get<std::string>();
}

} // namespace

EngineStandin::EngineStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay,
    fakes::EngineSettings settings, std::uint64_t kvBytesPerSecond, KvExports& exports)
    : Standin(loop, "engine", name, address, delay)
    , address(address)
    , model(std::move(settings))
    , kvBytesPerSecond(std::max<std::uint64_t>(kvBytesPerSecond, 1))
    , exports(exports)
{
}

void EngineStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    const auto route = request.method + " " + request.path;
    if (route == "POST /v1/chat/completions")
        this->complete(exchange);
    else if (route == "POST /v1/cancel")
        this->cancel(*exchange);
    else if (route == "POST /v1/release")
        this->release(*exchange);
    else if (route == "GET /v1/load")
        this->answerLoad(*exchange);
    else if (route == "GET /v1/events")
        this->answerEvents(*exchange);
    else if (route == "POST /v1/kv/export")
        this->exportKv(*exchange);
    else if (route == "POST /v1/kv/import")
        this->importKv(exchange);
    else if (route == "POST /v1/orders")
        this->order(*exchange);
    else
        refuse(*exchange, { ResultCode::UnknownPath, "unknown path " + route });
    this->processEvents();
}

void EngineStandin::complete(const ExchangePointer& exchange)
{
    const auto body = json::parse(exchange->request().body);
    if (!body.contains("messages") || !body["messages"].is_array())
        return refuse(*exchange, { ResultCode::MissingField, "messages is missing" });
    fakes::EngineRequest request;
    request.requestId = textField(body, "request_id");
    if (request.requestId.empty())
        request.requestId = "generated-" + std::to_string(++this->generatedIds);
    request.program = textField(body, "program");
    request.model = textField(body, "model");
    request.priority = static_cast<int>(unsignedField(body, "priority"));
    request.prompt = fakes::serialisePrompt(body["messages"]);
    request.maxTokens = unsignedField(body, "max_tokens");
    request.resumeText = textField(body, "resume_text");
    const auto now = core::monotonicNow();
    const auto events = this->model.advance(now);
    for (const auto& event : events)
        this->deliver(event);
    const auto accepted = this->model.submit(request, now);
    if (!accepted)
        return refuse(*exchange, accepted.error());
    this->answers[request.requestId] = Answer { exchange, request.model, "", body.value("stream", false), false };
}

void EngineStandin::cancel(HttpExchange& exchange)
{
    const auto id = textField(json::parse(exchange.request().body), "request_id");
    const bool known = this->model.cancel(id, core::monotonicNow());
    exchange.answer(200, json { { "cancelled", known } }.dump());
}

void EngineStandin::release(HttpExchange& exchange)
{
    this->model.release(textField(json::parse(exchange.request().body), "program"), core::monotonicNow());
    exchange.answer(200, json { { "released", true } }.dump());
}

void EngineStandin::answerLoad(HttpExchange& exchange) const
{
    const auto now = core::monotonicNow();
    const auto load = this->model.load(now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.sampledAt).count();
    const json body { { "running", load.running }, { "waiting", load.waiting }, { "kv_used", load.kvUsed },
        { "kv_capacity", load.kvCapacity }, { "sampled_ms", core::unixMilliseconds() - age } };
    exchange.answer(200, body.dump());
}

void EngineStandin::answerEvents(HttpExchange& exchange) const
{
    const auto after = std::strtoull(exchange.request().parameter("after").c_str(), nullptr, 10);
    const auto page = this->model.events(after, core::monotonicNow());
    auto list = json::array();
    for (const auto& event : page.events) {
        const bool stored = event.change.kind == fakes::CacheChange::Kind::Stored;
        list.push_back({ { "sequence", event.sequence }, { "kind", stored ? "stored" : "evicted" },
            { "prefix", core::digestHex(event.change.program) }, { "tokens", event.change.tokens } });
    }
    exchange.answer(200, json { { "events", list }, { "next", page.next } }.dump());
}

void EngineStandin::exportKv(HttpExchange& exchange)
{
    const auto program = textField(json::parse(exchange.request().body), "program");
    const auto prefix = this->model.exportPrefix(program);
    if (!prefix)
        return refuse(exchange, { ResultCode::UnknownProgram, "nothing is cached for the program" });
    const auto bytes = prefix->tokens() * this->model.settings().kvBytesPerToken;
    const auto handle = this->exports.add(this->address, { program, *prefix, bytes });
    exchange.answer(200, json { { "handle", handle }, { "bytes", bytes } }.dump());
}

void EngineStandin::importKv(const ExchangePointer& exchange)
{
    const auto body = json::parse(exchange->request().body);
    const auto found = this->exports.find(textField(body, "source"), textField(body, "handle"));
    if (!found)
        return refuse(*exchange, { ResultCode::UnknownProgram, "no such export" });
    const auto seconds = static_cast<double>(found->bytes) / static_cast<double>(this->kvBytesPerSecond);
    this->loop().after(core::Duration(std::llround(seconds * 1e6)), [this, exchange, exported = *found] {
        if (!this->model.importPrefix(exported.program, exported.prefix, core::monotonicNow()))
            return refuse(*exchange, { ResultCode::EndpointRefused, "no memory for the import" });
        this->kvImportedBytes += exported.bytes;
        exchange->answer(200, json { { "imported", true }, { "bytes", exported.bytes } }.dump());
    });
}

void EngineStandin::order(HttpExchange& exchange)
{
    const auto body = json::parse(exchange.request().body);
    const auto version = body.find("version");
    fakes::EngineOrder order { textField(body, "kind"), textField(body, "name"),
        version == body.end() ? "" : (version->is_string() ? version->get<std::string>() : version->dump()),
        unsignedField(body, "fence") };
    if (order.kind != "load_model" && order.kind != "load_adapter" && order.kind != "set_role")
        return refuse(exchange, { ResultCode::InvalidField, "kind is one of load_model, load_adapter, set_role" });
    const auto accepted = this->model.order(order, core::monotonicNow());
    if (!accepted)
        return refuse(exchange, accepted.error());
    exchange.answer(200, json { { "accepted", true } }.dump());
}

void EngineStandin::processEvents()
{
    for (auto events = this->model.advance(core::monotonicNow()); !events.empty();
         events = this->model.advance(core::monotonicNow())) {
        for (const auto& event : events)
            this->deliver(event);
    }
    const auto next = this->model.nextEventTime();
    if (!next || (this->scheduled && *this->scheduled <= *next))
        return;
    this->scheduled = *next;
    this->loop().after(*next - core::monotonicNow(), [this, planned = *next] {
        if (this->scheduled == planned)
            this->scheduled.reset();
        this->processEvents();
    });
}

void EngineStandin::deliver(const fakes::EngineEvent& event)
{
    const auto found = this->answers.find(event.requestId);
    if (found == this->answers.end())
        return;
    auto& answer = found->second;
    if (!answer.exchange->open() && event.kind == fakes::EngineEvent::Kind::Token) {
        this->answers.erase(found);
        this->model.cancel(event.requestId, core::monotonicNow());
        return;
    }
    if (event.kind == fakes::EngineEvent::Kind::Token)
        return this->sendToken(event.requestId, answer, event.text);
    this->finishAnswer(event.requestId, answer, event);
    this->answers.erase(found);
}

void EngineStandin::sendToken(const std::string& requestId, Answer& answer, const std::string& text)
{
    if (!answer.stream) {
        answer.text += text;
        return;
    }
    json delta { { "content", text } };
    if (!answer.started) {
        answer.exchange->startStream("text/event-stream");
        delta["role"] = "assistant";
        answer.started = true;
    }
    auto chunk = chunkJson(requestId, answer.model);
    chunk["choices"] = json::array({ { { "index", 0 }, { "delta", delta }, { "finish_reason", nullptr } } });
    answer.exchange->send(sse(chunk));
}

void EngineStandin::finishAnswer(const std::string& requestId, Answer& answer, const fakes::EngineEvent& event)
{
    const auto* reason = event.truncated ? "length" : "stop";
    if (event.kind == fakes::EngineEvent::Kind::Cancelled)
        reason = "cancelled";
    auto body = chunkJson(requestId, answer.model);
    body["usage"] = usageJson(event.usage);
    if (!answer.stream) {
        body["object"] = "chat.completion";
        body["choices"] = json::array({ { { "index", 0 },
            { "message", { { "role", "assistant" }, { "content", answer.text } } }, { "finish_reason", reason } } });
        answer.exchange->answer(200, body.dump());
        return;
    }
    if (!answer.started)
        answer.exchange->startStream("text/event-stream");
    body["choices"] = json::array({ { { "index", 0 }, { "delta", json::object() }, { "finish_reason", reason } } });
    answer.exchange->send(sse(body) + "data: [DONE]\n\n");
    answer.exchange->finish();
}

void EngineStandin::addCounters(json& counters) const
{
    const auto& now = this->model.counters();
    const auto& before = this->countersBeforeOutage;
    counters["completions"] = before.requests + now.requests;
    counters["tokens_prefilled"] = before.tokensPrefilled + now.tokensPrefilled;
    counters["tokens_cached"] = before.tokensCached + now.tokensCached;
    counters["tokens_generated"] = before.tokensGenerated + now.tokensGenerated;
    counters["cancelled"] = before.cancelled + now.cancelled;
    counters["released"] = before.released + now.released;
    counters["kv_imported_bytes"] = this->kvImportedBytes;
    counters["programs"] = this->model.cache().programs();
    counters["kv_tokens"] = this->model.cache().tokens();
    auto orders = json::array();
    for (const auto& order : this->model.orders())
        orders.push_back(
            { { "kind", order.kind }, { "name", order.name }, { "version", order.version }, { "fence", order.fence } });
    counters["orders"] = orders;
}

void EngineStandin::onOutage()
{
    const auto& now = this->model.counters();
    this->countersBeforeOutage.requests += now.requests;
    this->countersBeforeOutage.tokensPrefilled += now.tokensPrefilled;
    this->countersBeforeOutage.tokensCached += now.tokensCached;
    this->countersBeforeOutage.tokensGenerated += now.tokensGenerated;
    this->countersBeforeOutage.cancelled += now.cancelled;
    this->countersBeforeOutage.released += now.released;
    this->model = fakes::EngineModel(this->model.settings());
    this->answers.clear();
    this->exports.drop(this->address);
    this->faultsChanged();
}

void EngineStandin::faultsChanged()
{
    this->model.setSlowness(this->faults().slowness(core::monotonicNow()));
}

} // namespace lagoontiller::standins
