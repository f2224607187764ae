#pragma once

#include "transport/Server.h"

#include <deque>

namespace lagoontiller::transport {

/// \brief State of one connection, shared by the files of the server.
struct Server::Connection {
    Connection(ConnectionId id, asio::ip::tcp::socket&& socket, ParserLimits limits)
        : id(id)
        , socket(std::move(socket))
        , parser(Parser::Kind::Request, limits)
    {
    }

    ConnectionId id;
    std::string clientAddress;
    asio::ip::tcp::socket socket;
    Parser parser;
    std::string unparsedInput;
    /// \brief Output that waits for the one in progress. It is held in parts, because a single buffer that grows would
    /// take twice its size.
    std::deque<std::string> pendingOutput;
    std::vector<std::string> outputInProgress;
    /// \brief Bytes of both that are not yet written, and the memory of both, which counts towards the limit.
    std::size_t unsentBytes = 0;
    std::size_t accountedOutputBytes = 0;
    /// \brief The source of the response waits until the client has read.
    bool outputPaused = false;
    /// \brief Start of the time-out that applies: connection accepted, first byte of a request received or response
    /// ended.
    core::TimePoint phaseStart {};
    /// \brief Value of the echo field of the request in progress.
    std::string echo;
    bool busy = false;
    bool keepAlive = true;
    bool reading = false;
    bool closed = false;
    bool closeAfterWrite = false;
    /// \brief The request was refused; its remaining bytes are ignored.
    bool discarding = false;
    /// \brief Bytes that follow the request in progress stay in the socket, because there is no memory for them.
    bool readingPaused = false;
};

} // namespace lagoontiller::transport
