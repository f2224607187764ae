#include "gateway/Gateway.h"

#include "core/Log.h"
#include "platform/CallerMessages.h"
#include "platform/EndpointMessages.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Maximum size of a response that is buffered in memory.
constexpr std::size_t maxBufferedResponseBytes = 16U << 20U;
/// \brief Maximum size of one event of a stream.
constexpr std::size_t maxEventBytes = 1U << 20U;
/// \brief Typical durations for the latency comparison of endpoints; a stream consists of the prefill and 17 events
/// (site data sheets).
constexpr double typicalStreamMs = 400;
constexpr double typicalPlainCallMs = 150;

std::string_view toString(transport::Framing framing) noexcept
{
    switch (framing) {
    case transport::Framing::None:
        return "none";
    case transport::Framing::Length:
        return "length";
    case transport::Framing::Chunked:
        return "chunked";
    case transport::Framing::UntilClose:
        return "until_close";
    }
    return "unknown";
}

/// \brief Whether callers conclude from the status alone that the request was not executed. Only an explicit response
/// header of the endpoint proves that, so these statuses are not forwarded.
constexpr bool impliesNotExecuted(int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void Gateway::handleResponseHead(FlowId id, transport::ResponseHead&& head)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt)
        return;
    const auto now = core::monotonicNow();
    auto& attempt = *flow->attempt;
    attempt.progress.headReceived(now);
    attempt.response = platform::decodeResponse(std::move(head));
    if (attempt.response->leaving)
        this->dependencies.endpointDirectory.markLeaving(attempt.endpoint, attempt.endpointStartedAt, now);
    this->recordRateLimit(attempt, now);
    this->dependencies.metrics.add("gateway_responses_total",
        { { "service", flow->service->name }, { "framing", std::string(toString(attempt.response->framing)) } });
}

void Gateway::recordRateLimit(const FlowAttempt& attempt, core::TimePoint now)
{
    const auto* const endpoint = this->dependencies.endpointDirectory.find(attempt.endpoint);
    if (endpoint == nullptr || endpoint->entry.startedAt != attempt.endpointStartedAt
        || attempt.response->wrongEndpoint)
        return;
    this->endpointRateLimits.observe(endpoint->entry, attempt.response->rateLimit, attempt.sentAt,
        this->dependencies.storeHealth.storeTimeMs(now), now);
}

void Gateway::handleResponseBody(FlowId id, std::string&& bytes)
{
    auto* const flow = this->find(id);
    if (flow == nullptr || !flow->attempt || !flow->attempt->response)
        return;
    const auto now = core::monotonicNow();
    auto& attempt = *flow->attempt;
    const auto& answer = *attempt.response;
    if (isSuccess(answer.status) && answer.hasOriginProof && !answer.hasContentCoding && answer.eventStream
        && !answer.notExecuted) {
        this->forwardEvents(*flow, bytes, now);
    } else {
        attempt.progress.bodyReceived(bytes.size(), now);
        attempt.body.append(bytes);
    }
    this->limitResponseMemory(id, now);
}

void Gateway::limitResponseMemory(FlowId id, core::TimePoint now)
{
    auto* flow = this->find(id);
    if (flow == nullptr || !flow->attempt)
        return;
    const auto fail = [this, now](Flow& failing, std::string_view cause) {
        this->dependencies.endpoints.cancel(failing.attempt->exchange);
        this->attemptFailed(failing, policy::FailureKind::ServerError, cause, now);
    };
    const auto& attempt = *flow->attempt;
    const auto eventBytes = attempt.eventParser.partialEventBytes();
    if (attempt.body.size() > maxBufferedResponseBytes || eventBytes > maxEventBytes) {
        fail(*flow, "answer_too_large");
        return;
    }
    const auto largest = this->responseMemory.hold(id, attempt.body.size() + eventBytes + flow->output.size());
    if (!largest)
        return;
    if (auto* const failing = this->find(*largest); failing != nullptr && failing->attempt)
        fail(*failing, "memory_exceeded");
}

void Gateway::forwardEvents(Flow& flow, std::string_view bytes, core::TimePoint now)
{
    std::string out;
    auto order = EventOrder::InOrder;
    auto& marker = this->endMarkers[flow.service->name];
    for (auto& event : flow.attempt->eventParser.feed(bytes)) {
        order = flow.events.accept(event, this->eventNumberings[flow.service->name]);
        if (order != EventOrder::InOrder) {
            this->recordIrregularEvent(flow, event, order);
            break;
        }
        if (event.hasData) {
            flow.attempt->progress.eventsReceived(now);
            if (const auto rate = flow.attempt->waitingPrompt.firstEvent(now))
                this->prefillRates[flow.service->name].record(*rate);
            ++flow.attempt->eventCount;
            ++flow.eventCount;
            flow.hasBegunEvent = false;
            if (!flow.lastEventData.empty() && flow.lastEventData == marker.candidate())
                marker.observeInside();
            flow.lastEventData = event.data.size() <= EndMarker::maxBytes ? event.data : std::string();
            if (flow.route->keepsHistory)
                flow.output.append(event.data).append("\n");
        }
        out.append(event.bytes);
    }
    if (!out.empty())
        this->writeEvents(flow, out, now);
    if (order == EventOrder::InOrder)
        return;
    this->dependencies.endpoints.cancel(flow.attempt->exchange);
    this->attemptFailed(flow, policy::FailureKind::ServerError, "event_" + std::string(toString(order)), now);
}

void Gateway::recordIrregularEvent(const Flow& flow, const StreamEvent& event, EventOrder order)
{
    core::logWarning("stream_event_irregular")
        .with("id", flow.call.id)
        .with("endpoint", flow.attempt->endpoint)
        .with("attempt", flow.attempts)
        .with("kind", toString(order))
        .with("last", flow.events.last().value_or(0))
        .with("event", event.id.value_or(0));
    this->dependencies.metrics.add("gateway_irregular_events_total", { { "kind", std::string(toString(order)) } });
}

void Gateway::writeEvents(Flow& flow, std::string_view out, core::TimePoint now)
{
    if (!flow.responseStarted) {
        this->recordFirstEvent(flow, now - flow.attempt->sentAt <= flow.route->targetLatency, now);
        flow.responseStarted = true;
        flow.firstEventAt = now;
        if (flow.route->resumable) {
            if (!flow.streamVersion)
                flow.streamVersion = flow.attempt->endpointVersion;
            this->noteStreamOrigin(flow, now);
        }
        this->dependencies.callers.begin(
            flow.connection, platform::encodeForwardedResponseHead(*flow.attempt->response));
    }
    this->dependencies.callers.write(flow.connection, out);
    if (!flow.attempt->paused && this->dependencies.callers.shouldPause(flow.connection)) {
        flow.attempt->paused = true;
        this->dependencies.endpoints.pause(flow.attempt->exchange);
        core::logInfo("caller_reads_slowly")
            .with("id", flow.call.id)
            .with("endpoint", flow.attempt->endpoint)
            .with("unsent_bytes", this->dependencies.callers.unsentBytes(flow.connection));
        this->dependencies.metrics.add("gateway_responses_paused_total", { { "service", flow.service->name } });
    }
}

void Gateway::handleDrained(transport::ConnectionId connection, core::TimePoint now)
{
    const auto found = this->flowByConnection.find(connection);
    auto* const flow = found == this->flowByConnection.end() ? nullptr : this->find(found->second);
    if (flow == nullptr || !flow->attempt || !flow->attempt->paused)
        return;
    flow->attempt->paused = false;
    flow->attempt->progress.restart(now);
    this->dependencies.endpoints.resume(flow->attempt->exchange);
}

void Gateway::handleResponseEnd(Flow& flow, core::TimePoint now)
{
    const auto& attempt = *flow.attempt;
    const auto& answer = *attempt.response;
    const bool success = isSuccess(answer.status);
    if (success && (!answer.hasOriginProof || answer.hasContentCoding)) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "answer_without_proof", now);
        return;
    }
    if (success && answer.eventStream && attempt.eventParser.hasPartialEvent()) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "stream_cut_inside_event", now);
        return;
    }
    if (flow.responseStarted && !(success && answer.eventStream)) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "resume_refused", now);
        return;
    }
    if (answer.status >= 500 && flow.route->kind == CallKind::Idempotent
        && flow.possibleRuns + 1 < flow.route->maxAttempts) {
        this->attemptFailed(flow, policy::FailureKind::ServerError, "endpoint_error", now);
        return;
    }
    // A response without events shows no reading rate.
    if (success)
        flow.attempt->waitingPrompt.firstEvent(now);
    const auto took = static_cast<double>((now - attempt.sentAt).count()) / 1'000;
    this->dependencies.endpointDirectory.callSucceeded(
        attempt.endpoint, took / (flow.service->engine ? typicalStreamMs : typicalPlainCallMs), now);
    this->dependencies.lossTracker.callSucceeded(flow.requestDigest, now);
    if (!(success && answer.eventStream)) {
        this->forwardWholeResponse(flow);
        return;
    }
    if (!flow.responseStarted) {
        flow.responseStarted = true;
        this->dependencies.callers.begin(flow.connection, platform::encodeForwardedResponseHead(answer));
    }
    if (const auto consecutive = flow.events.isConsecutive())
        this->eventNumberings[flow.service->name].observe(*consecutive);
    if (flow.eventCount > 1)
        this->endMarkers[flow.service->name].observe(flow.lastEventData);
    flow.attempt.reset();
    this->responseMemory.release(flow.id);
    if (flow.route->keepsHistory)
        this->commitTurn(flow.id);
    else
        this->endStream(flow.id);
}

void Gateway::forwardWholeResponse(Flow& flow)
{
    const auto attempt = std::move(*flow.attempt);
    flow.attempt.reset();
    auto answer = *attempt.response;
    if (impliesNotExecuted(answer.status)) {
        ++flow.possibleRuns;
        this->respond(flow.id, { 502, core::ResultCode::EndpointFailed, "endpoint_status_unproven", {} });
        return;
    }
    this->dependencies.callers.respond(flow.connection, platform::encodeForwardedResponseHead(answer), attempt.body);
    this->finish(flow.id, "answered", answer.status);
}

void Gateway::commitTurn(FlowId id)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    flow->committing = true;
    flow->commitStartedAt = core::monotonicNow();
    const auto attempt = ++flow->commitAttempts;
    auto turn = std::make_shared<Turn>();
    turn->id = flow->call.scopedId();
    for (const auto& each : flow->chain)
        turn->ancestors.push_back(each->id);
    turn->input = flow->call.body;
    turn->output = flow->output;
    this->dependencies.turnStore.commit(turn, flow->route->retention,
        [this, id, attempt, turn](bool durable) { this->commitEnded(id, attempt, durable, turn); });
}

void Gateway::commitEnded(FlowId id, int attempt, bool durable, const std::shared_ptr<const Turn>& turn)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (durable) {
        this->dependencies.peerService.offerTurn(flow->call.program, *turn, core::monotonicNow());
        this->endStream(id);
        return;
    }
    if (attempt != flow->commitAttempts)
        return;
    const auto delay = flow->commitBackoff.nextDelay(this->random);
    core::logWarning("turn_commit_failed")
        .with("id", flow->call.id)
        .with("attempt", attempt)
        .with("again_ms", delay.count() / 1'000)
        .with("store_away_ms", this->dependencies.storeHealth.outageDuration(core::monotonicNow()).count() / 1'000);
    auto timer = std::make_shared<asio::steady_timer>(this->dependencies.context, delay);
    timer->async_wait([this, id, attempt, timer](asio::error_code error) {
        const auto* const waiting = this->find(id);
        if (!error && waiting != nullptr && waiting->commitAttempts == attempt)
            this->commitTurn(id);
    });
}

void Gateway::retryCommitAfterOutage(const Flow& flow)
{
    if (flow.committing && flow.commitStartedAt < this->dependencies.storeHealth.recoveredAt())
        this->commitTurn(flow.id);
}

void Gateway::endStream(FlowId id)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    this->dependencies.callers.end(flow->connection);
    this->finish(id, "answered", 200);
}

void Gateway::respond(FlowId id, const LocalResponse& response)
{
    auto* const flow = this->find(id);
    if (flow == nullptr)
        return;
    if (flow->responseStarted) {
        this->dependencies.callers.abort(flow->connection);
        this->finish(id, response.cause, 0);
        return;
    }
    this->dependencies.callers.respond(
        flow->connection, platform::encodeLocalResponseHead(flow->call.id, response.status, response.retryAfter), {});
    this->finish(id, response.cause, response.status);
}

void Gateway::finish(FlowId id, std::string_view outcome, int status)
{
    const auto found = this->flows.find(id);
    const auto now = core::monotonicNow();
    auto& flow = found->second;
    this->responseMemory.release(id);
    if (flow.hasPermit && flow.attempts == 0)
        this->dependencies.quotaService.giveBack(flow.account->name);
    if (flow.reservation) {
        const auto perEvent = flow.service->engine ? flow.service->engine->tokensPerEvent : 1;
        this->dependencies.peerService.settle(flow.call.program, *flow.reservation, flow.eventCount * perEvent, now);
    }
    const auto took = now - flow.arrivedAt;
    auto line = core::logInfo("call_ended");
    if (flow.account)
        line.with("account", flow.account->name);
    line.with("id", flow.call.id)
        .with("program", flow.call.program)
        .with("route", flow.route ? flow.route->name : std::string("-"))
        .with("outcome", outcome)
        .with("status", status)
        .with("attempts", flow.attempts)
        .with("events", flow.eventCount)
        .with("last_event", flow.events.last().value_or(0))
        .with("first_ms",
            flow.responseStarted && flow.firstEventAt.time_since_epoch().count() > 0
                ? (flow.firstEventAt - flow.arrivedAt).count() / 1'000
                : -1)
        .with("took_ms", took.count() / 1'000);
    const std::string name = flow.route ? flow.route->name : std::string("-");
    this->dependencies.metrics.add("gateway_calls_total", { { "route", name }, { "outcome", std::string(outcome) } });
    if (flow.account) {
        this->dependencies.metrics.add("gateway_account_calls_total",
            { { "account", this->metricName(*flow.account) }, { "outcome", std::string(outcome) } });
    }
    if (flow.firstEventAt.time_since_epoch().count() > 0) {
        this->dependencies.metrics.observe("gateway_first_event_ms", { { "route", name } },
            static_cast<double>((flow.firstEventAt - flow.arrivedAt).count()) / 1'000);
    }
    this->dependencies.metrics.observe("gateway_call_ms", { { "route", name }, { "status", std::to_string(status) } },
        static_cast<double>(took.count()) / 1'000);
    this->flowByConnection.erase(flow.connection);
    this->flows.erase(found);
}

} // namespace lagoontiller::gateway
