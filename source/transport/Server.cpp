#include "transport/Server.h"

#include "core/Log.h"
#include "transport/SocketOptions.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <utility>

namespace lagoontiller::transport {

namespace {

/// \brief Interval between checks of the connection time-outs: a quarter of the shortest time-out in use.
constexpr auto timeoutCheckInterval = std::chrono::milliseconds(500);
constexpr std::size_t readBufferBytes = 16'384;
/// \brief Limit of the input that is buffered while a request is in progress; reading pauses when it is reached.
constexpr std::size_t maxUnparsedBytes = 65'536;
/// \brief Time for which the rest of a refused request is read; closing earlier could reset the connection before the
/// client has read the response.
constexpr auto maxDiscardTime = std::chrono::seconds(2);

} // namespace

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
    std::string pendingOutput;
    std::string outputInProgress;
    /// \brief Start of the time-out that applies: connection accepted, first byte of a request received or response
    /// ended.
    core::TimePoint phaseStart {};
    bool busy = false;
    bool keepAlive = true;
    bool reading = false;
    bool closed = false;
    bool closeAfterWrite = false;
    /// \brief The request was refused; its remaining bytes are ignored.
    bool discarding = false;
    /// \brief Bytes of the request's body that count towards the memory limit.
    std::size_t heldBytes = 0;
    std::array<char, readBufferBytes> buffer {};
};

Server::Server(asio::io_context& context, ServerEvents events)
    : context(context)
    , events(std::move(events))
    , acceptor(context)
    , timeoutCheckTimer(context)
{
}

Server::~Server()
{
    for (auto& [id, connection] : this->connectionsById)
        connection->closed = true;
}

std::string Server::listen(const std::string& ip, std::uint16_t port)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (error)
        return error.message();
    const asio::ip::tcp::endpoint endpoint(address, port);
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    this->accept();
    this->scheduleTimeoutCheck();
    return {};
}

std::uint16_t Server::port() const
{
    return this->acceptor.local_endpoint().port();
}

void Server::setLimits(const ServerLimits& limits)
{
    this->limits = limits;
}

void Server::startDraining()
{
    this->draining = true;
}

void Server::stopAccepting()
{
    if (!this->acceptor.is_open())
        return;
    // Closing the listening socket resets connections that are established but not yet accepted.
    asio::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (!error)
            this->addConnection(std::move(socket));
    }
    this->acceptor.close(error);
    if (error)
        core::logWarning("acceptor_close_failed").with("message", error.message());
}

void Server::closeIdle()
{
    const auto connections = this->connectionsById;
    for (const auto& [id, connection] : connections) {
        if (!connection->busy && !connection->parser.started() && connection->outputInProgress.empty())
            this->close(connection, false);
    }
}

void Server::accept()
{
    this->acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (!error)
            this->addConnection(std::move(socket));
        if (!this->acceptor.is_open())
            return;
        if (error)
            core::logWarning("accept_failed").with("message", error.message());
        this->accept();
    });
}

void Server::addConnection(asio::ip::tcp::socket&& socket)
{
    if (this->connectionsById.size() >= this->limits.maxConnections) {
        core::logWarning("connection_limit_reached").with("limit", this->limits.maxConnections);
        return;
    }
    configureSocket(socket);
    const auto id = ++this->lastId;
    auto connection = std::make_shared<Connection>(id, std::move(socket), this->limits.message);
    connection->phaseStart = core::monotonicNow();
    asio::error_code error;
    if (const auto peer = connection->socket.remote_endpoint(error); !error)
        connection->clientAddress = peer.address().to_string();
    this->connectionsById.emplace(id, connection);
    this->read(connection);
}

void Server::read(const ConnectionPointer& connection)
{
    if (connection->closed || connection->reading || connection->unparsedInput.size() >= maxUnparsedBytes)
        return;
    connection->reading = true;
    connection->socket.async_read_some(
        asio::buffer(connection->buffer), [this, connection](asio::error_code error, std::size_t size) {
            connection->reading = false;
            if (connection->closed)
                return;
            if (error) {
                this->close(connection, true);
                return;
            }
            this->handleReceived(connection, size);
        });
}

void Server::handleReceived(const ConnectionPointer& connection, std::size_t size)
{
    if (connection->discarding) {
        this->read(connection);
        return;
    }
    connection->unparsedInput.append(connection->buffer.data(), size);
    if (!connection->busy)
        this->parse(connection);
    if (!connection->closed)
        this->read(connection);
}

void Server::parse(const ConnectionPointer& connection)
{
    auto& parser = connection->parser;
    if (connection->closeAfterWrite || connection->discarding)
        return;
    if (!parser.started()) {
        parser.setLimits(this->limits.message);
        if (!connection->unparsedInput.empty())
            connection->phaseStart = core::monotonicNow();
    }
    const bool hadHead = parser.headComplete();
    const auto used = parser.feed(connection->unparsedInput);
    connection->unparsedInput.erase(0, used);
    const bool valid = parser.state() == ParserState::Incomplete || parser.state() == ParserState::Complete;
    if (valid && parser.headComplete() && !this->holdRequest(*connection)) {
        this->refuseRequest(connection);
        return;
    }
    switch (parser.state()) {
    case ParserState::Incomplete:
        if (!hadHead && parser.headComplete() && parser.fields().hasToken("Expect", "100-continue"))
            this->send(connection, "HTTP/1.1 100 Continue\r\n\r\n");
        return;
    case ParserState::Complete: {
        connection->busy = true;
        ++this->busyConnectionCount;
        auto request = parser.takeRequest();
        connection->keepAlive = request.keepAlive;
        request.clientAddress = connection->clientAddress;
        this->events.request(connection->id, std::move(request));
        return;
    }
    case ParserState::HeaderTooLarge:
        this->rejectRequest(connection, 431);
        return;
    case ParserState::BodyTooLarge:
        this->rejectRequest(connection, 413);
        return;
    case ParserState::Malformed:
        this->rejectRequest(connection, 400);
        return;
    }
}

void Server::rejectRequest(const ConnectionPointer& connection, int status)
{
    core::logInfo("request_unreadable").with("connection", connection->id).with("status", status);
    connection->keepAlive = false;
    connection->closeAfterWrite = true;
    this->send(connection, statusLine(status) + "Content-Length: 0\r\nConnection: close\r\n\r\n");
}

bool Server::holdRequest(Connection& connection)
{
    const auto& parser = connection.parser;
    const auto needed = std::max(connection.heldBytes, parser.expectedBodyBytes());
    const auto others = this->requestBytes - connection.heldBytes;
    if (others > 0 && needed > connection.heldBytes && others + needed > this->memoryLimits.requestBytes)
        return false;
    this->requestBytes = others + needed;
    connection.heldBytes = needed;
    return true;
}

void Server::releaseRequest(Connection& connection)
{
    this->requestBytes -= std::exchange(connection.heldBytes, 0);
}

void Server::refuseRequest(const ConnectionPointer& connection)
{
    core::logWarning("request_memory_full")
        .with("connection", connection->id)
        .with("held_bytes", this->requestBytes)
        .with("body_bytes", connection->parser.expectedBodyBytes());
    this->releaseRequest(*connection);
    connection->keepAlive = false;
    connection->discarding = true;
    connection->phaseStart = core::monotonicNow();
    connection->parser.reset();
    connection->unparsedInput = std::string();
    this->send(connection, statusLine(503) + "Content-Length: 0\r\nRetry-After: 0.5\r\nConnection: close\r\n\r\n");
}

void Server::respond(ConnectionId id, const std::string& head, std::string_view body)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    connection->keepAlive = connection->keepAlive && !this->draining;
    std::string text = head;
    appendField(text, "Content-Length", std::to_string(body.size()));
    if (!connection->keepAlive)
        appendField(text, "Connection", "close");
    text.append("\r\n").append(body);
    this->send(connection, text);
    this->finishResponse(connection);
}

void Server::begin(ConnectionId id, const std::string& head)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    connection->keepAlive = connection->keepAlive && !this->draining;
    std::string text = head;
    appendField(text, "Transfer-Encoding", "chunked");
    if (!connection->keepAlive)
        appendField(text, "Connection", "close");
    this->send(connection, text + "\r\n");
}

void Server::write(ConnectionId id, std::string_view bytes)
{
    if (const auto connection = this->find(id); connection && connection->busy && !bytes.empty())
        this->send(connection, chunk(bytes));
}

void Server::end(ConnectionId id)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    this->send(connection, lastChunk);
    this->finishResponse(connection);
}

void Server::abort(ConnectionId id)
{
    if (const auto connection = this->find(id))
        this->close(connection, false);
}

std::size_t Server::unsentBytes(ConnectionId id) const
{
    const auto connection = this->find(id);
    return connection ? connection->pendingOutput.size() + connection->outputInProgress.size() : 0;
}

void Server::finishResponse(const ConnectionPointer& connection)
{
    connection->busy = false;
    --this->busyConnectionCount;
    this->releaseRequest(*connection);
    connection->phaseStart = core::monotonicNow();
    connection->parser.reset();
    if (!connection->keepAlive) {
        connection->closeAfterWrite = true;
        if (connection->outputInProgress.empty() && connection->pendingOutput.empty())
            this->close(connection, false);
        return;
    }
    // The next request may already be buffered; it is parsed after the caller has returned.
    asio::post(this->context, [this, connection] {
        if (connection->closed || connection->busy)
            return;
        if (!connection->unparsedInput.empty())
            this->parse(connection);
        if (!connection->closed)
            this->read(connection);
    });
}

void Server::send(const ConnectionPointer& connection, std::string_view bytes)
{
    connection->pendingOutput.append(bytes);
    this->outputBytes += bytes.size();
    this->flush(connection);
    this->limitOutput();
}

void Server::limitOutput()
{
    if (this->outputBytes <= this->memoryLimits.outputBytes)
        return;
    const auto queued
        = [](const auto& entry) { return entry.second->pendingOutput.size() + entry.second->outputInProgress.size(); };
    const auto largest = std::max_element(this->connectionsById.begin(), this->connectionsById.end(),
        [&queued](const auto& left, const auto& right) { return queued(left) < queued(right); });
    if (largest == this->connectionsById.end())
        return;
    const auto connection = largest->second;
    core::logWarning("output_memory_full").with("connection", connection->id).with("queued_bytes", this->outputBytes);
    // The response is in progress in the calls above, so the connection is closed afterwards.
    asio::post(this->context, [this, connection] { this->close(connection, true); });
}

void Server::flush(const ConnectionPointer& connection)
{
    if (connection->closed || !connection->outputInProgress.empty() || connection->pendingOutput.empty())
        return;
    connection->outputInProgress.swap(connection->pendingOutput);
    asio::async_write(connection->socket, asio::buffer(connection->outputInProgress),
        [this, connection](asio::error_code error, std::size_t) {
            if (connection->closed)
                return;
            this->outputBytes -= connection->outputInProgress.size();
            connection->outputInProgress.clear();
            if (error) {
                this->close(connection, true);
                return;
            }
            if (!connection->pendingOutput.empty())
                this->flush(connection);
            else if (connection->closeAfterWrite)
                this->close(connection, false);
        });
}

void Server::close(const ConnectionPointer& connection, bool notify)
{
    if (connection->closed)
        return;
    connection->closed = true;
    this->releaseRequest(*connection);
    this->outputBytes -= connection->pendingOutput.size() + connection->outputInProgress.size();
    asio::error_code ignored; // The connection is discarded, so errors have no consequence.
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    connection->socket.close(ignored);
    this->connectionsById.erase(connection->id);
    if (!connection->busy)
        return;
    connection->busy = false;
    --this->busyConnectionCount;
    if (notify)
        this->events.disconnected(connection->id);
}

bool Server::hasTimedOut(const Connection& connection, core::TimePoint now) const
{
    if (connection.busy)
        return false;
    const auto age = now - connection.phaseStart;
    if (connection.discarding)
        return age > maxDiscardTime;
    if (!connection.parser.started())
        return age > this->limits.idleTimeout;
    return age > this->limits.requestTimeout || (!connection.parser.headComplete() && age > this->limits.headerTimeout);
}

void Server::scheduleTimeoutCheck()
{
    this->timeoutCheckTimer.expires_after(timeoutCheckInterval);
    this->timeoutCheckTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const auto now = core::monotonicNow();
        std::vector<ConnectionPointer> timedOut;
        for (const auto& [id, connection] : this->connectionsById) {
            if (this->hasTimedOut(*connection, now))
                timedOut.push_back(connection);
        }
        for (const auto& connection : timedOut)
            this->close(connection, false);
        this->scheduleTimeoutCheck();
    });
}

Server::ConnectionPointer Server::find(ConnectionId id) const
{
    const auto found = this->connectionsById.find(id);
    return found == this->connectionsById.end() ? nullptr : found->second;
}

} // namespace lagoontiller::transport
