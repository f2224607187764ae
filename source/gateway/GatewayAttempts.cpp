#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "gateway/TurnUrgency.h"
#include "platform/EndpointMessages.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;

/// \brief Maximum idle time of a pooled connection for non-idempotent calls and for other calls. If the endpoint
/// dropped the connection without notice, a non-idempotent call fails.
constexpr core::Duration maxIdleNonIdempotent = std::chrono::milliseconds(2'000);
constexpr core::Duration maxIdleDefault = std::chrono::milliseconds(8'000);
/// \brief Maximum idle time for calls that may not be retried, within `brokenReuseWindow` after a reused connection of
/// the service broke before a response. Endpoints that drop idle connections silently do so after 300 ms (list of
/// disruptions of the platform).
constexpr core::Duration maxIdleAfterBrokenReuse = std::chrono::milliseconds(200);
constexpr core::Duration brokenReuseWindow = std::chrono::seconds(20);
/// \brief Connections within a region are established in milliseconds; a lost packet is retransmitted after one second.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(700);
/// \brief Maximum size of a stream; other responses are limited by the buffer that holds them.
constexpr std::size_t maxStreamBytes = 64U << 20U;
/// \brief A tick that is later than this shows that the process was paused.
constexpr core::Duration maxTickDelay = std::chrono::milliseconds(500);

int urgency(const Flow& flow)
{
    TurnUrgencyRequest request;
    if (flow.account)
        request.accountPriority = flow.account->priority;
    request.routePriority = flow.route->priority;
    request.programTime = flow.call.programTime;
    return turnUrgency(request);
}

/// \brief Whether another run may continue what the caller has received; only resumable routes permit it, and keep to
/// one software version.
bool mayBeginRun(const Flow& flow)
{
    return flow.events.canBeResumed() && (!flow.responseStarted || flow.route->resumable);
}

std::string_view toString(ExchangeEnd end) noexcept
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::Closed:
        return "end_unproven";
    case ExchangeEnd::NotSent:
        return "not_sent";
    case ExchangeEnd::Withheld:
        return "withheld";
    case ExchangeEnd::Broken:
        return "connection_broken";
    case ExchangeEnd::BrokenReused:
        return "kept_connection_broken";
    case ExchangeEnd::Malformed:
        return "malformed_answer";
    case ExchangeEnd::TimedOut:
        return "timed_out";
    case ExchangeEnd::NoPath:
        return "no_path";
    }
    return "unknown";
}

/// \brief Whether the response may be passed on: a success needs its whole body, while another status says the same
/// with a truncated one.
bool isProven(const EndpointResponse& response, ExchangeEnd end) noexcept
{
    return end == ExchangeEnd::Complete || (end == ExchangeEnd::Closed && !isSuccess(response.status));
}

} // namespace

void Gateway::sendAttempt(Flow& flow, const PlacementDecision& decision, core::TimePoint now)
{
    const auto id = flow.id;
    if (const auto authorization = this->authorization(flow); authorization != Authorization::Granted) {
        this->respond(flow.id, this->unauthorizedResponse(flow, authorization));
        return;
    }
    ++flow.attempts;
    // A further attempt counts, too; it is not refused, as the call may have run.
    if (flow.hasPermit && flow.attempts > 1)
        this->dependencies.quotaService.charge(flow.account->name);
    flow.triedEndpoints.push_back(decision.endpoint);
    platform::EndpointRequest request;
    request.endpoint = decision.endpoint;
    request.remaining = flow.deadline - now;
    request.lastEvent = flow.events.last();
    request.body = flow.hasAssembledBody ? std::string_view(flow.assembledBody) : std::string_view(flow.call.body);
    if (flow.service->engine)
        request.urgency = urgency(flow);
    if (this->accounts.required())
        request.account = flow.account ? flow.account->name : std::string();
    transport::ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.maxIdleTime = this->maxIdleTime(flow, now);
    if (flow.account) {
        options.mayBeSent = [this, id] {
            const auto* const current = this->find(id);
            return current != nullptr && this->authorization(*current) == Authorization::Granted;
        };
    }
    if (flow.route->kind == CallKind::Streaming)
        options.maxBodyBytes = maxStreamBytes;
    platform::setResponseMatching(options, flow.call);
    transport::ExchangeEvents events;
    const auto attempt = flow.attempts;
    events.head = [this, id, attempt](transport::ResponseHead&& head) {
        if (this->isInProgress(id, attempt))
            this->handleResponseHead(id, std::move(head));
    };
    events.body = [this, id, attempt](std::string&& bytes) {
        if (this->isInProgress(id, attempt))
            this->handleResponseBody(id, std::move(bytes));
    };
    events.ended = [this, id, attempt](ExchangeEnd end) {
        if (this->isInProgress(id, attempt))
            this->attemptEnded(id, end);
    };
    const auto* const endpoint = this->dependencies.endpointDirectory.find(decision.endpoint);
    core::logInfo("call_sent")
        .with("id", flow.call.id)
        .with("endpoint", decision.endpoint)
        .with("endpoint_version", endpoint->entry.version)
        .with("attempt", flow.attempts)
        .with("cost_ms", static_cast<int>(decision.costMs))
        .with("candidates", decision.candidates)
        .with("configuration", this->configuration->version)
        .with("relayed", this->dependencies.endpoints.paths().areLost() ? "yes" : "no")
        .with("remaining_ms", request.remaining.count() / 1'000);
    flow.attempt.emplace(endpoint->entry, now);
    flow.attempt->resumesStream = flow.events.last().has_value();
    flow.events.beginRun();
    this->dependencies.endpointDirectory.callSent(decision.endpoint, now);
    this->recordPrompt(flow, decision, now);
    flow.attempt->outstandingBytes
        = this->dependencies.endpointDirectory.holdBytes(decision.endpoint, request.body.size());
    EndpointExchange exchange { decision.endpoint, endpoint->entry.startedAt, decision.address, flow.deadline,
        platform::encodeRequest(flow.call, request), std::move(options) };
    flow.attempt->exchange = this->dependencies.endpoints.send(std::move(exchange), std::move(events));
    flow.attempt->connection = this->dependencies.endpoints.connectionOf(flow.attempt->exchange);
}

bool Gateway::isInProgress(FlowId id, int attempt)
{
    const auto* const flow = this->find(id);
    return flow != nullptr && flow->attempt && flow->attempts == attempt;
}

void Gateway::recordPrompt(Flow& flow, const PlacementDecision& decision, core::TimePoint now)
{
    const auto work = this->promptWork(flow);
    if (!work)
        return;
    const auto* const endpoint = this->dependencies.endpointDirectory.find(decision.endpoint);
    const auto cached = std::max(decision.cachedTokens, endpoint->prompts->cachedTokens(work->chain));
    // The nodes of the zone share the cache.
    const auto maxCached = static_cast<double>(flow.service->engine->cacheTokens) / this->location.readyNodesInZone;
    flow.attempt->waitingPrompt
        = WaitingPrompt(endpoint->prompts, work->chain, cached, static_cast<std::uint64_t>(maxCached), now);
    const auto uncached = flow.attempt->waitingPrompt.uncached();
    if (uncached < this->longPromptTokens)
        return;
    core::logInfo("long_prompt_sent")
        .with("id", flow.call.id)
        .with("endpoint", decision.endpoint)
        .with("uncached_tokens", uncached)
        .with("cached_tokens", cached);
    this->dependencies.metrics.add("gateway_long_prompts_total", { { "service", flow.service->name } });
    this->dependencies.peerService.announceLongPrompt({ decision.endpoint, endpoint->entry.startedAt, uncached }, now);
}

void Gateway::handleLongPrompt(const LongPromptNotice& notice, core::TimePoint now)
{
    const auto* const endpoint = this->dependencies.endpointDirectory.find(notice.endpoint);
    if (this->longPromptTokens == 0 || endpoint == nullptr || endpoint->entry.startedAt != notice.endpointStartedAt)
        return;
    endpoint->prompts->reported(notice.uncachedTokens, this->prefillRates[endpoint->entry.service].tokensPerMs(), now);
}

core::Duration Gateway::maxIdleTime(const Flow& flow, core::TimePoint now) const
{
    const auto broken = this->reusedConnectionBrokenAt.find(flow.service->name);
    if (!this->mayRetry(flow) && broken != this->reusedConnectionBrokenAt.end()
        && now - broken->second < brokenReuseWindow)
        return maxIdleAfterBrokenReuse;
    return flow.route->kind == CallKind::NonIdempotent ? maxIdleNonIdempotent : maxIdleDefault;
}

void Gateway::attemptEnded(FlowId id, ExchangeEnd end)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt)
        return;
    const auto now = core::monotonicNow();
    const auto& attempt = *flow->attempt;
    if (attempt.response && attempt.response->notExecuted) {
        this->attemptRefused(*flow, now);
        return;
    }
    if (attempt.response && isProven(*attempt.response, end)) {
        this->handleResponseEnd(*flow, now);
        return;
    }
    if (attempt.response && end == ExchangeEnd::Closed) {
        flow->attempt->closedAt = now;
        flow->attempt->closedAtPeer = this->dependencies.endpoints.closedExchange(attempt.exchange);
        const auto& atPeer = flow->attempt->closedAtPeer;
        this->judgeClosedResponse(*flow, atPeer ? std::optional(atPeer->probe) : std::nullopt, now);
        return;
    }
    if (end == ExchangeEnd::Withheld) {
        this->attemptWithheld(*flow, now);
        return;
    }
    if (end == ExchangeEnd::NoPath) {
        this->dependencies.endpointDirectory.callAbandoned(attempt.endpoint);
        flow->attempt.reset();
        this->respond(id, noPathResponse(*flow));
        return;
    }
    if (end == ExchangeEnd::NotSent) {
        this->recordFailure(*flow, policy::FailureKind::ConnectionRefused, now);
        core::logWarning("attempt_failed")
            .with("id", flow->call.id)
            .with("endpoint", attempt.endpoint)
            .with("cause", toString(end));
        this->dependencies.metrics.add("gateway_attempts_failed_total", { { "cause", std::string(toString(end)) } });
        flow->attempt.reset();
        this->dispatch(id, now);
        return;
    }
    this->attemptBroken(*flow, end, now);
}

void Gateway::attemptBroken(Flow& flow, ExchangeEnd end, core::TimePoint now)
{
    // The operating system closes the connections of a killed process, in order if it had read all of the request.
    const bool broken = end == ExchangeEnd::Closed || end == ExchangeEnd::Broken || end == ExchangeEnd::BrokenReused;
    if (broken)
        this->reportSuspectedLoss(flow, now);
    if (end == ExchangeEnd::BrokenReused)
        this->reusedConnectionBrokenAt[flow.service->name] = now;
    const auto kind = broken ? policy::FailureKind::Crashed : policy::FailureKind::ServerError;
    this->attemptFailed(flow, kind, toString(end), now);
}

void Gateway::attemptRefused(Flow& flow, core::TimePoint now)
{
    core::logInfo("attempt_refused")
        .with("id", flow.call.id)
        .with("endpoint", flow.attempt->endpoint)
        .with("status", flow.attempt->response->status)
        .with("connection", flow.attempt->connection.connection)
        .with("exchange", flow.attempt->connection.exchange)
        .with("after_ms", (now - flow.attempt->sentAt).count() / 1'000);
    this->dependencies.metrics.add("gateway_attempts_refused_total", { { "service", flow.service->name } });
    this->dependencies.endpointDirectory.callRefused(flow.attempt->endpoint, now);
    this->recordFirstEvent(flow, false, now);
    flow.attempt.reset();
    this->dispatch(flow.id, now);
}

bool Gateway::mayRetry(const Flow& flow) const
{
    if (flow.possibleRuns >= flow.route->maxAttempts || !mayBeginRun(flow))
        return false;
    if (flow.route->kind == CallKind::Idempotent)
        return true;
    return flow.route->kind == CallKind::Streaming && flow.route->resumable;
}

void Gateway::attemptFailed(Flow& flow, policy::FailureKind kind, std::string_view cause, core::TimePoint now)
{
    core::logWarning("attempt_failed")
        .with("id", flow.call.id)
        .with("endpoint", flow.attempt->endpoint)
        .with("cause", cause)
        .with("events", flow.eventCount)
        .with("last_event", flow.events.last().value_or(0))
        .with("connection", flow.attempt->connection.connection)
        .with("exchange", flow.attempt->connection.exchange)
        .with("after_ms", (now - flow.attempt->sentAt).count() / 1'000);
    this->dependencies.metrics.add("gateway_attempts_failed_total", { { "cause", std::string(cause) } });
    this->recordFailure(flow, kind, now);
    flow.hasBegunEvent = flow.hasBegunEvent || flow.attempt->eventParser.hasPartialEvent();
    flow.attempt.reset();
    this->responseMemory.release(flow.id);
    ++flow.possibleRuns;
    // The loss of the endpoint is not confirmed yet; if it is, the request must not crash another one.
    const bool crashesEndpoints = kind == policy::FailureKind::Crashed
        && this->dependencies.lossTracker.isIsolatedByNextLoss(flow.requestDigest, now);
    if (this->mayRetry(flow) && !crashesEndpoints) {
        this->dispatch(flow.id, now);
        return;
    }
    this->respond(flow.id, { 502, core::ResultCode::EndpointFailed, cause, {} });
}

void Gateway::recordFailure(const Flow& flow, policy::FailureKind kind, core::TimePoint now)
{
    const auto& endpoint = flow.attempt->endpoint;
    auto& directory = this->dependencies.endpointDirectory;
    const bool relayed = this->dependencies.endpoints.isRelayed(flow.attempt->exchange);
    const bool connectionFailed
        = kind == policy::FailureKind::Crashed || kind == policy::FailureKind::ConnectionRefused;
    // A single broken connection may be caused by the response. It counts as a server error until the loss of the
    // process is confirmed.
    const auto counted = kind == policy::FailureKind::Crashed ? policy::FailureKind::ServerError : kind;
    if (relayed ? kind == policy::FailureKind::Crashed : this->dependencies.endpoints.paths().areLost()) {
        directory.callAbandoned(endpoint);
    } else if (!relayed && connectionFailed) {
        directory.callAbandoned(endpoint);
        this->dependencies.endpoints.connectionFailed(endpoint, counted, now);
    } else {
        directory.callFailed(endpoint, counted, now);
    }
}

void Gateway::handlePathsLost(core::TimePoint now)
{
    // What was late on lost paths says nothing about the engines.
    this->newProgramLimiters.clear();
    std::vector<FlowId> ids;
    for (const auto& [id, flow] : this->flows) {
        if (!flow.attempt || flow.attempt->closedAt || flow.attempt->paused || flow.committing
            || this->dependencies.endpoints.isRelayed(flow.attempt->exchange))
            continue;
        if (this->dependencies.endpoints.isUnsent(flow.attempt->exchange)
            || flow.attempt->progress.timeWithoutProgress(now) >= EndpointPaths::probeTimeout)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        auto* const flow = this->find(id);
        if (flow == nullptr || !flow->attempt)
            continue;
        if (this->dependencies.endpoints.isUnsent(flow->attempt->exchange)) {
            this->cancelAttempt(*flow);
            this->dispatch(id, now);
            continue;
        }
        const bool repeatable = flow->possibleRuns + 1 < flow->route->maxAttempts && mayBeginRun(*flow)
            && (flow->route->kind == CallKind::Idempotent || flow->route->resumable);
        // The response to another call may still arrive if the paths return before its deadline.
        if (!repeatable && flow->route->kind != CallKind::Streaming)
            continue;
        this->dependencies.endpoints.cancel(flow->attempt->exchange);
        this->attemptFailed(*flow, policy::FailureKind::Silent, "path_lost", now);
    }
}

void Gateway::reportSuspectedLoss(const Flow& flow, core::TimePoint now)
{
    // A broken connection to a peer says nothing about the endpoint.
    if (this->dependencies.endpoints.isRelayed(flow.attempt->exchange))
        return;
    if (const auto* const known = this->dependencies.endpointDirectory.find(flow.attempt->endpoint)) {
        // The check of the endpoint is a request, too.
        this->endpointRateLimits.reserve(known->entry, now);
        this->dependencies.lossTracker.suspect(
            { flow.attempt->endpoint, known->entry.address, flow.service->healthPath, flow.requestDigest });
    }
}

void Gateway::recordFirstEvent(Flow& flow, bool inTime, core::TimePoint now)
{
    if (!flow.service->engine || flow.responseStarted || flow.attempt->congestionRecorded)
        return;
    flow.attempt->congestionRecorded = true;
    this->newProgramLimiters[flow.service->name].record(!inTime, now);
}

void Gateway::cancelAttempt(Flow& flow)
{
    if (!flow.attempt)
        return;
    this->dependencies.endpoints.cancel(flow.attempt->exchange);
    this->dependencies.endpointDirectory.callAbandoned(flow.attempt->endpoint);
    flow.attempt.reset();
}

void Gateway::checkInactivity(Flow& flow, core::TimePoint now)
{
    if (flow.attempt && now - flow.attempt->sentAt > flow.route->targetLatency)
        this->recordFirstEvent(flow, false, now);
    // An endpoint is not silent while its response is not read.
    if (!flow.attempt || flow.attempt->closedAt || flow.attempt->paused || flow.committing
        || flow.possibleRuns + 1 >= flow.route->maxAttempts || !mayBeginRun(flow))
        return;
    const auto limit = inactivityLimit(*flow.route, flow.deadline - flow.attempt->sentAt);
    if (!limit || flow.attempt->progress.timeWithoutProgress(now) < *limit)
        return;
    this->dependencies.endpoints.cancel(flow.attempt->exchange);
    this->attemptFailed(flow, policy::FailureKind::Silent, "silent", now);
}

void Gateway::expire(FlowId id)
{
    auto& flow = *this->find(id);
    const bool mayHaveRun = flow.possibleRuns > 0 || flow.attempt.has_value() || flow.committing;
    if (flow.attempt)
        this->cancelAttempt(flow);
    if (mayHaveRun)
        this->respond(id, { 504, core::ResultCode::EndpointTimeout, "time_over", {} });
    else
        this->respond(id, timeOverResponse());
}

bool Gateway::resumedAfterPause(core::TimePoint now)
{
    const bool late = this->lastTickAt != core::TimePoint() && now - this->lastTickAt > maxTickDelay;
    const bool paused = late && !this->lastTickWasLate;
    this->lastTickAt = now;
    this->lastTickWasLate = late;
    return paused;
}

void Gateway::tick(core::TimePoint now)
{
    const bool paused = this->resumedAfterPause(now);
    this->endpointRateLimits.tick(now);
    std::vector<FlowId> ids;
    ids.reserve(this->flows.size());
    for (auto& [id, flow] : this->flows) {
        if (paused && flow.attempt)
            flow.attempt->progress.restart(now);
        ids.push_back(id);
    }
    if (paused) {
        core::logWarning("process_was_paused").with("calls", ids.size());
        return;
    }
    for (const auto id : ids) {
        auto* const flow = this->find(id);
        if (flow == nullptr)
            continue;
        if (now >= flow->deadline) {
            this->expire(id);
            continue;
        }
        if (flow->rateLimitWait) {
            if (now >= flow->rateLimitWait->until)
                this->sendAfterWait(*flow, now);
            continue;
        }
        this->checkInactivity(*flow, now);
        if (const auto* const current = this->find(id))
            this->retryCommitAfterOutage(*current);
    }
}

void Gateway::handleDisconnect(transport::ConnectionId connection, core::TimePoint)
{
    const auto found = this->flowByConnection.find(connection);
    if (found == this->flowByConnection.end())
        return;
    const auto id = found->second;
    this->cancelAttempt(this->flows.at(id));
    this->finish(id, "caller_gone", 0);
}

} // namespace lagoontiller::gateway
