#include "standins/EntryStandin.h"

namespace lagoontiller::standins {

namespace {

using nlohmann::json;

constexpr std::string_view programsPath = "/v1/programs/";
constexpr std::string_view callsPath = "/v1/calls/";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr int keepSeconds = 2;
// Size of the stream chunks; chunk boundaries carry no meaning.
constexpr std::size_t chunkBytes = 16;

std::string customerOf(const HttpRequest& request)
{
    const auto key = request.header("authorization");
    const auto blank = key.find(' ');
    return blank == std::string::npos ? "" : key.substr(blank + 1, key.find('.') - blank - 1);
}

std::string sse(const json& data)
{
    return "data: " + data.dump() + "\n\n";
}

void sendStream(HttpExchange& exchange, const json& answer)
{
    exchange.startStream("text/event-stream");
    const auto text = answer.at("choices").at(0).at("message").at("content").get<std::string>();
    for (std::size_t start = 0; start < text.size(); start += chunkBytes)
        exchange.send(sse(
            { { "choices", { { { "index", 0 }, { "delta", { { "content", text.substr(start, chunkBytes) } } } } } } }));
    exchange.send(sse({ { "choices", { { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "stop" } } } },
        { "usage", answer.at("usage") } }));
    exchange.send("event: lagoontiller.commit\ndata: {\"commit\":\"committed\"}\n\n");
    exchange.send("data: [DONE]\n\n");
    exchange.finish();
}

} // namespace

EntryStandin::EntryStandin(Loop& loop, const std::string& name, const std::string& address, core::Duration delay,
    std::shared_ptr<fakes::EntryModel> model, std::vector<std::string> entries)
    : Standin(loop, "entry", name, address, delay)
    , model(std::move(model))
    , entries(std::move(entries))
{
}

void EntryStandin::serve(const ExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/v1/entries")
        return this->answerEntries(*exchange);
    if (request.path == "/ledger")
        return this->answerLedger(*exchange);
    if (request.path == "/v1/chat/completions")
        return this->complete(*exchange);
    const auto reply = this->route(request);
    exchange->answer(reply.status, reply.body.dump(), "application/json", { { "X-Commit-State", "committed" } });
}

void EntryStandin::complete(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto body = json::parse(request.body);
    auto program = request.header("x-program-id");
    if (program.empty())
        program = "issued." + std::to_string(core::monotonicNow().time_since_epoch().count());
    const auto turn = std::max(1ULL, std::strtoull(request.header("x-turn").c_str(), nullptr, 10));
    const auto reply
        = this->model->turn(customerOf(request), program, turn, request.header("x-history") == "append", body);
    if (reply.status == 200 && body.value("stream", false))
        return sendStream(exchange, reply.body);
    exchange.answer(reply.status, reply.body.dump(), "application/json", { { "X-Commit-State", "committed" } });
}

fakes::EntryReply EntryStandin::route(const HttpRequest& request)
{
    const auto& path = request.path;
    if (path.starts_with(servicesPath)) {
        const auto slash = path.find('/', servicesPath.size());
        return this->model->call(
            request.header("idempotency-key"), slash == std::string::npos ? "/" : path.substr(slash), request.body);
    }
    if (path.starts_with(callsPath))
        return this->model->storedCall(path.substr(callsPath.size()));
    if (!path.starts_with(programsPath))
        return fakes::refusalReply(1012, "unknown_path", 404, "not run");
    const auto slash = path.find('/', programsPath.size());
    const auto program = path.substr(programsPath.size(), slash - programsPath.size());
    if (path.ends_with("/end"))
        return this->model->end(program);
    const auto number = path.rfind('/');
    return this->model->storedTurn(program, std::strtoull(path.c_str() + number + 1, nullptr, 10));
}

void EntryStandin::answerEntries(HttpExchange& exchange) const
{
    auto list = json::array();
    for (const auto& address : this->entries)
        list.push_back({ { "address", address }, { "zone", "" }, { "region", "" } });
    exchange.answer(200, json { { "entries", list }, { "keep_seconds", keepSeconds } }.dump());
}

void EntryStandin::answerLedger(HttpExchange& exchange) const
{
    auto list = json::array();
    for (const auto& entry : this->model->ledger())
        list.push_back(
            { { "idempotency_key", entry.idempotencyKey }, { "path", entry.path }, { "digest", entry.digest } });
    exchange.answer(200, json { { "calls", list } }.dump());
}

void EntryStandin::addCounters(json& counters) const
{
    counters["writes"] = this->model->ledger().size();
}

} // namespace lagoontiller::standins
