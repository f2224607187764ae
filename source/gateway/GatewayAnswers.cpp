#include "gateway/Gateway.h"

#include "core/Log.h"
#include "platform/CallerMessages.h"
#include "platform/EndpointMessages.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Largest answer that is held in memory until it is whole.
constexpr std::size_t maximumAnswerBytes = 16U << 20U;
/// \brief Bytes that wait for a slow caller before its stream is given up.
constexpr std::size_t maximumBacklog = 1U << 20U;
/// \brief Time of a stream that is usual, for the comparison of endpoints: prefill and 17 events (site sheets).
constexpr double usualStreamMs = 400;
constexpr double usualPlainMs = 150;

/// \brief Statuses that promise that a request has not run; an endpoint says so with a field of its own.
constexpr bool promisesNotRun(int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void Gateway::headRead(FlowId id, transport::ResponseHead&& head)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt)
        return;
    flow->attempt->heardAt = core::monotonicNow();
    flow->attempt->answer = platform::decodeAnswer(std::move(head));
}

void Gateway::bodyRead(FlowId id, std::string&& bytes)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt || !flow->attempt->answer)
        return;
    const auto now = core::monotonicNow();
    auto& attempt = *flow->attempt;
    attempt.heardAt = now;
    const auto& answer = *attempt.answer;
    if (isSuccess(answer.status) && answer.proven && !answer.encoded && answer.eventStream) {
        this->passEvents(*flow, bytes, now);
        return;
    }
    attempt.body.append(bytes);
    if (attempt.body.size() > maximumAnswerBytes) {
        this->parts.endpoints.cancel(attempt.exchange);
        this->attemptFailed(*flow, policy::FailureKind::ServerError, "answer_too_large", now);
    }
}

void Gateway::passEvents(Flow& flow, std::string_view bytes, core::TimePoint now)
{
    std::string out;
    for (auto& event : flow.attempt->events.feed(bytes)) {
        if (event.id && flow.lastEvent && *event.id <= *flow.lastEvent)
            continue;
        if (event.id)
            flow.lastEvent = event.id;
        if (event.hasData) {
            ++flow.events;
            if (flow.route->keepsHistory)
                flow.output.append(event.data).append("\n");
        }
        out.append(event.bytes);
    }
    if (out.empty())
        return;
    if (!flow.begun) {
        flow.begun = true;
        flow.firstEventAt = now;
        this->parts.callers.begin(flow.connection, platform::encodeAnswerHead(*flow.attempt->answer));
    }
    this->parts.callers.write(flow.connection, out);
    if (this->parts.callers.backlog(flow.connection) > maximumBacklog) {
        this->stopAttempt(flow);
        this->answer(flow.id, { 502, core::ResultCode::RequestTooSlow, "caller_too_slow", {} });
    }
}

void Gateway::answerComplete(Flow& flow, core::TimePoint now)
{
    const auto& attempt = *flow.attempt;
    const auto& answer = *attempt.answer;
    const bool success = isSuccess(answer.status);
    if (success && (!answer.proven || answer.encoded)) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "answer_without_proof", now);
        return;
    }
    if (success && answer.eventStream && attempt.events.insideEvent()) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "stream_cut_inside_event", now);
        return;
    }
    if (!success && flow.begun) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "resume_refused", now);
        return;
    }
    if (answer.status >= 500 && flow.route->kind == CallKind::Idempotent
        && flow.ran + 1 < flow.route->maximumAttempts) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "endpoint_error", now);
        return;
    }
    const auto took = static_cast<double>((now - attempt.sentAt).count()) / 1'000;
    this->parts.directory.succeeded(
        attempt.endpoint, took / (flow.service->engine ? usualStreamMs : usualPlainMs), now);
    this->parts.losses.succeeded(flow.digest, now);
    if (!(success && answer.eventStream)) {
        this->respondWhole(flow);
        return;
    }
    if (!flow.begun) {
        flow.begun = true;
        this->parts.callers.begin(flow.connection, platform::encodeAnswerHead(answer));
    }
    flow.attempt.reset();
    if (flow.route->keepsHistory)
        this->commitTurn(flow.id);
    else
        this->endStream(flow.id);
}

void Gateway::respondWhole(Flow& flow)
{
    const auto attempt = std::move(*flow.attempt);
    flow.attempt.reset();
    auto answer = *attempt.answer;
    if (promisesNotRun(answer.status)) {
        ++flow.ran;
        this->answer(flow.id, { 502, core::ResultCode::EndpointFailed, "endpoint_status_unproven", {} });
        return;
    }
    this->parts.callers.respond(flow.connection, platform::encodeAnswerHead(answer), attempt.body);
    this->finish(flow.id, "answered", answer.status);
}

void Gateway::commitTurn(FlowId id)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    flow->committing = true;
    flow->commitStartedAt = core::monotonicNow();
    const auto attempt = ++flow->commits;
    auto turn = std::make_shared<Turn>();
    turn->id = flow->call.id;
    for (const auto& each : flow->chain)
        turn->ancestors.push_back(each->id);
    turn->input = flow->call.body;
    turn->output = flow->output;
    this->parts.histories.commit(turn, flow->route->retention,
        [this, id, attempt, turn](bool durable) { this->commitEnded(id, attempt, durable, turn); });
}

void Gateway::commitEnded(FlowId id, int attempt, bool durable, const std::shared_ptr<const Turn>& turn)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (durable) {
        this->parts.peers.offer(flow->call.program, *turn, core::monotonicNow());
        this->endStream(id);
        return;
    }
    if (attempt != flow->commits)
        return;
    const auto delay = flow->commitBackoff.nextDelay(this->random);
    core::logWarning("turn_commit_failed")
        .with("id", flow->call.id)
        .with("attempt", attempt)
        .with("again_ms", delay.count() / 1'000)
        .with("store_away_ms", this->parts.contact.awayFor(core::monotonicNow()).count() / 1'000);
    auto timer = std::make_shared<asio::steady_timer>(this->parts.context, delay);
    timer->async_wait([this, id, attempt, timer](asio::error_code error) {
        const auto* const waiting = this->find(id);
        if (!error && waiting != nullptr && waiting->commits == attempt)
            this->commitTurn(id);
    });
}

void Gateway::checkCommit(const Flow& flow)
{
    if (flow.committing && flow.commitStartedAt < this->parts.contact.regainedAt())
        this->commitTurn(flow.id);
}

void Gateway::endStream(FlowId id)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    this->parts.callers.end(flow->connection);
    this->finish(id, "answered", 200);
}

void Gateway::answer(FlowId id, const OwnAnswer& own)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (flow->begun) {
        this->parts.callers.abort(flow->connection);
        this->finish(id, own.cause, 0);
        return;
    }
    this->parts.callers.respond(
        flow->connection, platform::encodeOwnHead(flow->call.id, own.status, own.retryAfter), {});
    this->finish(id, own.cause, own.status);
}

void Gateway::finish(FlowId id, std::string_view outcome, int status)
{
    const auto found = this->flows.find(id);
    const auto now = core::monotonicNow();
    auto& flow = found->second;
    if (flow.reservation) {
        const auto perEvent = flow.service->engine ? flow.service->engine->tokensPerEvent : 1;
        this->parts.peers.settle(flow.call.program, *flow.reservation, flow.events * perEvent, now);
    }
    const auto took = now - flow.arrived;
    core::logInfo("call_ended")
        .with("id", flow.call.id)
        .with("program", flow.call.program)
        .with("route", flow.route ? flow.route->name : std::string("-"))
        .with("outcome", outcome)
        .with("status", status)
        .with("attempts", flow.attempts)
        .with("events", flow.events)
        .with("first_ms",
            flow.begun && flow.firstEventAt.time_since_epoch().count() > 0
                ? (flow.firstEventAt - flow.arrived).count() / 1'000
                : -1)
        .with("took_ms", took.count() / 1'000);
    const std::string name = flow.route ? flow.route->name : std::string("-");
    this->parts.metrics.add("gateway_calls_total", { { "route", name }, { "outcome", std::string(outcome) } });
    if (flow.firstEventAt.time_since_epoch().count() > 0) {
        this->parts.metrics.observe("gateway_first_event_ms", { { "route", name } },
            static_cast<double>((flow.firstEventAt - flow.arrived).count()) / 1'000);
    }
    this->parts.metrics.observe("gateway_call_ms", { { "route", name }, { "status", std::to_string(status) } },
        static_cast<double>(took.count()) / 1'000);
    this->byConnection.erase(flow.connection);
    this->flows.erase(found);
}

} // namespace lagoontiller::gateway
