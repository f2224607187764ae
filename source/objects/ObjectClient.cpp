#include "objects/ObjectClient.h"

#include "core/Encoding.h"

namespace lagoontiller::objects {

namespace {

constexpr auto operationTimeout = std::chrono::seconds(10);

core::Expected<void> writeReply(const tl::expected<http::Response, http::ResponseFailure>& answer)
{
    if (!answer)
        return core::failure(core::ResultCode::StoreUnavailable, answer.error().message);
    if (answer->status >= 300 && answer->status != 404)
        return core::failure(
            core::ResultCode::StoreUnavailable, "object store answered " + std::to_string(answer->status));
    return {};
}

} // namespace

ObjectClient::ObjectClient(http::Client& client, std::string address)
    : client(client)
    , address(std::move(address))
{
}

http::Request ObjectClient::request(std::string method, const std::string& key, std::string body) const
{
    http::Request request;
    request.method = std::move(method);
    request.url = "http://" + this->address + "/v1/objects/" + core::encodeUrl(key);
    request.body = std::move(body);
    request.firstByteTimeout = operationTimeout;
    request.silenceTimeout = operationTimeout;
    return request;
}

void ObjectClient::put(const std::string& key, std::string bytes, WriteHandler handler) const
{
    this->client.fetch(this->request("PUT", key, std::move(bytes)),
        [handler = std::move(handler)](const auto& answer) { handler(writeReply(answer)); });
}

void ObjectClient::get(const std::string& key, ReadHandler handler) const
{
    this->client.fetch(this->request("GET", key, {}), [handler = std::move(handler)](const auto& answer) {
        if (!answer)
            handler(core::failure(core::ResultCode::StoreUnavailable, answer.error().message));
        else if (answer->status == 404)
            handler(std::optional<std::string> {});
        else if (answer->status != 200)
            handler(core::failure(
                core::ResultCode::StoreUnavailable, "object store answered " + std::to_string(answer->status)));
        else
            handler(std::optional<std::string>(answer->body));
    });
}

void ObjectClient::remove(const std::string& key, WriteHandler handler) const
{
    this->client.fetch(this->request("DELETE", key, {}),
        [handler = std::move(handler)](const auto& answer) { handler(writeReply(answer)); });
}

} // namespace lagoontiller::objects
