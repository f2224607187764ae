#include "transport/ClientPool.h"

#include "document/Address.h"
#include "transport/SocketOptions.h"
#include "transport/impl/ClientConnection.h"

#include <algorithm>
#include <asio/write.hpp>
#include <charconv>

namespace lagoontiller::transport {

namespace {

constexpr auto timeoutCheckInterval = std::chrono::milliseconds(100);
/// \brief Subtracted from the time-out that the peer announced, so that no request is sent while the peer closes the
/// connection.
constexpr auto keepAliveMargin = std::chrono::milliseconds(700);
constexpr std::size_t readBufferBytes = 16'384;
constexpr std::size_t maxResponseHeadBytes = 65'536;

/// \brief Idle time-out that the peer announced as `timeout=N` (seconds) in the Keep-Alive field; the default without
/// it.
core::Duration peerKeepAliveTimeout(const Fields& fields)
{
    const auto value = fields.find("Keep-Alive");
    const auto at = value ? value->find("timeout=") : std::string_view::npos;
    if (at == std::string_view::npos)
        return defaultKeepAliveTimeout;
    int seconds = 0;
    const auto digits = value->substr(at + 8);
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

ClientPool::ClientPool(asio::io_context& context)
    : context(context)
    , readBuffer(readBufferBytes)
    , timeoutCheckTimer(context)
{
    this->scheduleTimeoutCheck();
}

ClientPool::~ClientPool()
{
    for (auto& [id, connection] : this->exchanges)
        connection->closed = true;
    for (auto& [address, connections] : this->idle) {
        for (auto& connection : connections)
            connection->closed = true;
    }
}

ExchangeId ClientPool::send(
    const std::string& address, std::string request, ExchangeOptions options, ExchangeEvents events)
{
    const auto now = core::monotonicNow();
    const auto id = ++this->lastId;
    auto connection = this->takeIdleConnection(address, options, now);
    const bool reused = connection != nullptr;
    if (!reused)
        connection = std::make_shared<Connection>(this->context, address);
    connection->exchange = id;
    ++connection->use.exchange;
    connection->identified = !options.echoFieldName.empty();
    if (connection->identified)
        connection->identifiers.add(options.echoFieldValue);
    connection->events = std::move(events);
    connection->request = std::move(request);
    connection->sentAt = now;
    connection->connectDeadline = now + options.connectTimeout;
    connection->responseDeadline
        = options.responseTimeout.count() > 0 ? now + options.responseTimeout : core::TimePoint::max();
    connection->reusedWithoutResponse = reused;
    connection->headDelivered = false;
    connection->skippingResponse = false;
    connection->paused = false;
    connection->parser.reset();
    connection->parser.setHeadRequest(options.headRequest);
    connection->parser.setLimits({ maxResponseHeadBytes, options.maxBodyBytes });
    connection->options = std::move(options);
    this->exchanges.emplace(id, connection);
    if (reused)
        this->write(connection);
    else
        this->connect(connection);
    return id;
}

void ClientPool::cancel(ExchangeId exchange)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
        return;
    const auto connection = found->second;
    // A reset also discards request data that is still in transit; an orderly close would deliver it.
    asio::error_code ignored; // The connection is discarded, so errors have no consequence.
    connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
    this->close(connection);
}

void ClientPool::pause(ExchangeId exchange)
{
    if (const auto found = this->exchanges.find(exchange); found != this->exchanges.end())
        found->second->paused = true;
}

void ClientPool::resume(ExchangeId exchange)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
        return;
    found->second->paused = false;
    if (found->second->connected)
        this->read(found->second);
}

void ClientPool::closeIdle(const std::string& address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return;
    const auto connections = std::move(found->second);
    this->idle.erase(found);
    for (const auto& connection : connections)
        this->close(connection);
}

void ClientPool::closeAllIdle()
{
    for (const auto& [address, connections] : std::exchange(this->idle, {})) {
        for (const auto& connection : connections)
            this->close(connection);
    }
}

bool ClientPool::canReuse(const std::string& address, const ExchangeOptions& options, core::TimePoint now) const
{
    const auto found = this->idle.find(address);
    return found != this->idle.end() && options.maxIdleTime > core::Duration::zero()
        && std::any_of(found->second.begin(), found->second.end(),
            [&options, now](const auto& connection) { return isReusable(*connection, options, now); });
}

PoolActivity ClientPool::activity() const
{
    PoolActivity result;
    result.heardAt = this->heardAt;
    const auto keepEarliest = [](std::optional<core::TimePoint>& earliest, core::TimePoint time) {
        earliest = std::min(earliest.value_or(time), time);
    };
    for (const auto& [id, connection] : this->exchanges) {
        if (!connection->connected)
            keepEarliest(result.connectingSince, connection->sentAt);
        else if (!connection->paused)
            keepEarliest(
                result.waitingSince, std::max({ connection->sentAt, connection->connectedAt, connection->receivedAt }));
    }
    return result;
}

OtherConnections ClientPool::otherConnections(const std::string& address, core::TimePoint since) const
{
    OtherConnections result;
    for (const auto& lost : this->lostConnections)
        result.lost += lost.at >= since && lost.address == address ? 1 : 0;
    const auto count = [&result, since](const Connection& connection) {
        // A connection that was established since may lead to a process that has replaced a killed one.
        const bool open = connection.connected && connection.connectedAt < since;
        result.open += open ? 1 : 0;
        result.active += open && connection.receivedAt >= since ? 1 : 0;
    };
    for (const auto& [id, connection] : this->exchanges) {
        if (connection->address == address)
            count(*connection);
    }
    if (const auto found = this->idle.find(address); found != this->idle.end()) {
        for (const auto& connection : found->second)
            count(*connection);
    }
    return result;
}

bool ClientPool::isConnecting(ExchangeId exchange) const
{
    const auto found = this->exchanges.find(exchange);
    return found != this->exchanges.end() && !found->second->connected;
}

ConnectionUse ClientPool::connectionOf(ExchangeId exchange) const
{
    const auto found = this->exchanges.find(exchange);
    return found == this->exchanges.end() ? ConnectionUse() : found->second->use;
}

ClientPool::ConnectionPointer ClientPool::takeIdleConnection(
    const std::string& address, const ExchangeOptions& options, core::TimePoint now)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end() || options.maxIdleTime == core::Duration::zero())
        return nullptr;
    auto& connections = found->second;
    const auto taken = std::find_if(connections.rbegin(), connections.rend(),
        [&options, now](const auto& connection) { return isReusable(*connection, options, now); });
    if (taken == connections.rend())
        return nullptr;
    auto connection = *taken;
    connections.erase(std::next(taken).base());
    return connection;
}

bool ClientPool::isReusable(const Connection& connection, const ExchangeOptions& options, core::TimePoint now)
{
    return now - connection.idleSince <= std::min(options.maxIdleTime, connection.keepAliveTimeout)
        && attributesResponses(connection, options);
}

bool ClientPool::attributesResponses(const Connection& connection, const ExchangeOptions& options)
{
    if (connection.identified != !options.echoFieldName.empty())
        return false;
    if (connection.identified)
        return !connection.identifiers.contains(options.echoFieldValue);
    // Without identifiers, bytes that arrived before the request are all that can be told apart.
    asio::error_code error;
    return connection.socket.available(error) == 0 && !error;
}

void ClientPool::connect(const ConnectionPointer& connection)
{
    connection->use.connection = ++this->openedConnectionCount;
    const auto address = document::parseAddress(connection->address);
    asio::error_code error;
    const auto ip = address ? asio::ip::make_address(address->ip, error) : asio::ip::address();
    if (!address || error) {
        asio::post(this->context, [this, connection] { this->fail(connection, ExchangeEnd::NotSent); });
        return;
    }
    connection->socket.async_connect(
        asio::ip::tcp::endpoint(ip, address->port), [this, connection](asio::error_code failure) {
            if (connection->closed)
                return;
            if (failure) {
                this->fail(connection, ExchangeEnd::NotSent);
                return;
            }
            connection->connected = true;
            connection->connectedAt = core::monotonicNow();
            this->heardAt = connection->connectedAt;
            configureSocket(connection->socket);
            connection->socket.non_blocking(true, failure);
            if (failure) {
                this->fail(connection, ExchangeEnd::NotSent);
                return;
            }
            if (connection->options.mayBeSent && !connection->options.mayBeSent()) {
                this->fail(connection, ExchangeEnd::Withheld);
                return;
            }
            this->read(connection);
            this->write(connection);
        });
}

void ClientPool::write(const ConnectionPointer& connection)
{
    connection->writing = true;
    asio::async_write(
        connection->socket, asio::buffer(connection->request), [this, connection](asio::error_code error, std::size_t) {
            connection->writing = false;
            // Nothing is sent twice, so that the copy of the request is needed no longer.
            connection->request = std::string();
            if (connection->closed)
                return;
            if (error)
                this->fail(connection, ExchangeEnd::Broken);
        });
}

void ClientPool::read(const ConnectionPointer& connection)
{
    if (connection->reading || connection->closed || connection->paused)
        return;
    connection->reading = true;
    // No buffer is held while the connection waits for bytes.
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [this, connection](asio::error_code error) {
        connection->reading = false;
        if (connection->closed || connection->paused)
            return;
        std::size_t size = 0;
        if (!error)
            size = connection->socket.read_some(asio::buffer(this->readBuffer), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            this->read(connection);
            return;
        }
        const auto now = core::monotonicNow();
        if (connection->exchange == 0) {
            // The peer closed the idle connection or sent bytes that belong to no request.
            if (error && now - connection->idleSince <= connection->keepAliveTimeout)
                this->recordLoss(*connection, now);
            this->closeIdleConnection(connection);
            return;
        }
        if (error == asio::error::eof) {
            connection->parser.finish();
            if (connection->parser.state() != ParserState::Complete)
                this->recordLoss(*connection, now);
            this->deliverResponse(connection);
            if (!connection->closed)
                this->fail(connection, ExchangeEnd::Broken);
            return;
        }
        if (error) {
            this->recordLoss(*connection, now);
            this->fail(connection, ExchangeEnd::Broken);
            return;
        }
        connection->receivedAt = now;
        this->heardAt = now;
        this->processResponseBytes(connection, std::string_view(this->readBuffer.data(), size));
        if (!connection->closed)
            this->read(connection);
    });
}

void ClientPool::processResponseBytes(const ConnectionPointer& connection, std::string_view bytes)
{
    connection->reusedWithoutResponse = false;
    // A response to another request is skipped, and the bytes after it are parsed as the next response.
    while (!bytes.empty() && !connection->closed && connection->exchange != 0) {
        bytes.remove_prefix(connection->parser.feed(bytes));
        const bool complete = connection->parser.state() == ParserState::Complete;
        const bool skipped = !connection->headDelivered && attributeResponse(*connection) == Attribution::OtherRequest;
        // A connection with surplus bytes after the complete response is not reused.
        if (!bytes.empty() && complete && !skipped)
            connection->keepAliveTimeout = core::Duration::zero();
        this->deliverResponse(connection);
        if (!complete || !skipped)
            return;
    }
}

ClientPool::Attribution ClientPool::attributeResponse(const Connection& connection)
{
    if (connection.options.echoFieldName.empty())
        return Attribution::ThisRequest;
    const auto echoed = connection.parser.fields().find(connection.options.echoFieldName);
    if (!echoed)
        return connection.options.echoIsOptional ? Attribution::ThisRequest : Attribution::Unknown;
    return *echoed == connection.options.echoFieldValue ? Attribution::ThisRequest : Attribution::OtherRequest;
}

void ClientPool::deliverResponse(const ConnectionPointer& connection)
{
    auto& parser = connection->parser;
    if (parser.headComplete() && !connection->headDelivered && !connection->skippingResponse) {
        const auto attribution = attributeResponse(*connection);
        if (attribution == Attribution::Unknown) {
            this->fail(connection, ExchangeEnd::Malformed);
            return;
        }
        connection->skippingResponse = attribution == Attribution::OtherRequest;
        if (!connection->skippingResponse) {
            connection->headDelivered = true;
            connection->events.head(
                ResponseHead { parser.status(), parser.fields(), parser.framing(), parser.keepAlive() });
        }
    }
    if (connection->closed)
        return;
    if (auto body = parser.takeBody(); !body.empty() && connection->headDelivered)
        connection->events.body(std::move(body));
    if (connection->closed)
        return;
    if (parser.state() == ParserState::Complete)
        this->completeExchange(connection);
    else if (parser.state() != ParserState::Incomplete)
        this->fail(connection, ExchangeEnd::Malformed);
}

void ClientPool::completeExchange(const ConnectionPointer& connection)
{
    if (connection->skippingResponse) {
        connection->skippingResponse = false;
        ++this->skippedResponseCount;
        const bool reusable = connection->parser.keepAlive() && connection->parser.framing() != Framing::UntilClose;
        connection->parser.reset();
        if (!reusable)
            this->fail(connection, ExchangeEnd::Broken);
        return;
    }
    const auto events = std::move(connection->events);
    const auto end = connection->parser.framing() == Framing::UntilClose ? ExchangeEnd::Closed : ExchangeEnd::Complete;
    this->exchanges.erase(connection->exchange);
    connection->exchange = 0;
    connection->paused = false;
    this->returnToPool(connection);
    events.ended(end);
}

void ClientPool::returnToPool(const ConnectionPointer& connection)
{
    auto& parser = connection->parser;
    const auto peerTimeout = peerKeepAliveTimeout(parser.fields());
    const bool reusable = parser.keepAlive() && parser.framing() != Framing::UntilClose && !connection->writing
        && connection->keepAliveTimeout > core::Duration::zero() && peerTimeout > keepAliveMargin
        && !connection->identifiers.full();
    if (!reusable) {
        this->close(connection);
        return;
    }
    connection->keepAliveTimeout = peerTimeout - keepAliveMargin;
    connection->idleSince = core::monotonicNow();
    this->idle[connection->address].push_back(connection);
    this->read(connection);
}

void ClientPool::fail(const ConnectionPointer& connection, ExchangeEnd end)
{
    if (connection->closed)
        return;
    if (end == ExchangeEnd::Broken && connection->reusedWithoutResponse)
        end = ExchangeEnd::BrokenReused;
    const auto events = std::move(connection->events);
    this->close(connection);
    if (events.ended)
        events.ended(end);
}

void ClientPool::close(const ConnectionPointer& connection)
{
    if (connection->closed)
        return;
    connection->closed = true;
    if (connection->exchange != 0)
        this->exchanges.erase(connection->exchange);
    asio::error_code ignored; // The connection is discarded, so errors have no consequence.
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    connection->socket.close(ignored);
    // The callbacks may own references to their exchange, and one of them may be running: they are destroyed later.
    asio::post(this->context, [connection] { connection->events = ExchangeEvents(); });
}

void ClientPool::closeIdleConnection(const ConnectionPointer& connection)
{
    const auto found = this->idle.find(connection->address);
    if (found != this->idle.end())
        std::erase(found->second, connection);
    this->close(connection);
}

void ClientPool::recordLoss(const Connection& connection, core::TimePoint now)
{
    // The peer may have dropped a reused connection before it got the request.
    if (connection.reusedWithoutResponse)
        return;
    this->lostConnections.push_back({ now, connection.address });
}

void ClientPool::scheduleTimeoutCheck()
{
    this->timeoutCheckTimer.expires_after(timeoutCheckInterval);
    this->timeoutCheckTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const auto now = core::monotonicNow();
        while (!this->lostConnections.empty() && now - this->lostConnections.front().at > lossMemory)
            this->lostConnections.pop_front();
        std::vector<ConnectionPointer> timedOut;
        for (const auto& [id, connection] : this->exchanges) {
            if ((!connection->connected && now >= connection->connectDeadline) || now >= connection->responseDeadline)
                timedOut.push_back(connection);
        }
        for (const auto& connection : timedOut)
            this->fail(connection, connection->connected ? ExchangeEnd::TimedOut : ExchangeEnd::NotSent);
        std::vector<ConnectionPointer> expired;
        for (const auto& [address, connections] : this->idle) {
            for (const auto& connection : connections) {
                if (now - connection->idleSince > connection->keepAliveTimeout)
                    expired.push_back(connection);
            }
        }
        for (const auto& connection : expired)
            this->closeIdleConnection(connection);
        std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
        this->scheduleTimeoutCheck();
    });
}

} // namespace lagoontiller::transport
