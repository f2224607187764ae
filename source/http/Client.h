#pragma once

#include "core/Error.h"
#include "http/Message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lagoontiller::http {

using RequestId = std::uint64_t;

/// \brief Outgoing HTTP/1.1 through one libcurl multi handle on one traffic thread.
///
/// start() and cancel() may be called from any thread. Handlers run on the traffic thread and must not block; each
/// gets exactly one final event (ResponseEnd or ResponseFailure), also when the client is destroyed.
class Client {
public:
    using Handler = std::function<void(const ResponseEvent&)>;
    using ResponseHandler = std::function<void(tl::expected<Response, ResponseFailure>)>;

    Client();
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    RequestId start(Request request, Handler handler);
    /// \brief Collects the answer and delivers it once. Bodies over 256 MB end as Interrupted.
    RequestId fetch(Request request, ResponseHandler handler);
    /// \brief Ends the request with FailureKind::Cancelled unless it has ended already.
    void cancel(RequestId id);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lagoontiller::http
