#pragma once

#include "callers/ResponseStream.h"
#include "core/Error.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoontiller::callers {

/// \brief A received HTTP request.
struct IncomingRequest {
    std::string method;
    /// \brief Path and query string.
    std::string target;
    http::Headers headers;
    std::string body;
    std::string remoteAddress;
};

struct HttpServerSettings {
    /// \brief `ip:port` to listen on.
    std::string address;
    int threads = 2;
    std::size_t maxBodyBytes = std::size_t(32) << 20;
    std::size_t maxConnections = 4000;
    std::size_t maxConnectionsPerAddress = 2000;
    /// \brief Maximum time for receiving a complete request, and maximum idle time of a connection.
    std::chrono::seconds readTimeout { 30 };
};

/// \brief HTTP/1.1 server based on RESTinio. The handler runs on the server's threads and must not block.
///
/// RESTinio closes the connection without a response if a request exceeds the body size limit or the read timeout; such
/// a request has not run.
class HttpServer {
public:
    using Handler = std::function<void(IncomingRequest, ResponseStreamPointer)>;

    HttpServer(HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \brief Starts listening. Error: SettingsFault if the address is malformed or cannot be bound.
    [[nodiscard]] core::Expected<void> start();
    /// \brief Stops listening, closes all connections and waits for the server's threads to end.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// \brief Splits `ip:port`; empty if there is no port from 1 to 65535.
[[nodiscard]] std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string& address);

} // namespace lagoontiller::callers
