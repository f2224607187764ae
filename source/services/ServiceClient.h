#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <functional>
#include <string>

namespace lagoontiller::services {

/// \brief A call of a tool service or plain service.
struct ServiceRequest {
    /// \brief `ip:port` of the endpoint.
    std::string endpoint;
    /// \brief Path with the leading slash.
    std::string path;
    std::string contentType = "application/json";
    std::string body;
    std::string requestId;
    std::string idempotencyKey;
    /// \brief False for a call that must run at most once: it uses a new connection and is never resent.
    bool repeatable = false;
    /// \brief Timeout for the first byte of the response, and for each further part of it.
    core::Duration timeout = std::chrono::seconds(30);
};

struct ServiceResponse {
    int status = 0;
    std::string contentType;
    std::string body;
};

/// \brief Client for tool and plain services. The handler runs once, on the I/O thread of the HTTP client.
///
/// Errors: EndpointTimeout if a timeout was exceeded, otherwise EndpointFailed. `ran` is NotRun if no byte of the call
/// was sent, otherwise MayHaveRun.
class ServiceClient {
public:
    using Handler = std::function<void(core::Expected<ServiceResponse>)>;

    explicit ServiceClient(http::Client& client);
    void call(const ServiceRequest& request, Handler handler) const;

private:
    http::Client& client;
};

} // namespace lagoontiller::services
