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

using ExchangeId = std::uint64_t;

/// \brief How an exchange ended.
enum class ExchangeEnd : int {
    /// \brief The whole response was read.
    Complete,
    /// \brief No byte of the request was sent.
    NotSent,
    /// \brief The connection was closed or reset before the response was complete.
    Broken,
    /// \brief The same on a kept connection before the first byte of the response. The peer may have forgotten the
    /// connection while it was idle, or may have read the request.
    BrokenReused,
    /// \brief The peer sent bytes that are no response.
    Malformed,
    /// \brief `responseTimeout` passed.
    TimedOut,
};

struct ExchangeEvents {
    std::function<void(ResponseHead&&)> head;
    std::function<void(std::string&&)> body;
    std::function<void(ExchangeEnd)> ended;
};

struct ExchangeOptions {
    core::Duration connectTimeout = std::chrono::milliseconds(1'000);
    /// \brief A kept connection is used only if its last response ended at most this long ago.
    core::Duration maxIdleTime = std::chrono::seconds(4);
    /// \brief Longest time to the end of the response; 0 means that the caller cancels.
    core::Duration responseTimeout {};
    bool headRequest = false;
    /// \brief Value that the response must echo in `echoFieldName`; a response with another value is skipped.
    std::string echoFieldValue;
    std::string echoFieldName;
};

/// \brief Outgoing HTTP/1.1 connections on one thread, kept per address. A request is never sent twice.
class ClientPool {
public:
    explicit ClientPool(asio::io_context& context);
    ~ClientPool();
    ClientPool(const ClientPool&) = delete;
    ClientPool& operator=(const ClientPool&) = delete;

    /// \brief Sends `text`, a whole serialised request, to `address` (IP:port). Events come later, `ended` last.
    ExchangeId send(const std::string& address, std::string request, ExchangeOptions options, ExchangeEvents events);
    /// \brief Closes the connection of the exchange; no further events.
    void cancel(ExchangeId exchange);
    /// \brief Closes all kept connections to the address.
    void closeIdle(const std::string& address);
    [[nodiscard]] std::size_t openedConnections() const noexcept { return this->openedConnectionCount; }

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    [[nodiscard]] ConnectionPointer takeIdleConnection(
        const std::string& address, core::Duration maxIdleTime, core::TimePoint now);
    void connect(const ConnectionPointer& connection);
    void write(const ConnectionPointer& connection);
    void read(const ConnectionPointer& connection);
    void processResponseBytes(const ConnectionPointer& connection, std::string_view bytes);
    /// \brief Whether the response whose head was read belongs to the exchange.
    [[nodiscard]] static bool belongsToExchange(const Connection& connection);
    void deliverResponse(const ConnectionPointer& connection);
    void completeExchange(const ConnectionPointer& connection);
    void fail(const ConnectionPointer& connection, ExchangeEnd end);
    void returnToPool(const ConnectionPointer& connection);
    void close(const ConnectionPointer& connection);
    void closeIdleConnection(const ConnectionPointer& connection);
    void scheduleTimeoutCheck();

    asio::io_context& context;
    asio::steady_timer timeoutCheckTimer;
    std::unordered_map<ExchangeId, ConnectionPointer> exchanges;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> idle;
    ExchangeId lastId = 0;
    std::size_t openedConnectionCount = 0;
};

} // namespace lagoontiller::transport
