#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <functional>
#include <string>

namespace lagoontiller::services {

/// \brief One call of a tool or plain service.
struct ServiceRequest {
    /// \brief `ip:port` of the endpoint.
    std::string endpoint;
    /// \brief Path with its leading slash.
    std::string path;
    std::string contentType = "application/json";
    std::string body;
    std::string requestId;
    std::string idempotencyKey;
    /// \brief False for a call that may run at most once: it uses a fresh connection and is never sent again.
    bool repeatable = false;
    core::Duration timeout = std::chrono::seconds(30);
};

struct ServiceResponse {
    int status = 0;
    std::string contentType;
    std::string body;
};

/// \brief Tool and plain services. The handler runs on the HTTP traffic thread, once.
///
/// Error: EndpointFailed or EndpointTimeout with `ran` = NotRun when not a byte has left, else MayHaveRun.
class ServiceClient {
public:
    using Handler = std::function<void(core::Expected<ServiceResponse>)>;

    explicit ServiceClient(http::Client& client);
    void call(const ServiceRequest& request, Handler handler) const;

private:
    http::Client& client;
};

} // namespace lagoontiller::services
