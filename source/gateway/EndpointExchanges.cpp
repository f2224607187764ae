#include "gateway/EndpointExchanges.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;
using transport::ProbeResult;

/// \brief Time for which an accepted connection has to stay open; a proxy whose target is gone closes it at once.
constexpr core::Duration probeOpenTime = std::chrono::milliseconds(10);
/// \brief Time for which bytes from an endpoint prove that the paths are open. Nodes lose them at the same moment, and
/// must not relay to each other before they know.
constexpr core::Duration proofValidity = std::chrono::milliseconds(100);
/// \brief A tick that is later than this shows that the process was paused or is too slow to observe silence.
constexpr core::Duration maxTickDelay = std::chrono::milliseconds(250);

} // namespace

EndpointExchanges::EndpointExchanges(EndpointExchangesDependencies dependencies, std::string zone, std::uint64_t seed)
    : dependencies(dependencies)
    , zone(std::move(zone))
    , random(seed)
{
}

transport::ExchangeId EndpointExchanges::send(EndpointExchange content, transport::ExchangeEvents events)
{
    const auto id = ++this->lastId;
    auto& exchange = this->exchanges[id];
    exchange.content = std::move(content);
    exchange.events = std::move(events);
    if (!this->endpointPaths.areChecked())
        this->start(id);
    return id;
}

void EndpointExchanges::start(transport::ExchangeId id)
{
    auto& exchange = this->exchanges.at(id);
    auto content = std::move(exchange.content);
    transport::ExchangeEvents events;
    events.head = std::move(exchange.events.head);
    events.body = std::move(exchange.events.body);
    events.ended = [this, id](ExchangeEnd end) { this->ended(id, end); };
    const bool relays = this->endpointPaths.areLost() && this->dependencies.relayed.hasPeers();
    exchange.way = relays ? Way::Relayed : Way::Direct;
    if (exchange.way == Way::Relayed) {
        this->dependencies.metrics.add("gateway_relayed_attempts_total", {});
        exchange.id = this->dependencies.relayed.send(std::move(content), std::move(events));
    } else {
        exchange.id = this->dependencies.direct.send(
            content.address, std::move(content.request), std::move(content.options), std::move(events));
    }
    if (exchange.paused)
        this->pause(id);
}

void EndpointExchanges::ended(transport::ExchangeId id, ExchangeEnd end)
{
    const auto ended = std::move(this->exchanges.at(id).events.ended);
    ended(end);
    this->exchanges.erase(id);
}

void EndpointExchanges::cancel(transport::ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    if (found->second.way == Way::Direct)
        this->dependencies.direct.cancel(found->second.id);
    else if (found->second.way == Way::Relayed)
        this->dependencies.relayed.cancel(found->second.id);
    this->exchanges.erase(found);
}

void EndpointExchanges::pause(transport::ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    found->second.paused = true;
    if (found->second.way == Way::Direct)
        this->dependencies.direct.pause(found->second.id);
    else if (found->second.way == Way::Relayed)
        this->dependencies.relayed.pause(found->second.id);
}

void EndpointExchanges::resume(transport::ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    found->second.paused = false;
    if (found->second.way == Way::Direct)
        this->dependencies.direct.resume(found->second.id);
    else if (found->second.way == Way::Relayed)
        this->dependencies.relayed.resume(found->second.id);
}

transport::ConnectionUse EndpointExchanges::connectionOf(transport::ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() || found->second.way != Way::Direct
        ? transport::ConnectionUse()
        : this->dependencies.direct.connectionOf(found->second.id);
}

transport::OtherConnections EndpointExchanges::otherConnections(const std::string& address, core::TimePoint since) const
{
    return this->dependencies.direct.otherConnections(address, since);
}

bool EndpointExchanges::isUnsent(transport::ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    return found != this->exchanges.end()
        && (found->second.way == Way::Waiting
            || (found->second.way == Way::Direct && this->dependencies.direct.isConnecting(found->second.id)));
}

bool EndpointExchanges::isRelayed(transport::ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    return found != this->exchanges.end() && found->second.way == Way::Relayed;
}

std::optional<ClosedExchange> EndpointExchanges::closedExchange(transport::ExchangeId id) const
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() || found->second.way != Way::Relayed
        ? std::nullopt
        : this->dependencies.relayed.closedExchange(found->second.id);
}

void EndpointExchanges::connectionFailed(const std::string& endpoint, policy::FailureKind kind, core::TimePoint now)
{
    if (this->endpointPaths.areLost())
        return;
    if (this->endpointPaths.areProven(now) || !this->dependencies.relayed.hasPeers()) {
        this->dependencies.endpointDirectory.recordFailure(endpoint, kind, now);
        return;
    }
    this->unverifiedFailures.emplace_back(endpoint, kind);
    this->endpointPaths.connectionFailed();
    this->checkPaths(now);
}

void EndpointExchanges::provePaths(core::TimePoint now, std::function<void(bool)> done)
{
    const auto heardAt = std::max(this->provenAt, this->dependencies.direct.activity().heardAt);
    if (this->endpointPaths.areLost() || now - heardAt <= proofValidity) {
        done(!this->endpointPaths.areLost());
        return;
    }
    if (!this->endpointPaths.areChecked()) {
        this->endpointPaths.requestCheck(now);
        this->checkPaths(now);
    }
    if (this->endpointPaths.areChecked())
        this->proofWaiters.push_back(std::move(done));
    else
        done(false);
}

void EndpointExchanges::tick(core::TimePoint now)
{
    if (now - this->lastTickAt > maxTickDelay)
        this->endpointPaths.restart(now);
    this->lastTickAt = now;
    this->dependencies.relayed.tick(now);
    if (this->dependencies.relayed.hasPeers())
        this->checkPaths(now);
}

void EndpointExchanges::checkPaths(core::TimePoint now)
{
    const auto endpoints = this->dependencies.endpointDirectory.servingCount();
    const auto count = this->endpointPaths.startProbes(this->dependencies.direct.activity(), endpoints, now);
    for (const auto& address : this->chooseProbes(count)) {
        transport::probeAddress(this->dependencies.context, address, { EndpointPaths::probeTimeout, probeOpenTime },
            [this](ProbeResult result) { this->probeEnded(result == ProbeResult::Accepted); });
    }
}

std::vector<std::string> EndpointExchanges::chooseProbes(std::size_t count)
{
    if (count == 0)
        return {};
    auto candidates = this->dependencies.endpointDirectory.allServing();
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    const auto near = std::find_if(candidates.begin(), candidates.end(),
        [this](const auto* endpoint) { return endpoint->entry.zone == this->zone; });
    if (near != candidates.end())
        std::iter_swap(near, candidates.begin());
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index)
        addresses.push_back(candidates[index]->entry.address);
    return addresses;
}

void EndpointExchanges::probeEnded(bool accepted)
{
    const auto now = core::monotonicNow();
    const bool wereLost = this->endpointPaths.areLost();
    const bool wereChecked = this->endpointPaths.areChecked();
    this->endpointPaths.probeEnded(accepted, now);
    const bool checkDecided = wereChecked && !this->endpointPaths.areChecked();
    if (checkDecided || wereLost != this->endpointPaths.areLost())
        this->checkEnded(wereLost, now);
}

void EndpointExchanges::checkEnded(bool wereLost, core::TimePoint now)
{
    const bool lost = this->endpointPaths.areLost();
    auto failures = std::exchange(this->unverifiedFailures, {});
    if (lost != wereLost) {
        const auto activity = this->dependencies.direct.activity();
        core::logWarning(lost ? "endpoint_paths_lost" : "endpoint_paths_open")
            .with("endpoints", this->dependencies.endpointDirectory.servingCount())
            .with("unheard_ms", (now - activity.heardAt).count() / 1'000)
            .with("connections_failed", failures.size());
        this->dependencies.metrics.set("gateway_endpoint_paths_lost", {}, lost ? 1 : 0);
    }
    if (lost && !wereLost) {
        // The endpoints may close them unnoticed, and what is sent on them may be lost.
        this->dependencies.direct.closeAllIdle();
        if (this->pathsLost)
            this->pathsLost(now);
    }
    if (!lost) {
        for (const auto& [endpoint, kind] : failures)
            this->dependencies.endpointDirectory.recordFailure(endpoint, kind, now);
    }
    this->provenAt = lost ? core::TimePoint() : now;
    for (const auto& done : std::exchange(this->proofWaiters, {}))
        done(!lost);
    this->startWaiting();
}

void EndpointExchanges::startWaiting()
{
    std::vector<transport::ExchangeId> ids;
    for (const auto& [id, exchange] : this->exchanges) {
        if (exchange.way == Way::Waiting)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const auto id : ids) {
        if (this->exchanges.contains(id))
            this->start(id);
    }
}

} // namespace lagoontiller::gateway
