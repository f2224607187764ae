#include "gateway/Placement.h"

#include "core/Hash.h"

#include <algorithm>
#include <limits>

namespace lagoontiller::gateway {

namespace {

/// \brief Round-trip times to another zone and another region in milliseconds (site data sheets: 1.4 and 12 one way).
constexpr double crossZoneRoundTripMs = 3;
constexpr double crossRegionRoundTripMs = 24;
/// \brief Cost of the data transfer of a call between regions, expressed in milliseconds of latency.
constexpr double crossRegionTransferMs = 60;
/// \brief Cost of an endpoint that recently refused a call as full.
constexpr double fullPenaltyMs = 400;
/// \brief Cost of an ejected endpoint (no traffic share); such an endpoint is chosen only when all are ejected.
constexpr double ejectedPenaltyMs = 2'000;
/// \brief Weight of the time to read the uncached part of a prompt: the call waits for it once, and calls that arrive
/// meanwhile wait for a part of it. With 1, programs leave their caches for small gains: near the capacity of the
/// engines short prompts then wait longer than without regard to the backlog (docs/design/long-prompts.md).
constexpr double readingWeight = 2.5;
/// \brief Weight of the same time for each call that waits at the endpoint; some of them have been read in part.
constexpr double waitingCallWeight = 0.5;
/// \brief Weight of the same time for the first turn of a program at another endpoint than the preferred one: a later
/// turn may arrive at another node, which expects the prompt at the preferred endpoint.
constexpr double laterTurnWeight = 0.5;

/// \brief Cost of the bytes of requests that an endpoint holds for this node: 25 ms per MB, so that two bodies of the
/// maximum size (4 MiB) weigh as much as a call at an idle plain endpoint takes at most (200 ms). Small requests, of a
/// few kB, change no choice.
constexpr double outstandingMsPerByte = 25e-6;
/// \brief Limit of that cost, below that of an endpoint that refuses calls.
constexpr double maxOutstandingMs = 300;

double networkCostMs(const Endpoint& endpoint, const NodeLocation& location)
{
    if (endpoint.zone == location.zone)
        return 0;
    const auto region = location.regions.find(endpoint.zone);
    if (region != location.regions.end() && region->second == location.region)
        return crossZoneRoundTripMs;
    return crossRegionRoundTripMs + crossRegionTransferMs;
}

/// \brief Expected queueing time, plus the slowdown by concurrent calls at the endpoint.
double loadCostMs(const TrackedEndpoint& endpoint, const PlacementRequest& request, const NodeLocation& location)
{
    const double slots = endpoint.entry.slots;
    const double load = endpoint.inFlight * location.readyNodesInZone / slots;
    const double queue = std::max(0.0, load + 1 / slots - 1) * request.expectedServiceMs;
    return queue + std::min(load, 1.0) * request.expectedServiceMs * 0.5;
}

/// \brief Tokens that earlier turns of the program, sent by other nodes, have left in the cache of their engine.
std::uint64_t tokensOfEarlierTurns(const PromptWork& prompt)
{
    std::uint64_t tokens = 0;
    for (const auto& prefix : prompt.chain.prefixes)
        tokens += prefix.tokens;
    // The input of this turn is either the last part or not listed.
    if (prompt.chain.prefixes.size() > 1 && tokens == prompt.chain.tokens)
        tokens -= prompt.chain.prefixes.back().tokens;
    return tokens;
}

/// \brief Expected time until the endpoint has read the prompt of which it has `cached` tokens, plus the delay of the
/// calls that wait there and the time that the next turn loses away from the preferred endpoint.
double promptCostMs(const PrefillBacklog& backlog, const PromptWork& prompt, bool isPreferred, std::uint64_t cached,
    const NodeLocation& location, core::TimePoint now)
{
    const auto uncached = prompt.chain.tokens - std::min(prompt.chain.tokens, cached);
    const double readingMs = static_cast<double>(uncached) / prompt.tokensPerMs;
    const double waitMs = static_cast<double>(backlog.waitingTokens()) / prompt.tokensPerMs + backlog.reportedMs(now);
    const double delayedCalls = backlog.waitingCalls() * waitingCallWeight;
    const double movedTurns
        = isPreferred || prompt.laterTurn ? 0 : laterTurnWeight * (1 - 1 / std::max(1.0, location.readyNodesInZone));
    return waitMs + readingMs * (readingWeight + delayedCalls + movedTurns);
}

/// \brief Why the call may not be sent to the endpoint, apart from its rate limit.
Exclusion exclusion(const TrackedEndpoint& endpoint, const PlacementRequest& request)
{
    if (endpoint.traffic.probing && !request.repeatable)
        return Exclusion::Probing;
    if (!request.versions.empty() && !request.versions.contains(endpoint.entry.version))
        return Exclusion::OtherVersion;
    const auto& excluded = request.excludedEndpoints;
    const bool tried = std::find(excluded.begin(), excluded.end(), endpoint.entry.id) != excluded.end();
    return tried ? Exclusion::Tried : Exclusion::None;
}

/// \brief The nearest endpoint with the highest rendezvous score for the key, and thus the same on every node of the
/// zone; null if the call prefers none.
const TrackedEndpoint* findPreferred(
    const PlacementRequest& request, const EndpointDirectory& endpointDirectory, const NodeLocation& location)
{
    if (request.affinityKey == 0)
        return nullptr;
    const TrackedEndpoint* preferred = nullptr;
    std::uint64_t highest = 0;
    double nearest = std::numeric_limits<double>::max();
    for (const auto& id : endpointDirectory.servingEndpoints(request.service)) {
        const auto* const known = endpointDirectory.find(id);
        const auto distance = networkCostMs(known->entry, location);
        const auto score = core::combine(request.affinityKey, core::hash64(id));
        if (known->traffic.share > 0 && (distance < nearest || (distance == nearest && score > highest))) {
            nearest = distance;
            highest = score;
            preferred = known;
        }
    }
    return preferred;
}

/// \brief Tokens of the prompt that the preferred endpoint is expected to have cached from turns that other nodes sent.
std::uint64_t tokensExpectedAtPreferred(const PlacementRequest& request, const EndpointDirectory& endpointDirectory)
{
    if (!request.prompt || !request.prompt->laterTurn)
        return 0;
    const auto expected = tokensOfEarlierTurns(*request.prompt);
    // An endpoint that this node knows to hold the earlier turns needs no guess where other nodes sent them.
    const auto& serving = endpointDirectory.servingEndpoints(request.service);
    const bool known = std::any_of(serving.begin(), serving.end(), [&](const std::string& id) {
        return endpointDirectory.find(id)->prompts->cachedTokens(request.prompt->chain) >= expected;
    });
    return known ? 0 : expected;
}

} // namespace

std::vector<EndpointAssessment> assessEndpoints(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, const NodeLocation& location,
    core::TimePoint now)
{
    const auto* const preferred = findPreferred(request, endpointDirectory, location);
    const auto expectedAtPreferred = tokensExpectedAtPreferred(request, endpointDirectory);
    const auto& serving = endpointDirectory.servingEndpoints(request.service);
    std::vector<EndpointAssessment> result;
    result.reserve(serving.size());
    for (const auto& id : serving) {
        const auto* const known = endpointDirectory.find(id);
        auto& each = result.emplace_back();
        each.endpoint = known;
        each.exclusion = exclusion(*known, request);
        if (each.exclusion == Exclusion::None && rateLimits.earliestSend(known->entry, now) != now)
            each.exclusion = Exclusion::RateLimit;
        if (each.exclusion != Exclusion::None)
            continue;
        auto& cost = each.cost;
        cost.networkMs = networkCostMs(known->entry, location);
        cost.loadMs = loadCostMs(*known, request, location);
        cost.outstandingMs
            = std::min(static_cast<double>(*known->outstandingBytes) * outstandingMsPerByte, maxOutstandingMs);
        if (request.prompt) {
            each.cachedTokens = std::max(
                known->prompts->cachedTokens(request.prompt->chain), known == preferred ? expectedAtPreferred : 0);
            cost.promptMs
                = promptCostMs(*known->prompts, *request.prompt, known == preferred, each.cachedTokens, location, now);
        }
        if (!request.prompt && known != preferred)
            cost.cacheMissMs = request.cacheSavingMs;
        if (known->fullUntil > now)
            cost.fullMs = fullPenaltyMs;
        if (known->traffic.share <= 0)
            cost.ejectedMs = ejectedPenaltyMs;
        else if (known->traffic.share < 1)
            each.randomPenaltyMs = fullPenaltyMs;
    }
    return result;
}

std::optional<PlacementDecision> chooseEndpoint(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, const NodeLocation& location,
    core::TimePoint now, policy::Random& random)
{
    PlacementDecision best;
    best.costMs = std::numeric_limits<double>::max();
    for (const auto& each : assessEndpoints(request, endpointDirectory, rateLimits, location, now)) {
        if (each.exclusion != Exclusion::None)
            continue;
        ++best.candidates;
        double cost = each.cost.total() + policy::uniform(random) * EndpointCost::spreadMs;
        if (each.randomPenaltyMs > 0 && policy::uniform(random) > each.endpoint->traffic.share)
            cost += each.randomPenaltyMs;
        if (cost < best.costMs) {
            best.costMs = cost;
            best.endpoint = each.endpoint->entry.id;
            best.address = each.endpoint->entry.address;
            best.cachedTokens = each.cachedTokens;
        }
    }
    if (best.endpoint.empty())
        return std::nullopt;
    return best;
}

std::optional<RateLimitedEndpoints> findRateLimitedEndpoints(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, core::TimePoint now)
{
    std::optional<RateLimitedEndpoints> result;
    for (const auto& id : endpointDirectory.servingEndpoints(request.service)) {
        const auto* const known = endpointDirectory.find(id);
        if (exclusion(*known, request) != Exclusion::None || !rateLimits.isLimited(known->entry, now))
            continue;
        if (!result)
            result.emplace();
        result->perSecond += rateLimits.share(known->entry, now);
        const auto at = rateLimits.earliestSend(known->entry, now);
        if (at && (!result->at || *at < *result->at)) {
            result->at = at;
            result->first = id;
        }
    }
    return result;
}

} // namespace lagoontiller::gateway
