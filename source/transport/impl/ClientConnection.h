#pragma once

#include "transport/ClientPool.h"
#include "transport/SentIdentifiers.h"

namespace lagoontiller::transport {

/// \brief Idle time after which a connection is closed if the peer announced no time-out.
inline constexpr auto defaultKeepAliveTimeout = std::chrono::seconds(10);

/// \brief A connection of a pool, with the exchange that it carries.
struct ClientPool::Connection {
    Connection(asio::io_context& context, std::string address)
        : address(std::move(address))
        , socket(context)
        , parser(Parser::Kind::Response, ParserLimits {})
    {
    }

    std::string address;
    asio::ip::tcp::socket socket;
    Parser parser;
    ExchangeId exchange = 0;
    ConnectionUse use;
    /// \brief Whether its exchanges have an echo field, and the values that were sent.
    bool identified = false;
    SentIdentifiers identifiers;
    ExchangeEvents events;
    ExchangeOptions options;
    std::string request;
    core::TimePoint sentAt {};
    core::TimePoint connectDeadline {};
    core::TimePoint responseDeadline = core::TimePoint::max();
    core::TimePoint idleSince {};
    core::TimePoint connectedAt {};
    core::TimePoint receivedAt {};
    core::Duration keepAliveTimeout = defaultKeepAliveTimeout;
    bool connected = false;
    /// \brief The request was sent on a reused connection, and no byte of the response has been received yet.
    bool reusedWithoutResponse = false;
    bool writing = false;
    bool reading = false;
    bool headDelivered = false;
    bool skippingResponse = false;
    bool paused = false;
    bool closed = false;
};

} // namespace lagoontiller::transport
