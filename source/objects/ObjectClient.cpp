#include "objects/ObjectClient.h"

#include "core/Encoding.h"

namespace lagoontiller::objects {

namespace {

constexpr auto requestTimeout = std::chrono::seconds(10);

core::Expected<void> parseWriteReply(const tl::expected<http::Response, http::ResponseFailure>& response)
{
    if (!response)
        return core::failure(core::ResultCode::StoreUnavailable, response.error().message);
    if (response->status >= 300 && response->status != 404)
        return core::failure(
            core::ResultCode::StoreUnavailable, "object store returned status " + std::to_string(response->status));
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
    request.firstByteTimeout = requestTimeout;
    request.silenceTimeout = requestTimeout;
    return request;
}

void ObjectClient::put(const std::string& key, std::string bytes, WriteHandler handler) const
{
    this->client.fetch(this->request("PUT", key, std::move(bytes)),
        [handler = std::move(handler)](const auto& response) { handler(parseWriteReply(response)); });
}

void ObjectClient::get(const std::string& key, ReadHandler handler) const
{
    this->client.fetch(this->request("GET", key, {}), [handler = std::move(handler)](const auto& response) {
        if (!response)
            handler(core::failure(core::ResultCode::StoreUnavailable, response.error().message));
        else if (response->status == 404)
            handler(std::optional<std::string> {});
        else if (response->status != 200)
            handler(core::failure(core::ResultCode::StoreUnavailable,
                "object store returned status " + std::to_string(response->status)));
        else
            handler(std::optional<std::string>(response->body));
    });
}

void ObjectClient::remove(const std::string& key, WriteHandler handler) const
{
    this->client.fetch(this->request("DELETE", key, {}),
        [handler = std::move(handler)](const auto& response) { handler(parseWriteReply(response)); });
}

} // namespace lagoontiller::objects
