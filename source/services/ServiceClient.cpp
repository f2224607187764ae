#include "services/ServiceClient.h"

namespace lagoontiller::services {

namespace {

core::Error errorFrom(const http::ResponseFailure& failure)
{
    const auto runState
        = failure.kind == http::FailureKind::NotConnected ? core::RunState::NotRun : core::RunState::MayHaveRun;
    const bool timedOut
        = failure.kind == http::FailureKind::FirstByteTimeout || failure.kind == http::FailureKind::SilenceTimeout;
    const auto code = timedOut ? core::ResultCode::EndpointTimeout : core::ResultCode::EndpointFailed;
    return core::Error(code, std::string(http::name(failure.kind)) + ": " + failure.message, runState);
}

} // namespace

ServiceClient::ServiceClient(http::Client& client)
    : client(client)
{
}

void ServiceClient::call(const ServiceRequest& request, Handler handler) const
{
    http::Request outgoing;
    outgoing.method = "POST";
    outgoing.url = "http://" + request.endpoint + request.path;
    outgoing.headers = { { "Content-Type", request.contentType }, { "X-Request-Id", request.requestId } };
    if (!request.idempotencyKey.empty())
        outgoing.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    outgoing.body = request.body;
    outgoing.firstByteTimeout = request.timeout;
    outgoing.silenceTimeout = request.timeout;
    outgoing.freshConnection = !request.repeatable;
    this->client.fetch(std::move(outgoing), [handler = std::move(handler)](auto response) {
        if (!response)
            handler(tl::unexpected(errorFrom(response.error())));
        else
            handler(ServiceResponse { response->status,
                std::string(http::headerValue(response->headers, "Content-Type")), std::move(response->body) });
    });
}

} // namespace lagoontiller::services
