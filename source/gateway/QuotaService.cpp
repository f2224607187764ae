#include "gateway/QuotaService.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "gateway/PeerService.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Rendezvous key of the coordinator of a zone.
constexpr auto coordinatorKey = "quota-coordinator";
/// \brief Maximum number of coordinators that are asked before the node grants from its own ledger.
constexpr int maxCoordinatorsAsked = 2;
/// \brief Time for which a ledger without use goes on to report at the usual interval, and the interval afterwards.
constexpr core::Duration ledgerIdleTime = std::chrono::seconds(10);
constexpr core::Duration idleReportInterval = std::chrono::milliseconds(300);
/// \brief Shortest time between two asks for the same waiting calls.
constexpr core::Duration minAskInterval = std::chrono::milliseconds(20);
/// \brief Time after the start of this node at which it reads the nodes of all other zones, and until which its ledger
/// grants nothing: nodes that start together are not in each other's first reads, and NodeRegistry reads its own zone
/// again after up to 1.1 s and one other zone every four seconds.
constexpr core::Duration firstRefreshAfter = std::chrono::milliseconds(1'300);
constexpr core::Duration fleetKnownAfter = std::chrono::milliseconds(1'500);
/// \brief The store may refuse reads after a start of all nodes.
constexpr core::Duration refreshInterval = std::chrono::seconds(1);
constexpr core::Duration lastRefreshAfter = std::chrono::seconds(5);

/// \brief Time after a refusal at which the node asks again; calls that cannot wait so long are refused.
core::TimePoint nextAskAt(const QuotaGrant& refusal, core::TimePoint now)
{
    return now + std::max(refusal.retryAfter, minAskInterval);
}

} // namespace

QuotaService::QuotaService(
    QuotaServiceDependencies dependencies, std::string source, std::string zone, QuotaTolerance tolerance)
    : dependencies(dependencies)
    , source(std::move(source))
    , zone(std::move(zone))
    , ledger(tolerance)
{
}

void QuotaService::configure(const std::vector<Account>& accounts)
{
    this->limits.clear();
    for (const auto& account : accounts) {
        if (account.ratePerSecond > 0)
            this->limits[account.name] = { account.ratePerSecond, account.burst };
    }
    this->ledger.setLimits(this->limits);
}

std::string QuotaService::coordinator(core::TimePoint now) const
{
    return this->dependencies.peerService.homeOf(coordinatorKey, now);
}

void QuotaService::request(const QuotaCall& call, core::TimePoint now, std::function<void(const QuotaGrant&)> done)
{
    if (!this->limits.contains(call.account)) {
        done({ 1, {} });
        return;
    }
    const QueueKey key { call.account, call.startsProgram };
    this->queues[key].calls.push_back({ call.latest, false, std::move(done) });
    this->ask(key, now);
}

QuotaOutlook QuotaService::outlook(const QuotaCall& call, core::TimePoint now) const
{
    QuotaOutlook outlook;
    outlook.isLimited = this->limits.contains(call.account);
    if (!outlook.isLimited) {
        outlook.grant = QuotaGrant { 1, {} };
        return outlook;
    }
    outlook.coordinator = this->coordinator(now);
    bool isAskedAlone = true;
    auto askAt = now;
    if (const auto queue = this->queues.find({ call.account, call.startsProgram }); queue != this->queues.end()) {
        outlook.waiting = queue->second.calls.size();
        isAskedAlone = queue->second.calls.empty() && !queue->second.askInProgress;
        askAt = std::max(now, queue->second.askAt);
    }
    if (!outlook.coordinator.empty() || !isAskedAlone)
        return outlook;
    // The request changes the ledger, so a copy answers it, and answers again while the call may wait.
    auto copy = this->ledger;
    auto tickAt = this->nextTickAt;
    for (std::uint32_t newCalls = 1;; newCalls = 0) {
        for (; tickAt > core::TimePoint() && tickAt <= askAt; tickAt += QuotaLedger::reportInterval)
            copy.tick(tickAt);
        outlook.grant = copy.take({ call.account, 1, newCalls, call.startsProgram }, askAt);
        outlook.wait = askAt - now;
        const auto next = nextAskAt(*outlook.grant, askAt);
        if (outlook.grant->calls > 0 || call.latest < next)
            return outlook;
        askAt = next;
    }
}

void QuotaService::giveBack(const std::string& account)
{
    if (this->limits.contains(account))
        ++this->queues[{ account, false }].givenBack;
}

void QuotaService::charge(const std::string& account)
{
    if (this->limits.contains(account))
        ++this->queues[{ account, false }].furtherAttempts;
}

void QuotaService::ask(const QueueKey& key, core::TimePoint now)
{
    auto& queue = this->queues[key];
    const bool mayAsk = !queue.calls.empty() && now >= queue.askAt;
    if (queue.askInProgress || (!mayAsk && queue.furtherAttempts == 0))
        return;
    queue.askInProgress = true;
    QuotaRequest request { key.account, mayAsk ? 1U : 0U, 0, key.startsProgram,
        std::exchange(queue.furtherAttempts, 0) };
    // Each program that starts is weighed by itself.
    if (mayAsk && !key.startsProgram)
        request.calls = static_cast<std::uint32_t>(queue.calls.size());
    for (std::uint32_t index = 0; index < request.calls; ++index)
        request.newCalls += std::exchange(queue.calls[index].asked, true) ? 0 : 1;
    this->askPeer(key, request, std::exchange(queue.givenBack, 0), 0);
}

void QuotaService::askPeer(const QueueKey& key, const QuotaRequest& request, std::uint32_t givenBack, int attempt)
{
    const auto now = core::monotonicNow();
    const auto peer = attempt < maxCoordinatorsAsked ? this->coordinator(now) : std::string();
    if (peer.empty()) {
        this->askLedger(key, request, givenBack, now);
        return;
    }
    wire::PeerRequest message;
    auto* const take = message.mutable_take_permits();
    take->set_account(request.account);
    take->set_calls(request.calls);
    take->set_new_calls(request.newCalls);
    take->set_starts_program(request.startsProgram);
    take->set_given_back(givenBack);
    take->set_further_attempts(request.furtherAttempts);
    this->dependencies.client.send(
        peer, message, [this, key, request, givenBack, attempt](const wire::PeerResponse* response) {
            if (response == nullptr) {
                this->askPeer(key, request, givenBack, attempt + 1);
                return;
            }
            this->answered(key, request,
                { response->granted_calls(),
                    std::chrono::milliseconds(std::min<std::uint64_t>(response->retry_after_ms(), 60'000)) },
                core::monotonicNow());
        });
}

void QuotaService::askLedger(
    const QueueKey& key, const QuotaRequest& request, std::uint32_t givenBack, core::TimePoint now)
{
    this->ledgerUsedUntil = now + ledgerIdleTime;
    if (givenBack > 0)
        this->ledger.giveBack(request.account, givenBack, now);
    this->answered(key, request, this->ledger.take(request, now), now);
}

void QuotaService::answered(
    const QueueKey& key, const QuotaRequest& request, const QuotaGrant& grant, core::TimePoint now)
{
    auto& queue = this->queues[key];
    queue.askInProgress = false;
    if (request.calls == 0) {
        this->ask(key, now);
        return;
    }
    std::vector<Waiting> granted;
    for (std::uint32_t count = 0; count < grant.calls && !queue.calls.empty(); ++count) {
        granted.push_back(std::move(queue.calls.front()));
        queue.calls.pop_front();
    }
    std::vector<Waiting> refused;
    if (grant.calls == 0) {
        queue.askAt = nextAskAt(grant, now);
        const auto late = std::stable_partition(queue.calls.begin(), queue.calls.end(),
            [at = queue.askAt](const Waiting& waiting) { return waiting.latest >= at; });
        std::move(late, queue.calls.end(), std::back_inserter(refused));
        queue.calls.erase(late, queue.calls.end());
    }
    if (!refused.empty()) {
        core::logInfo("quota_reached")
            .with("account", key.account)
            .with("starts_program", key.startsProgram ? "yes" : "no")
            .with("refused", refused.size())
            .with("retry_after_ms", grant.retryAfter.count() / 1'000);
    }
    const bool again = !queue.calls.empty();
    // The handlers may ask for further calls.
    for (const auto& each : granted)
        each.done({ 1, {} });
    for (const auto& each : refused)
        each.done({ 0, std::max(grant.retryAfter, minAskInterval) });
    if (again)
        this->ask(key, now);
}

void QuotaService::tick(core::TimePoint now)
{
    if (!this->startedAt) {
        this->startedAt = now;
        this->nextRefreshAt = now + firstRefreshAfter;
        this->ledger.waitForFleet(now + fleetKnownAfter);
    }
    std::vector<QueueKey> waiting;
    for (const auto& [key, queue] : this->queues) {
        if (!queue.calls.empty() || queue.furtherAttempts > 0)
            waiting.push_back(key);
    }
    for (const auto& key : waiting)
        this->ask(key, now);
    std::erase_if(this->queues, [](const auto& each) {
        return each.second.calls.empty() && !each.second.askInProgress && each.second.givenBack == 0
            && each.second.furtherAttempts == 0;
    });
    if (this->limits.empty() || now < this->nextTickAt)
        return;
    this->nextTickAt = now + QuotaLedger::reportInterval;
    const auto zones = this->dependencies.nodeRegistry.otherZones();
    this->ledger.setFleet(zones.size(), this->dependencies.nodeRegistry.size());
    const bool coordinates = this->coordinator(now).empty();
    if (coordinates)
        this->refreshFleet(now);
    // The ledger of another node lapses, unless it is used because no coordinator responds.
    if (coordinates || now <= this->ledgerUsedUntil)
        this->ledger.tick(now);
    if (!coordinates || now < this->nextReportAt)
        return;
    this->nextReportAt = now + (now <= this->ledgerUsedUntil ? QuotaLedger::reportInterval : idleReportInterval);
    this->exchangeReports(zones, now);
}

void QuotaService::refreshFleet(core::TimePoint now)
{
    if (now < this->nextRefreshAt || now > *this->startedAt + lastRefreshAfter)
        return;
    this->nextRefreshAt = now + refreshInterval;
    this->dependencies.nodeRegistry.refreshOtherZones(now, [] {});
}

void QuotaService::exchangeReports(const std::map<std::string, std::vector<std::string>>& zones, core::TimePoint now)
{
    const auto hash = core::hash64(coordinatorKey);
    for (const auto& [name, peers] : zones) {
        auto& other = this->otherZones[name];
        const auto heardAt = this->ledger.heardAt(other.source);
        // One of two coordinators sends; the other one does so as well while it hears nothing.
        const bool heardLately = heardAt && now - *heardAt <= idleReportInterval;
        if (this->zone > name && heardLately)
            continue;
        auto peer = other.coordinator;
        std::uint64_t highest = 0;
        for (const auto& address : peers) {
            if (!other.coordinator.empty() || this->dependencies.client.isSuspected(address, now))
                continue;
            const auto score = core::combine(hash, core::hash64(address));
            if (score >= highest) {
                highest = score;
                peer = address;
            }
        }
        if (!peer.empty())
            this->sendReport(name, peer, true);
    }
}

void QuotaService::sendReport(const std::string& name, const std::string& peer, bool mayRedirect)
{
    wire::PeerRequest message;
    this->encodeReport(*message.mutable_quota_report());
    this->dependencies.client.send(peer, message, [this, name, peer, mayRedirect](const wire::PeerResponse* response) {
        this->reportAnswered(name, peer, mayRedirect, response);
    });
}

void QuotaService::reportAnswered(
    const std::string& name, const std::string& peer, bool mayRedirect, const wire::PeerResponse* response)
{
    auto& other = this->otherZones[name];
    other.coordinator.clear();
    if (response == nullptr)
        return;
    if (response->has_quota_report()) {
        other.coordinator = peer;
        this->mergeReport(response->quota_report(), core::monotonicNow());
    } else if (mayRedirect && !response->coordinator().empty()) {
        this->sendReport(name, response->coordinator(), false);
    }
}

void QuotaService::encodeReport(wire::QuotaReport& report)
{
    report.set_source(this->source);
    report.set_zone(this->zone);
    const auto current = this->ledger.report(core::monotonicNow());
    report.set_settled(current.settled);
    for (const auto& use : current.uses) {
        auto* const added = report.add_uses();
        added->set_account(use.account);
        added->set_granted(use.granted);
        added->set_starts(use.starts);
        added->set_demand(static_cast<float>(use.demand));
        added->set_level(static_cast<float>(use.level));
    }
}

void QuotaService::mergeReport(const wire::QuotaReport& report, core::TimePoint now)
{
    this->otherZones[report.zone()].source = report.source();
    QuotaReport decoded;
    decoded.settled = report.settled();
    decoded.uses.reserve(static_cast<std::size_t>(report.uses_size()));
    for (const auto& use : report.uses())
        decoded.uses.push_back(
            { use.account(), use.granted(), use.starts(), std::max(use.demand(), 0.0F), use.level() });
    this->ledger.merge(report.source(), report.zone(), decoded, now);
}

wire::PeerResponse QuotaService::serve(const wire::PeerRequest& message, core::TimePoint now)
{
    wire::PeerResponse response;
    if (message.has_take_permits()) {
        const auto& take = message.take_permits();
        this->ledgerUsedUntil = now + ledgerIdleTime;
        if (take.given_back() > 0)
            this->ledger.giveBack(take.account(), take.given_back(), now);
        const auto grant = this->ledger.take(
            { take.account(), take.calls(), take.new_calls(), take.starts_program(), take.further_attempts() }, now);
        response.set_granted_calls(grant.calls);
        response.set_retry_after_ms(static_cast<std::uint64_t>(grant.retryAfter.count() / 1'000));
        return response;
    }
    const auto home = this->coordinator(now);
    if (!home.empty()) {
        response.set_coordinator(home);
        return response;
    }
    this->mergeReport(message.quota_report(), now);
    this->encodeReport(*response.mutable_quota_report());
    return response;
}

} // namespace lagoontiller::gateway
