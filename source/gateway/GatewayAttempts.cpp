#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "platform/EndpointMessages.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

using transport::ExchangeEnd;

/// \brief Endpoints that may refuse a call as full before the caller is told to come back.
constexpr int maximumAttempts = 4;
/// \brief Idle time up to which a kept connection carries a call that must not run twice: a connection that the
/// endpoint dropped without notice fails the call.
constexpr core::Duration idleForNonIdempotent = std::chrono::milliseconds(2'000);
constexpr core::Duration idleForRepeatable = std::chrono::milliseconds(8'000);
/// \brief The same for calls that must not run twice, for this time after a kept connection of the service broke
/// without an answer. Endpoints that forget idle connections do so after 300 ms (platform's list of disruptions).
constexpr core::Duration idleWhereForgotten = std::chrono::milliseconds(200);
constexpr core::Duration forgettingTime = std::chrono::seconds(20);
/// \brief A connection inside a region is established in milliseconds; one lost packet is sent again after a second.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(700);
/// \brief Prompt tokens that an engine reads per millisecond (site sheets).
constexpr double prefillTokensPerMs = 30.6;
/// \brief Silence after which a repeatable stream moves; below the two seconds after which callers leave.
constexpr core::Duration streamSilence = std::chrono::milliseconds(1'200);
/// \brief Part of the remaining time after which a repeatable call is tried elsewhere.
constexpr int silenceDivisor = 2;
/// \brief Time after which a caller should come back when all endpoints are full.
constexpr core::Duration retryAfterFull = std::chrono::milliseconds(300);
/// \brief Usual service time of a plain call and of a stream, for the comparison of endpoints until measured.
constexpr double plainMs = 100;
constexpr double streamMs = 300;
constexpr int lowestUrgency = 9;

/// \brief The more important the route and the less time its program has, the lower.
int urgency(const Flow& flow)
{
    const int base = std::min(2 + flow.route->priority * 2, lowestUrgency);
    const auto left = flow.call.programTime;
    if (left && *left < std::chrono::seconds(2))
        return std::max(base - 1, 0);
    return base;
}

PlacementRequest placementRequest(const Flow& flow)
{
    PlacementRequest request;
    request.service = flow.service->name;
    request.excluded = flow.tried;
    request.repeatable = flow.route->kind == CallKind::Idempotent || flow.route->resumable;
    if (flow.service->engine) {
        request.key = core::hash64(flow.call.program.empty() ? flow.call.session : flow.call.program);
        request.savedMs = flow.call.promptTokens / prefillTokensPerMs;
        request.serviceMs = streamMs;
    } else {
        request.serviceMs = plainMs;
        if (flow.route->sticky && !flow.call.affinity.empty()) {
            request.key = core::hash64(flow.call.affinity);
            request.savedMs = plainMs / 2;
        }
    }
    return request;
}

std::string_view text(ExchangeEnd end) noexcept
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::NotSent:
        return "not_sent";
    case ExchangeEnd::Broken:
        return "connection_broken";
    case ExchangeEnd::BrokenKept:
        return "kept_connection_broken";
    case ExchangeEnd::Malformed:
        return "malformed_answer";
    case ExchangeEnd::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace

void Gateway::dispatch(FlowId id, core::TimePoint now)
{
    auto& flow = *this->find(id);
    const auto request = placementRequest(flow);
    const auto decision = gateway::place(request, this->parts.directory, this->place, now, this->random);
    if (!decision || flow.attempts >= maximumAttempts) {
        if (flow.ran > 0 || flow.begun)
            this->answer(id, { 502, core::ResultCode::EndpointFailed, "no_endpoint_left", {} });
        else
            this->answer(id, { 503, core::ResultCode::NoEndpoint, "no_endpoint", retryAfterFull });
        return;
    }
    this->send(flow, *decision, now);
}

void Gateway::send(Flow& flow, const PlacementDecision& decision, core::TimePoint now)
{
    const auto id = flow.id;
    ++flow.attempts;
    flow.tried.push_back(decision.endpoint);
    flow.reachedEndpoint = true;
    platform::EndpointRequest request;
    request.endpoint = decision.endpoint;
    request.remaining = flow.expires - now;
    request.lastEvent = flow.lastEvent;
    request.body = flow.hasAssembled ? std::string_view(flow.assembled) : std::string_view(flow.call.body);
    if (flow.service->engine)
        request.urgency = urgency(flow);
    transport::ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.longestIdle = this->longestIdle(flow, now);
    platform::setEcho(options, flow.call);
    transport::ExchangeEvents events;
    events.head = [this, id](transport::ResponseHead&& head) { this->headRead(id, std::move(head)); };
    events.body = [this, id](std::string&& bytes) { this->bodyRead(id, std::move(bytes)); };
    events.ended = [this, id](ExchangeEnd end) { this->attemptEnded(id, end); };
    core::logInfo("call_sent")
        .with("id", flow.call.id)
        .with("endpoint", decision.endpoint)
        .with("attempt", flow.attempts)
        .with("cost_ms", static_cast<int>(decision.costMs))
        .with("candidates", decision.candidates)
        .with("configuration", this->configuration->version)
        .with("remaining_ms", request.remaining.count() / 1'000);
    flow.attempt.emplace();
    flow.attempt->endpoint = decision.endpoint;
    flow.attempt->sentAt = now;
    flow.attempt->heardAt = now;
    this->parts.directory.sent(decision.endpoint, now);
    flow.attempt->exchange = this->parts.endpoints.send(
        decision.address, platform::encodeRequest(flow.call, request), std::move(options), std::move(events));
}

core::Duration Gateway::longestIdle(const Flow& flow, core::TimePoint now) const
{
    const auto broken = this->keptBroken.find(flow.service->name);
    if (!this->mayRepeat(flow) && broken != this->keptBroken.end() && now - broken->second < forgettingTime)
        return idleWhereForgotten;
    return flow.route->kind == CallKind::NonIdempotent ? idleForNonIdempotent : idleForRepeatable;
}

void Gateway::attemptEnded(FlowId id, ExchangeEnd end)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt)
        return;
    const auto now = core::monotonicNow();
    const auto& attempt = *flow->attempt;
    if (end == ExchangeEnd::Complete && attempt.answer) {
        if (attempt.answer->notExecuted)
            this->attemptRefused(*flow, now);
        else
            this->answerComplete(*flow, now);
        return;
    }
    if (end == ExchangeEnd::NotSent) {
        this->parts.directory.failed(attempt.endpoint, policy::FailureKind::ConnectionRefused, now);
        core::logWarning("attempt_failed")
            .with("id", flow->call.id)
            .with("endpoint", attempt.endpoint)
            .with("cause", text(end));
        this->parts.metrics.add("gateway_attempts_failed_total", { { "cause", std::string(text(end)) } });
        flow->attempt.reset();
        this->dispatch(id, now);
        return;
    }
    if (attempt.answer && attempt.answer->notExecuted) {
        this->attemptRefused(*flow, now);
        return;
    }
    const bool broken = end == ExchangeEnd::Broken || end == ExchangeEnd::BrokenKept;
    if (broken)
        this->suspectLoss(*flow);
    if (end == ExchangeEnd::BrokenKept)
        this->keptBroken[flow->service->name] = now;
    const auto kind = broken ? policy::FailureKind::Crashed : policy::FailureKind::ServerError;
    this->attemptFailed(*flow, kind, text(end), now);
}

void Gateway::attemptRefused(Flow& flow, core::TimePoint now)
{
    core::logInfo("attempt_refused")
        .with("id", flow.call.id)
        .with("endpoint", flow.attempt->endpoint)
        .with("status", flow.attempt->answer->status);
    this->parts.metrics.add("gateway_attempts_refused_total", { { "service", flow.service->name } });
    this->parts.directory.refused(flow.attempt->endpoint, now);
    flow.attempt.reset();
    this->dispatch(flow.id, now);
}

bool Gateway::mayRepeat(const Flow& flow) const
{
    if (flow.ran >= flow.route->maximumAttempts)
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
        .with("events", flow.events)
        .with("after_ms", (now - flow.attempt->sentAt).count() / 1'000);
    this->parts.metrics.add("gateway_attempts_failed_total", { { "cause", std::string(cause) } });
    // A single broken answer may be the answer's fault: only its kind says that the process is lost.
    this->parts.directory.failed(
        flow.attempt->endpoint, kind == policy::FailureKind::Crashed ? policy::FailureKind::ServerError : kind, now);
    flow.attempt.reset();
    ++flow.ran;
    if (this->mayRepeat(flow)) {
        this->dispatch(flow.id, now);
        return;
    }
    this->answer(flow.id, { 502, core::ResultCode::EndpointFailed, cause, {} });
}

void Gateway::suspectLoss(const Flow& flow)
{
    if (const auto* const known = this->parts.directory.find(flow.attempt->endpoint)) {
        this->parts.losses.suspect(
            { flow.attempt->endpoint, known->entry.address, flow.service->healthPath, flow.digest });
    }
}

void Gateway::stopAttempt(Flow& flow)
{
    if (!flow.attempt)
        return;
    this->parts.endpoints.cancel(flow.attempt->exchange);
    this->parts.directory.abandoned(flow.attempt->endpoint);
    flow.attempt.reset();
}

void Gateway::checkSilence(Flow& flow, core::TimePoint now)
{
    if (!flow.attempt || flow.committing || flow.ran + 1 >= flow.route->maximumAttempts)
        return;
    const auto silent = now - flow.attempt->heardAt;
    const bool stream = flow.route->kind == CallKind::Streaming;
    if (stream && !flow.route->resumable)
        return;
    if (!stream && flow.route->kind != CallKind::Idempotent)
        return;
    const auto limit = stream ? streamSilence : (flow.expires - flow.attempt->sentAt) / silenceDivisor;
    if (silent < limit)
        return;
    this->parts.endpoints.cancel(flow.attempt->exchange);
    this->attemptFailed(flow, policy::FailureKind::Silent, "silent", now);
}

void Gateway::giveUp(FlowId id)
{
    auto& flow = *this->find(id);
    const bool mayHaveRun = flow.ran > 0 || flow.attempt.has_value() || flow.committing;
    if (flow.attempt)
        this->stopAttempt(flow);
    if (mayHaveRun)
        this->answer(id, { 504, core::ResultCode::EndpointTimeout, "time_over", {} });
    else
        this->answer(id, { 503, core::ResultCode::DeadlineExceeded, "time_over", retryAfterFull });
}

void Gateway::tick(core::TimePoint now)
{
    std::vector<FlowId> ids;
    ids.reserve(this->flows.size());
    for (const auto& [id, flow] : this->flows)
        ids.push_back(id);
    for (const auto id : ids) {
        auto* const flow = this->find(id);
        if (flow == nullptr)
            continue;
        if (now >= flow->expires) {
            this->giveUp(id);
            continue;
        }
        this->checkSilence(*flow, now);
        if (const auto* const open = this->find(id))
            this->checkCommit(*open);
    }
}

void Gateway::gone(transport::ConnectionId connection, core::TimePoint)
{
    const auto found = this->byConnection.find(connection);
    if (found == this->byConnection.end())
        return;
    const auto id = found->second;
    this->stopAttempt(this->flows.at(id));
    this->finish(id, "caller_gone", 0);
}

} // namespace lagoontiller::gateway
