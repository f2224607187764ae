#include "engines/EngineClient.h"

#include "engines/impl/Generation.h"

namespace lagoontiller::engines {

namespace {

using nlohmann::json;

constexpr auto defaultTimeout = std::chrono::seconds(3);

http::Request jsonRequest(
    const std::string& method, const std::string& endpoint, const std::string& path, const json& body)
{
    http::Request request;
    request.method = method;
    request.url = "http://" + endpoint + path;
    if (!body.is_null())
        request.body = body.dump();
    request.headers = { { "Content-Type", "application/json" } };
    request.firstByteTimeout = defaultTimeout;
    request.silenceTimeout = defaultTimeout;
    return request;
}

core::Expected<EngineLoad> parseLoad(const json& body)
{
    try {
        EngineLoad load;
        load.running = body.value("running", 0U);
        load.waiting = body.value("waiting", 0U);
        load.kvUsed = body.value("kv_used", std::uint64_t(0));
        load.kvCapacity = body.value("kv_capacity", std::uint64_t(0));
        load.sampledMs = body.value("sampled_ms", std::int64_t(0));
        return load;
    } catch (const json::exception& error) {
        return core::failure(core::ResultCode::EndpointFailed, error.what());
    }
}

} // namespace

EngineClient::EngineClient(http::Client& client)
    : client(client)
{
}

http::RequestId EngineClient::generate(const EngineRequest& request, Handler handler) const
{
    json body = request.body;
    body["stream"] = true;
    body["request_id"] = request.requestId;
    body["program"] = request.cacheKey;
    body["priority"] = request.priority;
    if (!request.resumeText.empty())
        body["resume_text"] = request.resumeText;
    auto outgoing = jsonRequest("POST", request.endpoint, "/v1/chat/completions", body);
    outgoing.firstByteTimeout = request.firstByteTimeout;
    outgoing.silenceTimeout = request.silenceTimeout;
    auto generation = std::make_shared<impl::Generation>(std::move(handler));
    return this->client.start(
        std::move(outgoing), [generation](const http::ResponseEvent& event) { std::visit(*generation, event); });
}

void EngineClient::cancel(const std::string& endpoint, const std::string& requestId) const
{
    this->client.fetch(
        jsonRequest("POST", endpoint, "/v1/cancel", { { "request_id", requestId } }), [](const auto&) {});
}

void EngineClient::releaseCache(
    const std::string& endpoint, const std::string& cacheKey, std::function<void(bool)> handler) const
{
    this->client.fetch(jsonRequest("POST", endpoint, "/v1/release", { { "program", cacheKey } }),
        [handler = std::move(handler)](const auto& response) { handler(response && response->status == 200); });
}

void EngineClient::fetchLoad(const std::string& endpoint, std::function<void(core::Expected<EngineLoad>)> handler) const
{
    this->client.fetch(
        jsonRequest("GET", endpoint, "/v1/load", nullptr), [handler = std::move(handler)](const auto& response) {
            const auto body = response ? json::parse(response->body, nullptr, false) : json();
            if (!response || response->status != 200 || !body.is_object())
                handler(core::failure(core::ResultCode::EndpointFailed, "the engine returned no valid load report"));
            else
                handler(parseLoad(body));
        });
}

void EngineClient::moveCache(const std::string& source, const std::string& destination, const std::string& cacheKey,
    const std::function<void(bool)>& handler) const
{
    const auto importCache = [client = &this->client, source, destination, handler](const auto& exported) {
        const auto body = exported ? json::parse(exported->body, nullptr, false) : json();
        if (!exported || exported->status != 200 || !body.is_object() || !body.contains("handle")) {
            handler(false);
            return;
        }
        const json importRequest { { "handle", body["handle"] }, { "source", source } };
        client->fetch(jsonRequest("POST", destination, "/v1/kv/import", importRequest),
            [handler](const auto& imported) { handler(imported && imported->status == 200); });
    };
    this->client.fetch(jsonRequest("POST", source, "/v1/kv/export", { { "program", cacheKey } }), importCache);
}

void EngineClient::sendOrder(
    const std::string& endpoint, const json& order, std::function<void(core::Expected<void>)> handler) const
{
    this->client.fetch(
        jsonRequest("POST", endpoint, "/v1/orders", order), [handler = std::move(handler)](const auto& response) {
            if (!response)
                handler(core::failure(
                    core::ResultCode::EndpointFailed, response.error().message, core::RunState::MayHaveRun));
            else if (response->status == 409)
                handler(core::failure(core::ResultCode::StaleFence, response->body));
            else if (response->status != 200)
                handler(core::failure(core::ResultCode::EndpointRefused, response->body));
            else
                handler({});
        });
}

} // namespace lagoontiller::engines
