#include "gateway/RelayedExchanges.h"

#include "core/Log.h"
#include "gateway/PeerClient.h"

#include <random>

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;

/// \brief A peer that does not reach the endpoints rejects within milliseconds, so that most of a zone can be asked.
constexpr std::size_t maxPeersPerExchange = 12;
/// \brief Peers regain their paths, or start, at any time, and without a peer calls are refused.
constexpr core::Duration maxPeerAbsence = std::chrono::milliseconds(500);
constexpr core::Duration connectTimeout = std::chrono::milliseconds(150);
/// \brief Peers keep idle connections for one minute.
constexpr core::Duration maxIdleTime = std::chrono::seconds(30);
/// \brief Time in which a peer accepts or rejects an exchange.
constexpr core::Duration maxAnswerTime = std::chrono::milliseconds(300);
/// \brief Time after which a peer must not send the request any more, counted from its receipt.
constexpr core::Duration sendWithin = std::chrono::milliseconds(1'000);
/// \brief Bytes of a part beside its content.
constexpr std::size_t maxPartOverhead = 64U << 10U;

std::uint64_t milliseconds(core::Duration duration)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

std::string encodeExchange(const EndpointExchange& exchange, core::TimePoint now)
{
    wire::PeerRequest message;
    auto& relayed = *message.mutable_exchange();
    relayed.set_endpoint(exchange.endpoint);
    relayed.set_endpoint_started_at_ms(exchange.endpointStartedAt);
    relayed.set_request(exchange.request);
    relayed.set_echo_name(exchange.options.echoFieldName);
    relayed.set_echo_value(exchange.options.echoFieldValue);
    relayed.set_head_request(exchange.options.headRequest);
    relayed.set_max_body_bytes(exchange.options.maxBodyBytes);
    relayed.set_max_idle_ms(milliseconds(exchange.options.maxIdleTime));
    relayed.set_send_within_ms(milliseconds(std::min(sendWithin, exchange.deadline - now)));
    relayed.set_deadline_ms(milliseconds(exchange.deadline - now));
    return message.SerializeAsString();
}

} // namespace

RelayedExchanges::RelayedExchanges(
    transport::ClientPool& pool, const NodeRegistry& nodeRegistry, EndpointDirectory& endpointDirectory)
    : pool(pool)
    , nodeRegistry(nodeRegistry)
    , endpointDirectory(endpointDirectory)
    , selector(std::random_device()(), { maxPeersPerExchange, maxPeerAbsence })
{
}

std::vector<std::string> RelayedExchanges::choosePeers(core::TimePoint now)
{
    std::vector<std::string> zonePeers;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self)
            zonePeers.push_back(peer.address);
    }
    auto otherPeers = this->nodeRegistry.otherZonePeers();
    // A stopping peer takes what can end before it does.
    const auto unready = this->nodeRegistry.unreadyPeers();
    otherPeers.insert(otherPeers.end(), unready.begin(), unready.end());
    return this->selector.choose(zonePeers, otherPeers, RelaySelector::Purpose::Probe, now);
}

bool RelayedExchanges::hasPeers() const
{
    return this->nodeRegistry.hasPeers();
}

transport::ExchangeId RelayedExchanges::send(EndpointExchange exchange, transport::ExchangeEvents events)
{
    const auto id = ++this->lastId;
    auto& relay = this->relays[id];
    relay.exchange = std::move(exchange);
    relay.events = std::move(events);
    relay.peers = this->choosePeers(core::monotonicNow());
    this->tryNextPeer(id);
    return id;
}

void RelayedExchanges::tryNextPeer(transport::ExchangeId id)
{
    auto& relay = this->relays.at(id);
    const auto now = core::monotonicNow();
    const bool permitted = !relay.exchange.options.mayBeSent || relay.exchange.options.mayBeSent();
    transport::ExchangeEvents events;
    events.ended = [this, id](ExchangeEnd end) { this->peerEnded(id, end); };
    if (!permitted || relay.nextPeer == relay.peers.size()) {
        const auto end = permitted ? ExchangeEnd::NoPath : ExchangeEnd::Withheld;
        relay.end = end;
        // The events of an exchange follow its sending.
        relay.peerExchange = this->pool.send({}, {}, {}, std::move(events));
        return;
    }
    relay.peer = relay.peers[relay.nextPeer++];
    relay.status = 0;
    relay.accepted = false;
    relay.overdue = false;
    relay.sentAt = now;
    relay.rejection.clear();
    const auto body = encodeExchange(relay.exchange, now);
    transport::ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.maxIdleTime = maxIdleTime;
    options.maxBodyBytes = relay.exchange.options.maxBodyBytes * 2 + maxPartOverhead;
    options.echoFieldName = PeerClient::exchangeField;
    options.echoFieldValue = "relay-" + std::to_string(++this->lastMessage);
    std::string text = "POST " + std::string(impl::relayTarget) + " HTTP/1.1\r\n";
    transport::appendField(text, "Host", relay.peer);
    transport::appendField(text, PeerClient::exchangeField, options.echoFieldValue);
    transport::appendField(text, "Content-Length", std::to_string(body.size()));
    text.append("\r\n").append(body);
    events.head = [this, id](transport::ResponseHead&& head) { this->peerAnswered(id, head); };
    events.body = [this, id](std::string&& bytes) { this->peerSent(id, bytes); };
    relay.peerExchange = this->pool.send(relay.peer, std::move(text), std::move(options), std::move(events));
}

void RelayedExchanges::peerAnswered(transport::ExchangeId id, const transport::ResponseHead& head)
{
    auto& relay = this->relays.at(id);
    relay.status = head.status;
    relay.accepted = head.status == 200 && head.fields.find("Content-Type") == impl::relayContentType;
    if (!relay.accepted)
        return;
    this->selector.reached(relay.peer, core::monotonicNow());
    if (relay.paused)
        this->pool.pause(relay.peerExchange);
}

void RelayedExchanges::peerSent(transport::ExchangeId id, std::string_view bytes)
{
    auto& relay = this->relays.at(id);
    if (!relay.accepted) {
        relay.rejection.append(bytes);
        return;
    }
    const auto parts = relay.reader.feed(bytes);
    if (!parts) {
        this->pool.cancel(relay.peerExchange);
        this->finish(id, ExchangeEnd::Malformed);
        return;
    }
    for (const auto& part : *parts) {
        if (!this->relays.contains(id))
            return;
        this->deliver(id, part);
    }
}

void RelayedExchanges::deliver(transport::ExchangeId id, const wire::RelayedPart& part)
{
    auto& relay = this->relays.at(id);
    switch (part.part_case()) {
    case wire::RelayedPart::kHead:
        // The request was sent, and it is never sent through another peer.
        relay.exchange.request = std::string();
        if (relay.events.head && !std::exchange(relay.headDelivered, true)) {
            // The handler may cancel the exchange, which destroys the callbacks.
            const auto head = relay.events.head;
            head(impl::decodeHead(part.head()));
        }
        break;
    case wire::RelayedPart::kBody:
        if (relay.events.body && relay.headDelivered) {
            const auto body = relay.events.body;
            body(std::string(part.body()));
        }
        break;
    case wire::RelayedPart::kEnd:
        relay.end = impl::decodeEnd(part.end());
        if (relay.end == ExchangeEnd::Closed)
            relay.closed = ClosedExchange { impl::decodeConnections(part.end()), impl::decodeProbe(part.end()) };
        break;
    case wire::RelayedPart::PART_NOT_SET:
        break;
    }
}

void RelayedExchanges::peerEnded(transport::ExchangeId id, ExchangeEnd end)
{
    auto& relay = this->relays.at(id);
    const auto now = core::monotonicNow();
    if (relay.end == ExchangeEnd::NoPath && relay.accepted && !relay.headDelivered) {
        relay.end.reset();
        this->peerRejected(id);
        return;
    }
    if (relay.end) {
        this->finish(id, *relay.end);
        return;
    }
    const bool answered = end == ExchangeEnd::Complete && !relay.accepted;
    if (end == ExchangeEnd::NotSent || answered) {
        this->peerRejected(id);
        return;
    }
    this->selector.notReached(relay.peer, now);
    core::logWarning("relay_lost").with("peer", relay.peer).with("endpoint", relay.exchange.endpoint);
    this->finish(id, relay.headDelivered || relay.accepted ? ExchangeEnd::Broken : end);
}

void RelayedExchanges::peerRejected(transport::ExchangeId id)
{
    const auto& relay = this->relays.at(id);
    const auto now = core::monotonicNow();
    wire::RelayRejection rejection;
    const bool stated = relay.status == 503 && rejection.ParseFromString(relay.rejection);
    if (stated && rejection.reason() == wire::RelayRejection::NOT_SERVING) {
        this->selector.reached(relay.peer, now);
        if (rejection.leaving())
            this->endpointDirectory.markLeaving(relay.exchange.endpoint, relay.exchange.endpointStartedAt, now);
        this->finish(id, ExchangeEnd::NotSent);
        return;
    }
    this->selector.notReached(relay.peer, now);
    this->tryNextPeer(id);
}

void RelayedExchanges::finish(transport::ExchangeId id, ExchangeEnd end)
{
    const auto ended = std::move(this->relays.at(id).events.ended);
    if (ended)
        ended(end);
    this->relays.erase(id);
}

void RelayedExchanges::cancel(transport::ExchangeId exchange)
{
    const auto found = this->relays.find(exchange);
    if (found == this->relays.end())
        return;
    this->pool.cancel(found->second.peerExchange);
    this->relays.erase(found);
}

void RelayedExchanges::pause(transport::ExchangeId exchange)
{
    const auto found = this->relays.find(exchange);
    if (found == this->relays.end())
        return;
    found->second.paused = true;
    this->pool.pause(found->second.peerExchange);
}

void RelayedExchanges::resume(transport::ExchangeId exchange)
{
    const auto found = this->relays.find(exchange);
    if (found == this->relays.end())
        return;
    found->second.paused = false;
    this->pool.resume(found->second.peerExchange);
}

std::string RelayedExchanges::peerOf(transport::ExchangeId exchange) const
{
    const auto found = this->relays.find(exchange);
    return found == this->relays.end() ? std::string() : found->second.peer;
}

std::optional<ClosedExchange> RelayedExchanges::closedExchange(transport::ExchangeId exchange) const
{
    const auto found = this->relays.find(exchange);
    return found == this->relays.end() ? std::nullopt : found->second.closed;
}

void RelayedExchanges::tick(core::TimePoint now)
{
    for (auto& [id, relay] : this->relays) {
        if (relay.status != 0 || relay.overdue || relay.end || now - relay.sentAt < maxAnswerTime)
            continue;
        relay.overdue = true;
        this->selector.notReached(relay.peer, now);
    }
}

} // namespace lagoontiller::gateway
