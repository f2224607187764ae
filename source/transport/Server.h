#pragma once

#include "core/Time.h"
#include "transport/ConnectionMemory.h"
#include "transport/Parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_map>

namespace lagoontiller::transport {

struct ServerLimits {
    ParserLimits message;
    /// \brief Time limit from the first byte of a request to the end of its header.
    core::Duration headerTimeout = std::chrono::seconds(10);
    /// \brief Time limit from the first to the last byte of a request.
    core::Duration requestTimeout = std::chrono::seconds(30);
    /// \brief Time limit for a connection that waits for its next request.
    core::Duration idleTimeout = std::chrono::seconds(60);
    std::size_t maxConnections = 4'000;
};

/// \brief Limits of the memory that all connections of a server hold together, in bytes.
struct ServerMemoryLimits {
    /// \brief Requests from their first byte to the end of their response: heads, bodies and what follows them.
    std::size_t requestBytes = std::numeric_limits<std::size_t>::max();
    /// \brief Output that clients have not read yet.
    std::size_t outputBytes = std::numeric_limits<std::size_t>::max();
    /// \brief Unread output of one connection at which its source should pause.
    std::size_t connectionOutputBytes = 1U << 20U;
    /// \brief Further bytes for small requests.
    std::size_t smallRequestReserveBytes = 0;
    /// \brief Copies of a body that are made while its request is in progress.
    std::size_t copiesPerBody = 0;
    /// \brief Time without a received byte after which an incomplete request is refused if others need its memory.
    core::Duration stallTime = std::chrono::milliseconds(1'000);
    [[nodiscard]] bool operator==(const ServerMemoryLimits&) const = default;
};

/// \brief Callbacks of a server.
struct ServerEvents {
    /// \brief A complete request was received; the response may be sent later.
    std::function<void(ConnectionId, Request&&)> request;
    /// \brief The client closed or reset the connection while its request was in progress.
    std::function<void(ConnectionId)> disconnected;
    /// \brief The client has read the output of a connection that `shouldPause`.
    std::function<void(ConnectionId)> drained = {};
};

/// \brief HTTP/1.1 server on one thread. Each connection handles one request at a time. The server continues to read
/// while a request is in progress, so that it detects immediately when the client disconnects.
class Server {
public:
    Server(asio::io_context& context, ServerEvents events);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// \brief Binds to the address and starts to accept connections.
    /// \return an error message; empty on success.
    [[nodiscard]] std::string listen(const std::string& ip, std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    void setLimits(const ServerLimits& limits);
    /// \brief A request that would exceed the limit is refused with 503, as soon as its size is known, unless no other
    /// one is held or stalled ones can be refused instead (408). If the output exceeds its limit, the connection with
    /// the most output is closed.
    void setMemoryLimits(const ServerMemoryLimits& limits);
    /// \brief From now on repeats this field of a request in its response, so that clients can attribute responses.
    void setEchoField(std::string name) { this->echoField = std::move(name); }
    /// \brief Sends `Connection: close` with every further response and closes the connection after it.
    void startDraining();
    /// \brief Takes over the connections that clients have already established and closes the listening socket; open
    /// connections stay open.
    void stopAccepting();
    /// \brief Closes connections that have no complete or partial request and no output being written.
    void closeIdle();

    /// \brief Sends a complete response. `head` is the status line and the header fields except Content-Length,
    /// Transfer-Encoding and Connection. Like `begin`, `write` and `end`, ignored without a request in progress.
    void respond(ConnectionId connection, const std::string& head, std::string_view body);
    /// \brief Starts a chunked response; `head` as for `respond`.
    void begin(ConnectionId connection, const std::string& head);
    /// \brief Sends the bytes as one chunk; ignores empty bytes.
    void write(ConnectionId connection, std::string_view bytes);
    /// \brief Completes a chunked response.
    void end(ConnectionId connection);
    /// \brief Closes the connection and leaves its response incomplete; `disconnected` is not called.
    void abort(ConnectionId connection);

    /// \brief Number of connections with a request in progress.
    [[nodiscard]] std::size_t busyConnections() const noexcept { return this->busyConnectionCount; }
    [[nodiscard]] std::size_t openConnections() const noexcept { return this->connectionsById.size(); }
    /// \brief Adds memory that the request in progress holds elsewhere, until the end of its response.
    void addRequestBytes(ConnectionId connection, std::size_t bytes) { this->requestMemory.add(connection, bytes); }
    /// \brief Number of bytes that the requests of all connections hold.
    [[nodiscard]] std::size_t heldRequestBytes() const noexcept { return this->requestMemory.heldBytes(); }
    /// \brief Number of bytes of output that clients have not read yet.
    [[nodiscard]] std::size_t queuedOutputBytes() const noexcept { return this->outputBytes; }
    /// \brief Number of response bytes that are not yet written to the socket; 0 for an unknown connection.
    [[nodiscard]] std::size_t unsentBytes(ConnectionId connection) const;
    /// \brief Whether the connection has so much unread output that no more should be written; `drained` follows then.
    /// A connection may have as much as is left for all others, so that many slow clients never use up the memory.
    [[nodiscard]] bool shouldPause(ConnectionId connection);

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void addConnection(asio::ip::tcp::socket&& socket);
    void read(const ConnectionPointer& connection);
    void handleReceived(const ConnectionPointer& connection, std::size_t size);
    void parse(const ConnectionPointer& connection);
    /// \brief Accounts for the request that is being read; false if it would exceed the limit.
    [[nodiscard]] bool holdRequest(const ConnectionPointer& connection);
    /// \brief Refuses a request that will never run, frees its memory and discards what else is received.
    void refuseRequest(const ConnectionPointer& connection, int status, std::string_view reason);
    /// \brief Makes room for another connection; false if all of them are in use.
    [[nodiscard]] bool closeUnusedConnection();
    void limitOutput();
    void send(const ConnectionPointer& connection, std::string bytes);
    /// \brief Updates the memory that the output of the connection takes.
    void accountOutput(Connection& connection, std::size_t added, std::size_t removed);
    void flush(const ConnectionPointer& connection);
    void finishResponse(const ConnectionPointer& connection);
    /// \brief The fields of a response that depend on the connection, after those of its framing.
    void appendConnectionFields(const Connection& connection, std::string& text) const;
    void close(const ConnectionPointer& connection, bool notify);
    void scheduleTimeoutCheck();
    [[nodiscard]] bool hasTimedOut(const Connection& connection, core::TimePoint now) const;
    [[nodiscard]] ConnectionPointer find(ConnectionId connection) const;

    asio::io_context& context;
    ServerEvents events;
    ServerLimits limits;
    ServerMemoryLimits memoryLimits;
    ConnectionMemory requestMemory;
    std::size_t outputBytes = 0;
    /// \brief Receives the bytes of all connections, so that a connection without a request needs no buffer.
    std::vector<char> readBuffer;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    asio::steady_timer timeoutCheckTimer;
    std::unordered_map<ConnectionId, ConnectionPointer> connectionsById;
    ConnectionId lastId = 0;
    std::size_t busyConnectionCount = 0;
    /// \brief Name of the field that responses repeat; empty for none.
    std::string echoField;
    bool draining = false;
};

} // namespace lagoontiller::transport
