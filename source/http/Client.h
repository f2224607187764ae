#pragma once

#include "core/Error.h"
#include "http/Message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lagoontiller::http {

using RequestId = std::uint64_t;

/// \brief HTTP/1.1 client that runs all requests on one libcurl multi handle, in one I/O thread.
///
/// start(), fetch() and cancel() are thread-safe. Handlers run on the I/O thread and must not block. Each request ends
/// with exactly one final event (ResponseEnd or ResponseFailure), also if the client is destroyed.
class Client {
public:
    using Handler = std::function<void(const ResponseEvent&)>;
    using ResponseHandler = std::function<void(tl::expected<Response, ResponseFailure>)>;

    Client();
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// \brief Sends a request and passes the events of its response to the handler; returns the id for cancel().
    RequestId start(Request request, Handler handler);
    /// \brief Sends a request and calls the handler once, with the complete response or the failure. A body larger than
    /// 256 MiB ends as FailureKind::Interrupted.
    RequestId fetch(Request request, ResponseHandler handler);
    /// \brief Ends the request with FailureKind::Cancelled unless it has already ended. Does not wait for the handler.
    void cancel(RequestId id);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lagoontiller::http
