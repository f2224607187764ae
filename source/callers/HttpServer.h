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
    /// \brief Path with the query string.
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
    /// \brief Longest time for receiving a whole request, and longest idle time of a connection.
    std::chrono::seconds readTimeout { 30 };
};

/// \brief HTTP/1.1 server on RESTinio threads. The handler runs on those threads and must not block.
///
/// RESTinio closes the connection without an answer when a request exceeds the body limit or the read time-out; such a
/// request has not run.
class HttpServer {
public:
    using Handler = std::function<void(IncomingRequest, ResponseStreamPointer)>;

    HttpServer(HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \brief Starts listening. Error: SettingsFault when the address cannot be bound.
    [[nodiscard]] core::Expected<void> start();
    /// \brief Stops listening and closes all connections.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// \brief Splits `ip:port`; nothing when the port is not a number between 1 and 65535.
[[nodiscard]] std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string& address);

} // namespace lagoontiller::callers
