#pragma once

#include "core/Time.h"
#include "transport/Parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lagoontiller::transport {

/// \brief Identifies one request and its response within a pool; never 0.
using ExchangeId = std::uint64_t;

/// \brief How an exchange ended.
enum class ExchangeEnd : int {
    /// \brief The complete response was received: its length, its last chunk or its head proves the end.
    Complete,
    /// \brief The peer closed the connection in order, and the response has neither a length nor chunks. Its body may
    /// be whole or truncated: the operating system closes the connections of a killed process in order, too.
    /// `otherConnections` tells more.
    Closed,
    /// \brief The connection could not be opened, so no byte of the request was sent.
    NotSent,
    /// \brief `mayBeSent` denied the request when the connection was open, so no byte of it was sent.
    Withheld,
    /// \brief The connection was closed or reset before the response was complete.
    Broken,
    /// \brief A reused connection was closed or reset before the first byte of the response. The peer may have dropped
    /// the connection while it was idle, or may have received the request.
    BrokenReused,
    /// \brief The response is not valid HTTP or exceeds a size limit.
    Malformed,
    /// \brief `responseTimeout` expired while the connection was open.
    TimedOut,
    /// \brief Neither this node nor another one could reach the endpoint, so no byte of the request was sent.
    NoPath,
};

/// \brief Callbacks of an exchange: `head` once, `body` for each received part of the body, `ended` last. An exchange
/// that fails may end without `head`.
struct ExchangeEvents {
    std::function<void(ResponseHead&&)> head;
    std::function<void(std::string&&)> body;
    std::function<void(ExchangeEnd)> ended;
};

/// \brief What happened on the other connections to an address. A killed process loses all its connections, while a
/// response that ends with its connection closes only one.
struct OtherConnections {
    /// \brief Connections that the peer closed or reset while they were idle or before the end of their response. Not
    /// among them are an orderly close that may be the end of an unframed response, and what healthy peers do: dropping
    /// a connection that was idle for longer than its time-out, or one that is reused, before the first byte of the
    /// response.
    std::size_t lost = 0;
    /// \brief Connections established before `since` that are still open.
    std::size_t open = 0;
    /// \brief Those of them on which bytes were received.
    std::size_t active = 0;
    [[nodiscard]] bool operator==(const OtherConnections&) const = default;
};

/// \brief What the connections of a pool show about the paths to their peers.
struct PoolActivity {
    /// \brief Last time at which a connection was established or bytes were received, whatever the peer.
    core::TimePoint heardAt {};
    /// \brief Since when the exchange that has waited longest on an open connection has received nothing; empty if none
    /// waits.
    std::optional<core::TimePoint> waitingSince;
    /// \brief Since when the oldest connection that is not established yet is being opened; empty if there is none.
    std::optional<core::TimePoint> connectingSince;
    [[nodiscard]] bool operator==(const PoolActivity&) const = default;
};

/// \brief The connection that carries an exchange, for logs.
struct ConnectionUse {
    /// \brief Number of the connection within its pool, from 1.
    std::uint64_t connection = 0;
    /// \brief Number of the exchange on that connection, from 1.
    std::uint64_t exchange = 0;
    [[nodiscard]] bool operator==(const ConnectionUse&) const = default;
};

struct ExchangeOptions {
    core::Duration connectTimeout = std::chrono::milliseconds(1'000);
    /// \brief An idle connection is reused only if its last response ended at most this long ago; 0 for a new one.
    core::Duration maxIdleTime = std::chrono::seconds(4);
    /// \brief Time limit from `send` to the end of the response; 0 sets no limit, and the caller cancels the exchange.
    core::Duration responseTimeout {};
    /// \brief The request is a HEAD request, so its response has no body.
    bool headRequest = false;
    /// \brief A response with a larger body is rejected as malformed.
    std::size_t maxBodyBytes = 16U << 20U;
    /// \brief Called when a new connection is open, directly before the request is sent: connecting takes up to
    /// `connectTimeout`, and longer if the process is frozen meanwhile. Empty for no check.
    std::function<bool()> mayBeSent;
    /// \brief Expected value of the response field `echoFieldName`. A response with another value belongs to another
    /// request and is skipped. A response without the field cannot be attributed to a request and is rejected as
    /// malformed. Requests with the same value are never sent on the same connection.
    std::string echoFieldValue;
    /// \brief Response field that repeats an identifier of the request; empty for no check. A connection carries either
    /// exchanges with such a field or exchanges without one.
    std::string echoFieldName;
    /// \brief Accepts a response without the field, for peers of versions that don't repeat it.
    bool echoIsOptional = false;
};

/// \brief HTTP/1.1 client on one thread that reuses idle connections to the same address. Never sends a request twice.
class ClientPool {
public:
    explicit ClientPool(asio::io_context& context);
    ~ClientPool();
    ClientPool(const ClientPool&) = delete;
    ClientPool& operator=(const ClientPool&) = delete;

    /// \brief Sends `request`, a complete serialised request, to `address` (IP:port). The callbacks are called after
    /// `send` has returned.
    ExchangeId send(const std::string& address, std::string request, ExchangeOptions options, ExchangeEvents events);
    /// \brief Resets the connection of the exchange; its callbacks are not called any more. Ignores unknown exchanges.
    void cancel(ExchangeId exchange);
    /// \brief Stops reading the response, so that the peer sends no more than the operating system holds. Ignores
    /// unknown exchanges. A connection that breaks is noticed after `resume`.
    void pause(ExchangeId exchange);
    /// \brief Continues to read the response.
    void resume(ExchangeId exchange);
    /// \brief Closes all idle connections to the address.
    void closeIdle(const std::string& address);
    /// \brief Closes all idle connections.
    void closeAllIdle();
    /// \brief Whether `send` would use an idle connection now.
    [[nodiscard]] bool canReuse(const std::string& address, const ExchangeOptions& options, core::TimePoint now) const;
    [[nodiscard]] PoolActivity activity() const;
    /// \brief What has happened on the connections to the address since `since`, which is at most `lossMemory` ago.
    [[nodiscard]] OtherConnections otherConnections(const std::string& address, core::TimePoint since) const;
    /// \brief Whether the connection of the exchange is not established yet, so that no byte of its request was sent.
    [[nodiscard]] bool isConnecting(ExchangeId exchange) const;
    /// \brief The connection of an exchange in progress; all 0 for an unknown one.
    [[nodiscard]] ConnectionUse connectionOf(ExchangeId exchange) const;
    /// \brief Number of responses so far that belonged to another request than the one in progress.
    [[nodiscard]] std::size_t skippedResponses() const noexcept { return this->skippedResponseCount; }
    /// \brief Number of connections opened so far, including failed attempts.
    [[nodiscard]] std::size_t openedConnections() const noexcept { return this->openedConnectionCount; }

    /// \brief Time for which a lost connection is remembered.
    static constexpr core::Duration lossMemory = std::chrono::seconds(1);

private:
    struct Connection;
    /// \brief A connection that the peer closed while it was idle or before the end of its response.
    struct LostConnection {
        core::TimePoint at {};
        std::string address;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    /// \brief Removes the connection from the pool that became idle last and may carry the exchange; null when there is
    /// none.
    [[nodiscard]] ConnectionPointer takeIdleConnection(
        const std::string& address, const ExchangeOptions& options, core::TimePoint now);
    /// \brief Whether a response to an earlier request on the idle connection can be told from the one to the exchange.
    [[nodiscard]] static bool attributesResponses(const Connection& connection, const ExchangeOptions& options);
    [[nodiscard]] static bool isReusable(
        const Connection& connection, const ExchangeOptions& options, core::TimePoint now);
    void connect(const ConnectionPointer& connection);
    void write(const ConnectionPointer& connection);
    void read(const ConnectionPointer& connection);
    void processResponseBytes(const ConnectionPointer& connection, std::string_view bytes);
    /// \brief Request that a received response head answers.
    enum class Attribution : int {
        ThisRequest,
        OtherRequest,
        Unknown,
    };
    [[nodiscard]] static Attribution attributeResponse(const Connection& connection);
    void deliverResponse(const ConnectionPointer& connection);
    void completeExchange(const ConnectionPointer& connection);
    void fail(const ConnectionPointer& connection, ExchangeEnd end);
    /// \brief Keeps the connection for reuse, or closes it when it cannot carry another request.
    void returnToPool(const ConnectionPointer& connection);
    void close(const ConnectionPointer& connection);
    void closeIdleConnection(const ConnectionPointer& connection);
    void recordLoss(const Connection& connection, core::TimePoint now);
    void scheduleTimeoutCheck();

    asio::io_context& context;
    /// \brief Receives the bytes of all connections.
    std::vector<char> readBuffer;
    asio::steady_timer timeoutCheckTimer;
    std::unordered_map<ExchangeId, ConnectionPointer> exchanges;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> idle;
    /// \brief In the order of their times.
    std::deque<LostConnection> lostConnections;
    core::TimePoint heardAt {};
    ExchangeId lastId = 0;
    std::size_t openedConnectionCount = 0;
    std::size_t skippedResponseCount = 0;
};

} // namespace lagoontiller::transport
