#include "gateway/ExchangeRelayServer.h"

#include "core/Log.h"
#include "gateway/impl/ExchangeMessages.h"
#include "platform/EndpointMessages.h"

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;
using transport::ProbeResult;

constexpr core::Duration connectTimeout = std::chrono::milliseconds(700);
/// \brief The peer ends the call at its deadline; this ends an exchange whose peer can't.
constexpr core::Duration deadlineMargin = std::chrono::milliseconds(2'000);
/// \brief Connections that were lost this long before a response ended were lost at the same moment.
constexpr core::Duration sameMoment = std::chrono::milliseconds(20);
constexpr transport::ProbeLimits closeProbe { std::chrono::milliseconds(60), std::chrono::milliseconds(30) };
constexpr std::size_t maxPartBytes = 64U << 10U;

transport::ExchangeOptions exchangeOptions(const wire::RelayedExchange& request)
{
    transport::ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.maxIdleTime = std::chrono::milliseconds(request.max_idle_ms());
    options.responseTimeout = std::chrono::milliseconds(request.deadline_ms()) + deadlineMargin;
    options.headRequest = request.head_request();
    options.maxBodyBytes = request.max_body_bytes();
    options.echoFieldName = request.echo_name();
    options.echoFieldValue = request.echo_value();
    // The clock counts the time for which the machine was suspended: the peer may have given up the call meanwhile, and
    // its permission to send it may have ended.
    const auto sendBy = core::BootClock::now() + std::chrono::milliseconds(request.send_within_ms());
    options.mayBeSent = [sendBy] { return core::BootClock::now() <= sendBy; };
    return options;
}

} // namespace

ExchangeRelayServer::ExchangeRelayServer(ExchangeRelayServerDependencies dependencies, std::size_t maxBytes)
    : dependencies(dependencies)
    , maxBytes(maxBytes)
{
}

void ExchangeRelayServer::serve(
    transport::ConnectionId connection, const wire::RelayedExchange& request, core::TimePoint now)
{
    this->waiting.insert(connection);
    this->dependencies.endpointExchanges.provePaths(now, [this, connection, request](bool open) {
        // The peer may have left meanwhile.
        if (this->waiting.erase(connection) > 0)
            this->serveIfProven(connection, request, open);
    });
}

void ExchangeRelayServer::serveIfProven(
    transport::ConnectionId connection, const wire::RelayedExchange& request, bool pathsOpen)
{
    const auto* const endpoint = this->dependencies.endpointDirectory.find(request.endpoint());
    const auto deadline = core::monotonicNow() + std::chrono::milliseconds(request.deadline_ms());
    if (!pathsOpen || (this->stopSchedule && !this->stopSchedule->admits(deadline))) {
        this->reject(connection, wire::RelayRejection::NO_PATH, false);
    } else if (endpoint == nullptr || endpoint->entry.draining || endpoint->leaving
        || endpoint->entry.startedAt != request.endpoint_started_at_ms()) {
        this->reject(connection, wire::RelayRejection::NOT_SERVING, endpoint != nullptr && endpoint->leaving);
    } else if (this->exchanges.size() >= maxExchanges
        || (!this->exchanges.empty() && this->heldBytes + request.request().size() > this->maxBytes)) {
        this->reject(connection, wire::RelayRejection::BUSY, false);
    } else {
        this->forward(connection, request);
    }
}

void ExchangeRelayServer::reject(transport::ConnectionId connection, int reason, bool leaving)
{
    wire::RelayRejection rejection;
    rejection.set_reason(static_cast<wire::RelayRejection::Reason>(reason));
    rejection.set_leaving(leaving);
    this->dependencies.metrics.add("gateway_relays_served_total", { { "outcome", "rejected" } });
    this->dependencies.server.respond(connection, transport::statusLine(503), rejection.SerializeAsString());
}

void ExchangeRelayServer::forward(transport::ConnectionId connection, const wire::RelayedExchange& request)
{
    const auto& endpoint = *this->dependencies.endpointDirectory.find(request.endpoint());
    auto head = transport::statusLine(200);
    transport::appendField(head, "Content-Type", impl::relayContentType);
    this->dependencies.server.begin(connection, head);
    auto& exchange = this->exchanges[connection];
    exchange.endpoint = request.endpoint();
    exchange.address = endpoint.entry.address;
    exchange.endpointStartedAt = endpoint.entry.startedAt;
    exchange.bytes = request.request().size();
    this->heldBytes += exchange.bytes;
    this->dependencies.endpointDirectory.callSent(exchange.endpoint, core::monotonicNow());
    transport::ExchangeEvents events;
    events.head = [this, connection](transport::ResponseHead&& answer) { this->forwardHead(connection, answer); };
    events.body = [this, connection](std::string&& bytes) { this->forwardBody(connection, std::move(bytes)); };
    events.ended = [this, connection](ExchangeEnd end) { this->ended(connection, end); };
    exchange.id = this->dependencies.endpoints.send(
        exchange.address, request.request(), exchangeOptions(request), std::move(events));
}

void ExchangeRelayServer::forwardHead(transport::ConnectionId connection, const transport::ResponseHead& head)
{
    auto& exchange = this->exchanges.at(connection);
    wire::RelayedPart part;
    *part.mutable_head() = impl::encodeHead(head);
    this->write(connection, part);
    const auto response = platform::decodeResponse(transport::ResponseHead(head));
    exchange.answered = true;
    exchange.success = isSuccess(response.status);
    if (response.leaving) {
        this->dependencies.endpointDirectory.markLeaving(
            exchange.endpoint, exchange.endpointStartedAt, core::monotonicNow());
    }
}

void ExchangeRelayServer::forwardBody(transport::ConnectionId connection, std::string&& bytes)
{
    for (std::size_t at = 0; at < bytes.size(); at += maxPartBytes) {
        wire::RelayedPart part;
        part.set_body(bytes.substr(at, maxPartBytes));
        this->write(connection, part);
    }
    auto& exchange = this->exchanges.at(connection);
    if (!exchange.paused && this->dependencies.server.shouldPause(connection)) {
        exchange.paused = true;
        this->dependencies.endpoints.pause(exchange.id);
    }
}

void ExchangeRelayServer::handleDrained(transport::ConnectionId connection)
{
    const auto found = this->exchanges.find(connection);
    if (found == this->exchanges.end() || !std::exchange(found->second.paused, false))
        return;
    this->dependencies.endpoints.resume(found->second.id);
}

void ExchangeRelayServer::handleDisconnect(transport::ConnectionId connection)
{
    this->waiting.erase(connection);
    const auto found = this->exchanges.find(connection);
    if (found == this->exchanges.end())
        return;
    this->dependencies.endpoints.cancel(found->second.id);
    this->dependencies.endpointDirectory.callAbandoned(found->second.endpoint);
    this->dependencies.metrics.add("gateway_relays_served_total", { { "outcome", "cancelled" } });
    this->remove(connection);
}

void ExchangeRelayServer::handlePathsLost()
{
    std::vector<std::pair<transport::ConnectionId, ExchangeEnd>> silent;
    for (const auto& [connection, exchange] : this->exchanges) {
        if (exchange.answered)
            continue;
        const bool sent = !this->dependencies.endpoints.isConnecting(exchange.id);
        silent.emplace_back(connection, sent ? ExchangeEnd::Broken : ExchangeEnd::NoPath);
    }
    for (const auto& [connection, end] : silent) {
        this->dependencies.endpoints.cancel(this->exchanges.at(connection).id);
        this->ended(connection, end);
    }
}

void ExchangeRelayServer::ended(transport::ConnectionId connection, ExchangeEnd end)
{
    const auto& exchange = this->exchanges.at(connection);
    const auto now = core::monotonicNow();
    if (end == ExchangeEnd::NotSent)
        this->dependencies.endpointDirectory.callFailed(exchange.endpoint, policy::FailureKind::ConnectionRefused, now);
    else
        this->dependencies.endpointDirectory.callAbandoned(exchange.endpoint);
    if (end == ExchangeEnd::Closed && exchange.success) {
        this->endClosed(connection);
        return;
    }
    wire::RelayedEnd message;
    // Nothing was sent: another peer may send the request in time.
    message.set_end(static_cast<std::uint32_t>(end == ExchangeEnd::Withheld ? ExchangeEnd::NoPath : end));
    this->finish(connection, message);
}

void ExchangeRelayServer::endClosed(transport::ConnectionId connection)
{
    const auto address = this->exchanges.at(connection).address;
    const auto closedAt = core::monotonicNow();
    transport::probeAddress(
        this->dependencies.context, address, closeProbe, [this, connection, address, closedAt](ProbeResult result) {
            // The peer may have left meanwhile.
            if (!this->exchanges.contains(connection))
                return;
            auto others = this->dependencies.endpoints.otherConnections(address, closedAt - sameMoment);
            others.active = this->dependencies.endpoints.otherConnections(address, closedAt).active;
            wire::RelayedEnd message;
            message.set_end(static_cast<std::uint32_t>(ExchangeEnd::Closed));
            message.set_lost_connections(others.lost);
            message.set_open_connections(others.open);
            message.set_active_connections(others.active);
            message.set_probe(static_cast<std::uint32_t>(result));
            this->finish(connection, message);
        });
}

void ExchangeRelayServer::write(transport::ConnectionId connection, const wire::RelayedPart& part)
{
    this->dependencies.server.write(connection, impl::encodePart(part));
}

void ExchangeRelayServer::finish(transport::ConnectionId connection, const wire::RelayedEnd& end)
{
    wire::RelayedPart part;
    *part.mutable_end() = end;
    this->write(connection, part);
    this->dependencies.metrics.add("gateway_relays_served_total", { { "outcome", "ended" } });
    this->remove(connection);
    this->dependencies.server.end(connection);
}

void ExchangeRelayServer::remove(transport::ConnectionId connection)
{
    const auto found = this->exchanges.find(connection);
    this->heldBytes -= found->second.bytes;
    this->exchanges.erase(found);
}

} // namespace lagoontiller::gateway
