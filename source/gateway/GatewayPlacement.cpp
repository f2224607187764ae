#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Maximum number of attempts per call, including attempts that were refused or not sent.
constexpr int maxAttemptsPerCall = 4;
/// \brief A call waits for the rate limit of an endpoint for this part of the objective of its route at most; the rest
/// of the objective remains for its execution.
constexpr int maxWaitTargetLatencyDivisor = 2;
/// \brief Retry delay for callers when all endpoints are full.
constexpr core::Duration retryAfterEndpointsFull = std::chrono::milliseconds(300);
/// \brief Retry delay for callers that resume a stream while no endpoint of its software version is available;
/// endpoints that crashed are back after some seconds.
constexpr core::Duration retryAfterVersionGone = std::chrono::milliseconds(1'000);
/// \brief Retry delay for callers while no node reaches the endpoints; paths are checked several times a second.
constexpr core::Duration retryAfterNoPath = std::chrono::milliseconds(500);
/// \brief Expected service times of a plain call and of a stream, for the load estimate of endpoints.
constexpr double expectedPlainCallMs = 100;
constexpr double expectedStreamMs = 300;

/// \brief Whether the call is the first of its program.
bool startsProgram(const Flow& flow)
{
    if (flow.route->kind != CallKind::Streaming || flow.call.program.empty())
        return false;
    return flow.route->keepsHistory ? flow.call.previousTurn.empty() : flow.reservation && flow.reservation->firstTurn;
}

/// \brief Calls with the same key share a prefix of their prompts.
std::uint64_t affinityKey(const Flow& flow)
{
    return core::hash64(flow.call.program.empty() ? flow.call.session : flow.call.program);
}

} // namespace

PlacementRequest Gateway::placementRequest(const Flow& flow) const
{
    PlacementRequest request;
    request.service = flow.service->name;
    request.excludedEndpoints = flow.triedEndpoints;
    request.versions = this->permittedVersions(flow);
    request.prompt = this->promptWork(flow);
    request.repeatable = flow.route->kind == CallKind::Idempotent || flow.route->resumable;
    if (flow.service->engine) {
        request.affinityKey = affinityKey(flow);
        request.cacheSavingMs = flow.call.promptTokens / PrefillRate::initialTokensPerMs;
        request.expectedServiceMs = expectedStreamMs;
    } else {
        request.expectedServiceMs = expectedPlainCallMs;
        if (flow.route->sticky && !flow.call.affinity.empty()) {
            request.affinityKey = core::hash64(flow.call.affinity);
            request.cacheSavingMs = expectedPlainCallMs / 2;
        }
    }
    return request;
}

void Gateway::dispatch(FlowId id, core::TimePoint now)
{
    auto& flow = *this->find(id);
    // The process may have been paused since the call was admitted or its last attempt was sent.
    if (now >= flow.deadline) {
        this->expire(id);
        return;
    }
    if (!this->canEndBeforeStop(flow)) {
        this->refuseWhileStopping(flow);
        return;
    }
    const auto request = this->placementRequest(flow);
    const auto& directory = this->dependencies.endpointDirectory;
    const auto decision
        = chooseEndpoint(request, directory, this->endpointRateLimits, this->location, now, this->random);
    if (!decision && flow.attempts < maxAttemptsPerCall) {
        if (const auto limited = findRateLimitedEndpoints(request, directory, this->endpointRateLimits, now)) {
            this->waitForRateLimit(flow, *limited, now);
            return;
        }
    }
    if (!decision || flow.attempts >= maxAttemptsPerCall) {
        this->respond(id, noEndpointResponse(flow));
        return;
    }
    this->endpointRateLimits.reserve(directory.find(decision->endpoint)->entry, now);
    this->sendAttempt(flow, *decision, now);
}

std::set<std::string> Gateway::permittedVersions(const Flow& flow) const
{
    if (flow.streamVersion)
        return { *flow.streamVersion };
    // A version is listed before streams begin at it, so that nodes without memory know that they may have.
    return flow.route->resumable ? this->dependencies.serviceVersions.listed(flow.service->name)
                                 : std::set<std::string>();
}

Gateway::LocalResponse Gateway::timeOverResponse()
{
    return { 503, core::ResultCode::DeadlineExceeded, "time_over", retryAfterEndpointsFull };
}

Gateway::LocalResponse Gateway::noEndpointResponse(const Flow& flow)
{
    if (flow.possibleRuns > 0 || flow.responseStarted)
        return { 502, core::ResultCode::EndpointFailed, "no_endpoint_left", {} };
    if (flow.streamVersion)
        return { 503, core::ResultCode::NoEndpoint, "stream_version_gone", retryAfterVersionGone };
    return { 503, core::ResultCode::NoEndpoint, "no_endpoint", retryAfterEndpointsFull };
}

Gateway::LocalResponse Gateway::noPathResponse(const Flow& flow)
{
    if (flow.possibleRuns > 0 || flow.responseStarted)
        return { 502, core::ResultCode::EndpointFailed, "no_path", {} };
    return { 503, core::ResultCode::NoEndpoint, "no_path", retryAfterNoPath };
}

bool Gateway::mayWaitForRateLimit(const Flow& flow, const RateLimitedEndpoints& limited, core::TimePoint now)
{
    const auto latest = std::min(now + flow.route->targetLatency / maxWaitTargetLatencyDivisor, flow.deadline);
    return limited.at && *limited.at < latest && !startsProgram(flow);
}

Gateway::LocalResponse Gateway::rateLimitResponse(
    const Flow& flow, const RateLimitedEndpoints& limited, RetrySchedule& schedule, core::TimePoint now)
{
    if (flow.possibleRuns > 0 || flow.responseStarted)
        return noEndpointResponse(flow);
    const auto earliest = limited.at.value_or(now + retryAfterEndpointsFull);
    return { 503, core::ResultCode::TooManyRequests, "endpoints_rate_limited",
        schedule.assign(startsProgram(flow), earliest, limited.perSecond, now) };
}

void Gateway::waitForRateLimit(Flow& flow, const RateLimitedEndpoints& limited, core::TimePoint now)
{
    if (mayWaitForRateLimit(flow, limited, now)) {
        const auto& endpoint = this->dependencies.endpointDirectory.find(limited.first)->entry;
        flow.rateLimitWait = RateLimitWait { limited.first, this->endpointRateLimits.reserve(endpoint, now) };
        core::logInfo("call_waits")
            .with("id", flow.call.id)
            .with("endpoint", limited.first)
            .with("wait_ms", (flow.rateLimitWait->until - now).count() / 1'000);
        this->dependencies.metrics.add(
            "gateway_rate_limited_total", { { "service", flow.service->name }, { "action", "wait" } });
        return;
    }
    const auto response = rateLimitResponse(flow, limited, this->retrySchedules[flow.service->name], now);
    if (response.code == core::ResultCode::TooManyRequests) {
        this->dependencies.metrics.add(
            "gateway_rate_limited_total", { { "service", flow.service->name }, { "action", "refuse" } });
    }
    this->respond(flow.id, response);
}

void Gateway::sendAfterWait(Flow& flow, core::TimePoint now)
{
    const auto wait = *std::exchange(flow.rateLimitWait, std::nullopt);
    const auto& serving = this->dependencies.endpointDirectory.servingEndpoints(flow.service->name);
    const bool serves = std::binary_search(serving.begin(), serving.end(), wait.endpoint);
    // Another process may have started under the endpoint's id meanwhile.
    const auto versions = this->permittedVersions(flow);
    if (!serves
        || (!versions.empty()
            && !versions.contains(this->dependencies.endpointDirectory.find(wait.endpoint)->entry.version))) {
        this->dispatch(flow.id, now);
        return;
    }
    PlacementDecision decision;
    decision.endpoint = wait.endpoint;
    decision.address = this->dependencies.endpointDirectory.find(wait.endpoint)->entry.address;
    decision.candidates = 1;
    this->sendAttempt(flow, decision, now);
}

std::optional<PromptWork> Gateway::promptWork(const Flow& flow) const
{
    if (this->longPromptTokens == 0 || !flow.service->engine)
        return std::nullopt;
    PromptWork work;
    const bool isNamed = !flow.call.program.empty() || !flow.call.session.empty();
    work.chain = promptChain(flow.call.prompt, flow.call.promptTokens, isNamed ? affinityKey(flow) : 0);
    const auto rate = this->prefillRates.find(flow.service->name);
    work.tokensPerMs = (rate == this->prefillRates.end() ? PrefillRate() : rate->second).tokensPerMs();
    work.laterTurn = !startsProgram(flow);
    return work;
}

} // namespace lagoontiller::gateway
