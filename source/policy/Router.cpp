#include "policy/Router.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lagoontiller::policy {

namespace {

constexpr std::size_t zoneSamples = 4;
constexpr std::size_t regionSamples = 3;
constexpr std::size_t poolSamples = 2;
constexpr double smoothingFactor = 0.1;
constexpr double microsecondsPerMs = 1'000;
constexpr double bytesPerMegabyte = 1e6;

/// \brief Time constant of the exponentially decaying send rate of a pool.
constexpr double sendRateDecayMicroseconds = 5e6;
/// \brief Report age up to which the estimated number of competing calls grows.
constexpr double maxReportAgeMicroseconds = 2e6;

double decayedSends(const EndpointPool& pool, core::TimePoint now)
{
    return pool.recentSends * std::exp(-microseconds(now - pool.recentSendsAt) / sendRateDecayMicroseconds);
}

} // namespace

struct Router::Candidates {
    std::array<Candidate, maxCandidates> entries;
    std::size_t count = 0;

    [[nodiscard]] bool full() const noexcept { return this->count == maxCandidates; }
    [[nodiscard]] bool contains(EndpointId endpoint) const
    {
        const auto end = this->entries.begin() + static_cast<std::ptrdiff_t>(this->count);
        return std::any_of(
            this->entries.begin(), end, [endpoint](const Candidate& c) { return c.endpoint == endpoint; });
    }
    void raiseCachedTokens(EndpointId endpoint, double tokens)
    {
        for (std::size_t i = 0; i < this->count; ++i) {
            Candidate& candidate = this->entries[i];
            if (candidate.endpoint == endpoint) {
                candidate.cachedTokens = std::max(candidate.cachedTokens, tokens);
            }
        }
    }
};

Router::Router(RouterOptions options)
    : options(options)
    , prefixes(options.maxPrefixes)
{
}

EndpointId Router::upsert(const EndpointSpec& spec)
{
    const EndpointId endpoint = this->table.upsert(spec);
    if (endpoint >= this->loads.size()) {
        this->loads.resize(endpoint + 1);
    }
    const ServiceId service = this->table.row(endpoint).service;
    if (service >= this->services.size()) {
        this->services.resize(service + 1);
        this->services[service].meanCallMs = this->options.initialCallMs;
    }
    if (spec.state == EndpointState::Gone) {
        this->prefixes.clear(endpoint);
    }
    return endpoint;
}

void Router::setTraffic(EndpointId endpoint, TrafficShare traffic)
{
    this->table.setTraffic(endpoint, traffic);
}

void Router::sent(CallId call, const SentCall& sent, core::TimePoint now)
{
    EndpointLoad& load = this->loads[sent.endpoint];
    const double queue = this->queueMs(sent.endpoint, now) / load.slowdownRatio;
    load.estimate.started(now);
    load.pendingPrefillTokens += std::max(0.0, sent.promptTokens - sent.cachedTokens);
    this->calls.insert_or_assign(call, InFlightCall { sent, now, queue, false });
    this->prefixes.confirm(sent.prefix, sent.endpoint, sent.promptTokens, now);
}

void Router::firstToken(CallId call, core::TimePoint /*now*/)
{
    const auto entry = this->calls.find(call);
    if (entry != this->calls.end()) {
        this->endPrefill(entry->second);
    }
}

void Router::finished(CallId call, const Usage& usage, core::TimePoint now)
{
    const auto entry = this->calls.find(call);
    if (entry == this->calls.end()) {
        return;
    }
    this->endPrefill(entry->second);
    this->updateEstimates(entry->second, usage, now);
    const SentCall& sent = entry->second.sent;
    this->loads[sent.endpoint].estimate.ended(now);
    this->prefixes.confirm(sent.prefix, sent.endpoint, usage.promptTokens + usage.completionTokens, now);
    this->calls.erase(entry);
}

void Router::failed(CallId call, FailureKind kind, core::TimePoint now)
{
    const auto entry = this->calls.find(call);
    if (entry == this->calls.end()) {
        return;
    }
    this->endPrefill(entry->second);
    const EndpointId endpoint = entry->second.sent.endpoint;
    this->loads[endpoint].estimate.ended(now);
    this->calls.erase(entry);
    if (isEndpointLoss(kind)) {
        this->prefixes.clear(endpoint);
    }
}

void Router::report(EndpointId endpoint, const LoadReport& report)
{
    LoadEstimate& estimate = this->loads[endpoint].estimate;
    const bool first = estimate.sampledAt() == core::TimePoint {};
    const double before = estimate.otherRequests();
    if (!estimate.report(report)) {
        return;
    }
    ServiceLoad& service = this->services[this->table.row(endpoint).service];
    service.otherRequestsSum += estimate.otherRequests() - before;
    service.reportingEndpoints += first ? 1 : 0;
}

void Router::cacheEvent(EndpointId endpoint, const CacheEvent& event)
{
    this->prefixes.apply(endpoint, event);
}

void Router::released(PrefixKey program)
{
    this->prefixes.release(program);
}

core::Expected<RouteDecision> Router::choose(const RouteRequest& request, core::TimePoint now, Random& random)
{
    EndpointPool* const pool = this->table.pool(request.service, request.model);
    if (pool == nullptr) {
        return core::failure(core::ResultCode::UnknownModel,
            "service '" + request.service + "' has no endpoint for model '" + request.model + "'");
    }
    Candidates candidates;
    this->collectHolders(request, candidates, random);
    this->collectSamples(request, *pool, candidates, random);
    if (candidates.count == 0) {
        this->collectFallback(request, *pool, candidates, random);
    }
    if (candidates.count == 0) {
        return core::failure(core::ResultCode::NoEndpoint,
            "every endpoint of service '" + request.service + "' is leaving, ejected or excluded from this call");
    }
    this->computeCosts(request, candidates, now);
    std::array<double, maxCandidates> costs;
    for (std::size_t i = 0; i < candidates.count; ++i) {
        costs[i] = candidates.entries[i].cost;
    }
    const double work = this->competingWork(request, *pool, candidates, now);
    const Candidate& chosen
        = candidates.entries[drawByWaterFilling(std::span(costs.data(), candidates.count), work, random)];
    // Calls that are routed to their cached prefix do not compete for the cheapest endpoint.
    constexpr double cacheFollowingRatio = 0.5;
    if (request.promptTokens == 0 || chosen.cachedTokens < cacheFollowingRatio * request.promptTokens) {
        pool->recentSends += 1;
    }
    return RouteDecision { chosen.endpoint, chosen.cost, chosen.queueMs, chosen.firstTokenMs, chosen.cachedTokens,
        static_cast<std::uint32_t>(candidates.count), chosen.crossRegion };
}

double Router::cachedTokens(PrefixKey prefix, EndpointId endpoint) const
{
    const auto* const holders = prefix == 0 ? nullptr : this->prefixes.holders(prefix);
    if (holders == nullptr) {
        return 0;
    }
    for (const PrefixHolder& holder : *holders) {
        if (holder.endpoint == endpoint) {
            return this->prefixes.expectedTokens(holder);
        }
    }
    return 0;
}

void Router::collectHolders(const RouteRequest& request, Candidates& candidates, Random& random) const
{
    for (const PrefixKey prefix : { request.prefix, request.sharedPrefix }) {
        const auto* const holders = prefix == 0 ? nullptr : this->prefixes.holders(prefix);
        if (holders == nullptr) {
            continue;
        }
        for (const PrefixHolder& holder : *holders) {
            if (this->table.serves(holder.endpoint, request.service, request.model)) {
                this->addCandidate(holder.endpoint, request, candidates, random);
                candidates.raiseCachedTokens(holder.endpoint, this->prefixes.expectedTokens(holder));
            }
        }
    }
}

void Router::collectSamples(
    const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const
{
    if (pool.all.size() <= maxCandidates) {
        for (const EndpointId endpoint : pool.all) {
            this->addCandidate(endpoint, request, candidates, random);
        }
        return;
    }
    const auto sample = [&](const std::vector<EndpointId>& from, std::size_t count) {
        for (std::size_t i = 0; i < count && !from.empty(); ++i) {
            this->addCandidate(from[uniformIndex(random, from.size())], request, candidates, random);
        }
    };
    const auto sampleLocation = [&](const auto& byLocation, const std::string& location, std::size_t count) {
        const auto id = this->table.findLocation(location);
        const auto entry = id ? byLocation.find(*id) : byLocation.end();
        if (entry != byLocation.end()) {
            sample(entry->second, count);
        }
    };
    sampleLocation(pool.byZone, request.zone, zoneSamples);
    sampleLocation(pool.byRegion, request.region, regionSamples);
    sample(pool.all, poolSamples);
}

void Router::collectFallback(
    const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const
{
    constexpr std::size_t maxScannedEndpoints = 64;
    const std::size_t size = pool.all.size();
    const std::size_t start = size == 0 ? 0 : uniformIndex(random, size);
    for (std::size_t i = 0; i < std::min(size, maxScannedEndpoints) && !candidates.full(); ++i) {
        const EndpointId endpoint = pool.all[(start + i) % size];
        if (this->isEligible(endpoint, request)) {
            candidates.entries[candidates.count++].endpoint = endpoint;
        }
    }
}

bool Router::isEligible(EndpointId endpoint, const RouteRequest& request) const
{
    if (std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end()) {
        return false;
    }
    return request.repeatable || !this->table.row(endpoint).traffic.probing;
}

void Router::addCandidate(
    EndpointId endpoint, const RouteRequest& request, Candidates& candidates, Random& random) const
{
    if (candidates.full() || candidates.contains(endpoint) || !this->isEligible(endpoint, request)) {
        return;
    }
    const double share = this->table.row(endpoint).traffic.share;
    if (share < 1 && uniform(random) >= share) {
        return;
    }
    candidates.entries[candidates.count++].endpoint = endpoint;
}

void Router::computeCosts(const RouteRequest& request, Candidates& candidates, core::TimePoint now) const
{
    const auto zone = this->table.findLocation(request.zone);
    const auto region = this->table.findLocation(request.region);
    double mostCached = 0;
    for (std::size_t i = 0; i < candidates.count; ++i) {
        Candidate& candidate = candidates.entries[i];
        candidate.cachedTokens = std::min<double>(candidate.cachedTokens, request.promptTokens);
        mostCached = std::max(mostCached, candidate.cachedTokens);
    }
    const auto bytes = static_cast<double>(request.requestBytes + request.responseBytes);
    // Recomputing a prompt delays the other calls on the endpoint. Their number is the mean over the service: with the
    // count of each endpoint, an idle one would look cheap to calls whose prefix is cached elsewhere.
    const ServiceLoad& service = this->services[this->table.row(candidates.entries[0].endpoint).service];
    const double running = service.reportingEndpoints == 0 ? 0 : service.otherRequestsSum / service.reportingEndpoints;
    const double delayedCalls
        = this->options.callsDelayedByRecompute * std::min(1.0, running / this->options.slotsPerEndpoint);
    for (std::size_t i = 0; i < candidates.count; ++i) {
        Candidate& candidate = candidates.entries[i];
        const EndpointTable::Row& row = this->table.row(candidate.endpoint);
        candidate.crossRegion = row.region != region;
        candidate.queueMs = this->queueMs(candidate.endpoint, now);
        double distance = row.zone == zone ? 0 : this->options.zoneDistanceMs;
        double wasted = (mostCached - candidate.cachedTokens) / this->options.prefillTokensPerMs;
        if (candidate.crossRegion) {
            distance = this->options.regionDistanceMs + bytes / this->options.regionLinkBytesPerMs;
            wasted += bytes / bytesPerMegabyte * this->options.billedMsPerMegabyte;
        }
        const double recompute = (request.promptTokens - candidate.cachedTokens) / this->options.prefillTokensPerMs;
        candidate.firstTokenMs
            = candidate.queueMs + recompute * this->loads[candidate.endpoint].slowdownRatio + distance;
        const double delayed = delayedCalls * recompute;
        candidate.cost
            = request.latencyWeight * (candidate.firstTokenMs + delayed) + request.wastedCacheWeight * wasted;
    }
}

double Router::expectedRequests(EndpointId endpoint, core::TimePoint now) const
{
    const ServiceLoad& service = this->services[this->table.row(endpoint).service];
    const double meanOfOthers
        = service.reportingEndpoints == 0 ? 0 : service.otherRequestsSum / service.reportingEndpoints;
    return this->loads[endpoint].estimate.expectedRequests(now, meanOfOthers);
}

double Router::queueMs(EndpointId endpoint, core::TimePoint now) const
{
    const EndpointLoad& load = this->loads[endpoint];
    const ServiceLoad& service = this->services[this->table.row(endpoint).service];
    const double requests = this->expectedRequests(endpoint, now);
    // A call waits for a slot only when all slots are in use; otherwise it joins the batch of the running calls.
    const double waiting = std::max(0.0, requests + 1 - this->options.slotsPerEndpoint);
    const double batch = std::min(requests, this->options.slotsPerEndpoint) * this->options.batchSlowdown;
    const double queue = (waiting / this->options.slotsPerEndpoint + batch) * service.meanCallMs
        + load.pendingPrefillTokens / this->options.prefillTokensPerMs;
    return queue * load.slowdownRatio;
}

double Router::competingWork(
    const RouteRequest& request, EndpointPool& pool, const Candidates& candidates, core::TimePoint now) const
{
    if (pool.recentSendsAt == core::TimePoint {}) {
        pool.recentSends = this->options.initialSendsPerSecond * sendRateDecayMicroseconds / 1e6;
        pool.recentSendsAt = now;
    }
    pool.recentSends = decayedSends(pool, now);
    pool.recentSendsAt = now;
    const auto end = candidates.entries.begin() + static_cast<std::ptrdiff_t>(candidates.count);
    const auto cheaper = [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; };
    const EndpointId cheapest = std::min_element(candidates.entries.begin(), end, cheaper)->endpoint;
    const double age = microseconds(now - this->loads[cheapest].estimate.sampledAt());
    const double sendsPerNode = pool.recentSends / sendRateDecayMicroseconds * std::min(age, maxReportAgeMicroseconds);
    const double competing = (this->options.routingNodes - 1) * sendsPerNode;
    const double candidateRatio = static_cast<double>(candidates.count) / static_cast<double>(pool.all.size());
    const double callMs = this->services[this->table.row(cheapest).service].meanCallMs;
    const bool free = this->expectedRequests(cheapest, now) + 1 <= this->options.slotsPerEndpoint;
    const double added = callMs * (free ? this->options.batchSlowdown : 1 / this->options.slotsPerEndpoint);
    return competing * std::min(1.0, candidateRatio) * added * request.latencyWeight;
}

void Router::endPrefill(InFlightCall& call)
{
    if (call.prefillDone) {
        return;
    }
    call.prefillDone = true;
    double& pending = this->loads[call.sent.endpoint].pendingPrefillTokens;
    pending = std::max(0.0, pending - std::max(0.0, call.sent.promptTokens - call.sent.cachedTokens));
}

void Router::updateEstimates(const InFlightCall& call, const Usage& usage, core::TimePoint now)
{
    constexpr double minSlowdownRatio = 0.5;
    constexpr double maxSlowdownRatio = 8;
    const double observed = microseconds(now - call.sentAt) / microsecondsPerMs;
    const double uncached = std::max(0.0, static_cast<double>(usage.promptTokens) - usage.cachedTokens);
    const double predicted = call.queueMs + uncached / this->options.prefillTokensPerMs
        + usage.completionTokens * this->options.msPerGeneratedToken;
    ServiceLoad& service = this->services[this->table.row(call.sent.endpoint).service];
    const double served = std::max(0.0, observed - call.queueMs);
    service.meanCallMs += smoothingFactor * (served - service.meanCallMs);
    // Calls without tokens (tool and plain services) have no predicted time.
    if (usage.completionTokens == 0) {
        return;
    }
    double& slowdown = this->loads[call.sent.endpoint].slowdownRatio;
    slowdown += smoothingFactor * (std::clamp(observed / predicted, minSlowdownRatio, maxSlowdownRatio) - slowdown);
}

std::size_t drawByWaterFilling(std::span<const double> costs, double work, Random& random)
{
    std::array<double, Router::maxCandidates> sorted;
    const auto end = std::copy(costs.begin(), costs.end(), sorted.begin());
    std::sort(sorted.begin(), end);
    // A small minimum of work makes candidates of equal cost equally likely.
    double level = sorted[0] + std::max(work, 1e-6 * (1 + std::abs(sorted[0])));
    double sum = sorted[0];
    for (std::size_t i = 1; i < costs.size() && sorted[i] < level; ++i) {
        sum += sorted[i];
        level = (sum + std::max(work, 1e-6)) / static_cast<double>(i + 1);
    }
    double total = 0;
    for (const double cost : costs) {
        total += std::max(0.0, level - cost);
    }
    double drawn = uniform(random) * total;
    const auto cheapest = std::min_element(costs.begin(), costs.end()) - costs.begin();
    for (std::size_t i = 0; i < costs.size(); ++i) {
        drawn -= std::max(0.0, level - costs[i]);
        if (drawn < 0) {
            return i;
        }
    }
    return static_cast<std::size_t>(cheapest);
}

} // namespace lagoontiller::policy
