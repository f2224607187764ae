#pragma once

#include "core/Time.h"
#include "transport/Parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace lagoontiller::transport {

using ConnectionId = std::uint64_t;

struct ServerLimits {
    ParserLimits message;
    /// \brief Longest time from the first byte of a request to the end of its header.
    core::Duration headerTimeout = std::chrono::seconds(10);
    /// \brief Longest time from the first to the last byte of a request.
    core::Duration requestTimeout = std::chrono::seconds(30);
    core::Duration idleTimeout = std::chrono::seconds(60);
    std::size_t maxConnections = 4'000;
};

/// \brief What a server tells its owner.
struct ServerEvents {
    std::function<void(ConnectionId, Request&&)> request;
    /// \brief The client closed or reset the connection while its request was in progress.
    std::function<void(ConnectionId)> disconnected;
};

/// \brief HTTP/1.1 server on one thread. A connection carries one request at a time; it goes on reading while the
/// request is in progress, so that a client that leaves is noticed at once.
class Server {
public:
    Server(asio::io_context& context, ServerEvents events);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// \brief Binds the address; returns the error text when that fails.
    [[nodiscard]] std::string listen(const std::string& ip, std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    void setLimits(const ServerLimits& limits);
    /// \brief Every further response announces the end of its connection.
    void startDraining();
    /// \brief Accepts no more connections.
    void stopAccepting();
    /// \brief Closes connections without a request in progress.
    void closeIdle();

    /// \brief Sends a whole response; `head` is the status line and fields without framing fields.
    void respond(ConnectionId connection, const std::string& head, std::string_view body);
    /// \brief Starts a chunked response.
    void begin(ConnectionId connection, const std::string& head);
    void write(ConnectionId connection, std::string_view bytes);
    /// \brief Ends a chunked response as complete.
    void end(ConnectionId connection);
    /// \brief Closes the connection without an end of the response.
    void abort(ConnectionId connection);

    [[nodiscard]] std::size_t busyConnections() const noexcept { return this->busyConnectionCount; }
    [[nodiscard]] std::size_t openConnections() const noexcept { return this->connectionsById.size(); }
    /// \brief Bytes that wait to be sent on the connection.
    [[nodiscard]] std::size_t unsentBytes(ConnectionId connection) const;

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void read(const ConnectionPointer& connection);
    void handleReceived(const ConnectionPointer& connection, std::size_t size);
    void parse(const ConnectionPointer& connection);
    void rejectRequest(const ConnectionPointer& connection, int status);
    void send(const ConnectionPointer& connection, std::string_view bytes);
    void flush(const ConnectionPointer& connection);
    void finishResponse(const ConnectionPointer& connection);
    void close(const ConnectionPointer& connection, bool notify);
    void scheduleTimeoutCheck();
    [[nodiscard]] bool hasTimedOut(const Connection& connection, core::TimePoint now) const;
    [[nodiscard]] ConnectionPointer find(ConnectionId connection) const;

    asio::io_context& context;
    ServerEvents events;
    ServerLimits limits;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timeoutCheckTimer;
    std::unordered_map<ConnectionId, ConnectionPointer> connectionsById;
    ConnectionId lastId = 0;
    std::size_t busyConnectionCount = 0;
    bool draining = false;
};

} // namespace lagoontiller::transport
