#include "transport/Server.h"

#include "core/Log.h"
#include "transport/SocketOptions.h"
#include "transport/impl/ServerConnection.h"

#include <utility>

namespace lagoontiller::transport {

namespace {

/// \brief Interval between checks of the connection time-outs: a quarter of the shortest time-out in use.
constexpr auto timeoutCheckInterval = std::chrono::milliseconds(500);
constexpr std::size_t readBufferBytes = 16'384;
/// \brief Pause after a failed accept: without descriptors the next one would fail at once.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
/// \brief Time for which the rest of a refused request is read; closing earlier could reset the connection before the
/// client has read the response.
constexpr auto maxDiscardTime = std::chrono::seconds(2);

} // namespace

Server::Server(asio::io_context& context, ServerEvents events)
    : context(context)
    , events(std::move(events))
    , readBuffer(readBufferBytes)
    , acceptor(context)
    , acceptRetryTimer(context)
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

void Server::setMemoryLimits(const ServerMemoryLimits& limits)
{
    this->memoryLimits = limits;
    this->requestMemory.setLimits({ limits.requestBytes, limits.smallRequestReserveBytes, limits.stallTime });
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
        if (!error) {
            this->accept();
            return;
        }
        core::logWarning("accept_failed").with("message", error.message());
        this->acceptRetryTimer.expires_after(acceptRetryDelay);
        this->acceptRetryTimer.async_wait([this](asio::error_code cancelled) {
            if (!cancelled && this->acceptor.is_open())
                this->accept();
        });
    });
}

void Server::addConnection(asio::ip::tcp::socket&& socket)
{
    if (this->connectionsById.size() >= this->limits.maxConnections && !this->closeUnusedConnection()) {
        core::logWarning("connection_limit_reached").with("limit", this->limits.maxConnections);
        return;
    }
    configureSocket(socket);
    asio::error_code error;
    socket.non_blocking(true, error);
    if (error) {
        core::logWarning("socket_option_failed").with("option", "non_blocking").with("message", error.message());
        return;
    }
    const auto id = ++this->lastId;
    auto connection = std::make_shared<Connection>(id, std::move(socket), this->limits.message);
    connection->phaseStart = core::monotonicNow();
    if (const auto peer = connection->socket.remote_endpoint(error); !error)
        connection->clientAddress = peer.address().to_string();
    this->connectionsById.emplace(id, connection);
    this->read(connection);
}

bool Server::closeUnusedConnection()
{
    ConnectionPointer longestIdle;
    for (const auto& [id, connection] : this->connectionsById) {
        const bool idle = !connection->busy && !connection->parser.started() && connection->accountedOutputBytes == 0;
        if (idle && (!longestIdle || connection->phaseStart < longestIdle->phaseStart))
            longestIdle = connection;
    }
    if (!longestIdle) {
        if (const auto stalled = this->requestMemory.longestStalled(core::monotonicNow()))
            longestIdle = this->find(*stalled);
    }
    if (!longestIdle)
        return false;
    this->close(longestIdle, false);
    return true;
}

void Server::close(const ConnectionPointer& connection, bool notify)
{
    if (connection->closed)
        return;
    connection->closed = true;
    this->requestMemory.release(connection->id);
    this->outputBytes -= std::exchange(connection->accountedOutputBytes, 0);
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
            else if (connection->readingPaused)
                this->read(connection);
        }
        for (const auto& connection : timedOut) {
            // A refused request has its response already, and an idle connection has no request.
            if (connection->parser.started() && !connection->closeAfterWrite)
                this->refuseRequest(connection, 408, "timed_out");
            else
                this->close(connection, false);
        }
        this->scheduleTimeoutCheck();
    });
}

Server::ConnectionPointer Server::find(ConnectionId id) const
{
    const auto found = this->connectionsById.find(id);
    return found == this->connectionsById.end() ? nullptr : found->second;
}

} // namespace lagoontiller::transport
