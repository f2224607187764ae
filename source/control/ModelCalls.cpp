#include "control/ModelCalls.h"

#include "callers/ChatCompletion.h"
#include "control/Overloaded.h"
#include "control/impl/EngineFailures.h"
#include "control/impl/TurnMessages.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

using core::ResultCode;
using nlohmann::json;

} // namespace

void ModelCalls::start(Call& call, core::TimePoint now)
{
    const auto* program = this->context.durable.find(call.program);
    const auto* model = call.modelCall();
    if (call.document->model(model->model) == nullptr || impl::serviceOfModel(*call.document, model->model).empty()) {
        this->context.refuse(
            call, { ResultCode::UnknownModel, "no service of the document has model " + model->model });
        return;
    }
    call.turn = model->identity.turn.value_or(program == nullptr ? 1 : program->lastContiguousTurn() + 1);
    this->decide(call, now);
}

state::TurnRequest ModelCalls::turnRequest(const Call& call) const
{
    return { call.program, call.turn, call.modelCall()->digest, call.requestId };
}

void ModelCalls::decide(Call& call, core::TimePoint now)
{
    const auto decision
        = this->context.turnOrder.decide(this->turnRequest(call), this->context.durable.find(call.program), now);
    std::visit(Overloaded {
                   [&](const state::RunTurn& run) {
                       call.turnAttempt = run.attempt;
                       this->prepareTurn(call, now);
                   },
                   [&](const state::WaitTurn& wait) {
                       call.phase = CallPhase::AwaitsTurn;
                       call.due = wait.deadline;
                   },
                   [&](const state::JoinTurn& running) { this->join(call, running.requestId); },
                   [&](const state::ReplayTurn& stored) { this->replay(call, stored.turn); },
                   [&](const state::RefuseTurn& refused) {
                       this->context.refuse(call, refused.error, suggestedRetryAfterMs(refused.error.code));
                   },
               },
        decision);
}

void ModelCalls::prepareTurn(Call& call, core::TimePoint now)
{
    auto entries = openProgram(this->context, call, now);
    if (!entries) {
        this->fail(call, entries.error(), now, 0);
        return;
    }
    impl::prepareMessages(call, this->context.durable.find(call.program));
    const auto decision = this->context.budgetLedger.reserve(
        call.program, call.maxPromptTokens + call.modelCall()->maxTokens, state::WorkKind::Turn, now);
    if (const auto* refused = std::get_if<state::BudgetRefused>(&decision)) {
        this->fail(call, refused->error, now, 0);
        return;
    }
    if (const auto* chunk = std::get_if<state::CommitChunk>(&decision)) {
        call.reservation = chunk->reservation;
        auto& entry = entries->emplace_back();
        const auto root = state::rootOf(call.program);
        entry.set_customer(root.customer);
        entry.set_program(root.program);
        entry.mutable_budget_reserved()->set_total_tokens(chunk->totalTokens);
        call.budgetTotalTokens = chunk->totalTokens;
    } else {
        call.reservation = std::get<state::BudgetGranted>(decision).reservation;
    }
    call.startEntries = std::move(*entries);
    this->context.dispatcher.onProgramResumed(cacheKey(call.program), now);
    this->enqueue(call, now);
}

void ModelCalls::enqueue(Call& call, core::TimePoint now)
{
    call.phase = CallPhase::Queued;
    const auto admitted = this->context.dispatcher.enqueue(call, this->dispatchRequest(call), now);
    if (!admitted)
        this->fail(call, admitted.error().error, now, toRetryAfterMs(admitted.error().retryAfter));
}

DispatchRequest ModelCalls::dispatchRequest(const Call& call) const
{
    const auto* model = call.modelCall();
    DispatchRequest request;
    request.service = impl::serviceOfModel(*call.document, model->model);
    request.model = model->model;
    request.cacheKey = cacheKey(call.program);
    const auto separator = call.program.program.rfind('~');
    if (separator != std::string::npos)
        request.parentCacheKey = cacheKey({ call.program.customer, call.program.program.substr(0, separator) });
    request.promptTokens = call.estimatedPromptTokens;
    request.expectedTokens = model->maxTokens;
    request.requestBytes = call.request.body.size();
    request.digest = model->digest;
    request.deadline = call.arrived + this->context.settings.queueTimeout;
    const auto* programClass = programClassOf(this->context, call);
    request.priority = programClass == nullptr ? 0 : static_cast<int>(programClass->priority);
    const auto* program = this->context.durable.find(call.program);
    request.programStarted = program != nullptr && !program->turns.empty();
    return request;
}

void ModelCalls::onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now)
{
    this->context.calls.setAttempt(call, assigned.attempt);
    call.destination = assigned.destination;
    call.timeout = assigned.timeout;
    call.silenceTimeout = assigned.silenceTimeout;
    call.cacheSource = assigned.cacheSource;
    const auto* program = this->context.durable.find(call.program);
    const bool endpointRecorded = program != nullptr && program->endpointsUsed.contains(assigned.destination.address);
    if (!endpointRecorded)
        call.startEntries.emplace_back().mutable_endpoint_used()->set_endpoint(assigned.destination.address);
    if (call.startEntries.empty()) {
        this->send(call);
        return;
    }
    // If the only new record is the endpoint of an already open program, the call does not wait while the store is
    // unavailable: generation may be repeated, and the record is written when the store is available again.
    const bool storeAvailable = this->context.durable.storeAvailable();
    const bool mustWait = call.budgetTotalTokens > 0 || program == nullptr || !program->opened || storeAvailable;
    if (mustWait && !storeAvailable) {
        this->fail(
            call, { ResultCode::StoreUnavailable, "the budget cannot be reserved while the store is down" }, now);
        return;
    }
    call.awaitsOnlyEndpointRecord = call.startEntries.size() == 1 && call.startEntries.front().has_endpoint_used();
    const Continuation continuation
        = mustWait ? Continuation(StartRecorded { call.id }) : Continuation(NoContinuation {});
    const auto appended
        = this->context.durable.append(call.program, std::exchange(call.startEntries, {}), continuation, now);
    if (!appended) {
        this->fail(call, appended.error(), now);
        return;
    }
    call.phase = CallPhase::AwaitsRecords;
    call.due = now + this->context.settings.startRecordTimeout;
    if (!mustWait)
        this->send(call);
}

void ModelCalls::onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now)
{
    this->fail(call, dropped.error, now, toRetryAfterMs(dropped.retryAfter));
}

void ModelCalls::onStartRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now)
{
    if (call.phase != CallPhase::AwaitsRecords)
        return;
    if (error) {
        this->fail(call, *error, now);
        return;
    }
    if (call.budgetTotalTokens > 0)
        this->context.budgetLedger.onChunkCommitted(call.program, call.budgetTotalTokens);
    call.budgetTotalTokens = 0;
    // The endpoint was assigned before the commit, which takes seconds on a slow store; it may be leaving by now.
    if (this->context.dispatcher.acceptsNewCalls(call.destination.endpoint))
        this->send(call);
    else
        this->requeue(call, now);
}

void ModelCalls::requeue(Call& call, core::TimePoint now)
{
    this->context.dispatcher.cancel(call.id, now);
    this->enqueue(call, now);
}

void ModelCalls::send(Call& call)
{
    ++call.attemptCount;
    call.phase = CallPhase::Running;
    call.endpoint = call.destination.address;
    const auto* model = call.modelCall();
    if (!call.answerOpen) {
        call.answerOpen = true;
        const AnswerMetadata metadata { call.requestId, model->model, call.program.program, call.turn,
            this->context.unixMs / 1000 };
        this->context.effects.push_back(OpenAnswer { call.id, model->stream, metadata });
    }
    engines::EngineRequest outgoing;
    outgoing.endpoint = call.endpoint;
    outgoing.requestId = call.requestId + "." + std::to_string(call.attemptCount);
    outgoing.cacheKey = cacheKey(call.program);
    const auto* programClass = programClassOf(this->context, call);
    outgoing.priority = programClass == nullptr ? 0 : static_cast<int>(programClass->priority);
    outgoing.body = call.outgoingBody;
    outgoing.resumeText = call.generatedText;
    // The limits in the document cap the timeouts estimated from measured latencies of the service.
    const auto silenceLimit = std::chrono::milliseconds(call.document->limits().streamSilenceMs);
    outgoing.silenceTimeout = std::min<core::Duration>(call.silenceTimeout, silenceLimit);
    const auto* service = call.document->service(impl::serviceOfModel(*call.document, model->model));
    const auto limit = std::chrono::milliseconds(service == nullptr ? 0 : service->timeoutMs);
    outgoing.firstByteTimeout = service == nullptr ? call.timeout : std::min<core::Duration>(call.timeout, limit);
    this->context.effects.push_back(StartGeneration { call.attempt, call.id, std::move(outgoing), call.cacheSource });
}

void ModelCalls::onFirstToken(AttemptId attempt, core::TimePoint now)
{
    this->context.dispatcher.onFirstToken(attempt, now);
    if (const auto* call = this->context.calls.findByAttempt(attempt)) {
        const auto* programClass = programClassOf(this->context, *call);
        this->context.metrics.observe("lagoontiller_first_token_ms",
            { { "customer", call->program.customer }, { "class", programClass == nullptr ? "" : programClass->name } },
            static_cast<double>((now - call->arrived).count()) / 1000.0);
    }
}

records::Entry ModelCalls::finishedEntry(
    const Call& call, const std::string& text, const engines::EngineFinished& result) const
{
    records::Entry entry;
    auto* finished = entry.mutable_turn_finished();
    finished->set_turn(call.turn);
    finished->set_digest(call.modelCall()->digest);
    json messages = call.addedMessages;
    messages.push_back(callers::assistantMessage(text, result));
    finished->set_messages(messages.dump(-1, ' ', false, json::error_handler_t::replace));
    finished->set_answer(call.answerBody);
    finished->mutable_usage()->set_prompt_tokens(result.usage.promptTokens);
    finished->mutable_usage()->set_completion_tokens(result.usage.completionTokens);
    finished->mutable_usage()->set_cached_tokens(result.usage.cachedTokens);
    finished->set_request_id(call.requestId);
    finished->set_attempt(call.turnAttempt);
    finished->set_endpoint(call.endpoint);
    finished->set_replaces_history(call.replacesHistory);
    return entry;
}

void ModelCalls::onFinished(const GenerationFinished& event, core::TimePoint now)
{
    this->context.dispatcher.onFinished(event.attempt, event.result.usage, now);
    auto* call = this->context.calls.findByAttempt(event.attempt);
    const bool accepted = call != nullptr && call->phase == CallPhase::Running
        && this->context.turnOrder.isCurrentAttempt(call->program, call->turn, call->turnAttempt, call->requestId);
    if (!accepted) {
        core::logInfo("stale_answer_dropped").with("attempt", event.attempt);
        return;
    }
    const callers::ChatCompletionMetadata head { call->requestId, call->modelCall()->model,
        this->context.unixMs / 1000 };
    call->answerBody = callers::completionBody(head, event.text, event.result);
    const auto& usage = event.result.usage;
    this->context.budgetLedger.settle(call->program, call->reservation, usage.promptTokens + usage.completionTokens);
    this->context.metrics.add("lagoontiller_prompt_tokens_cached_total", { { "customer", call->program.customer } },
        static_cast<double>(usage.cachedTokens));
    this->context.metrics.add("lagoontiller_prompt_tokens_recomputed_total", { { "customer", call->program.customer } },
        static_cast<double>(usage.promptTokens - std::min(usage.promptTokens, usage.cachedTokens)));
    this->context.effects.push_back(FinishAnswer { call->id, callers::finishChunk(head, event.result) });
    call->phase = CallPhase::Recording;
    call->due = now + this->context.settings.commitTimeout;
    const auto appended = this->context.durable.append(
        call->program, { this->finishedEntry(*call, event.text, event.result) }, TurnRecorded { call->id }, now);
    const auto id = call->id;
    if (!appended) {
        this->context.turnOrder.onFailed(call->program, call->turn);
        this->close(*call, "uncommitted", now);
        return;
    }
    if (!event.result.toolCalls.empty())
        this->onToolPause(*call, event.result, now);
    this->onTurnEvents(this->context.turnOrder.onAnswered(call->program, call->turn), now);
    if (auto* remaining = this->context.calls.find(id); remaining != nullptr && !this->context.durable.storeAvailable())
        this->close(*remaining, "pending", now);
}

void ModelCalls::onToolPause(const Call& call, const engines::EngineFinished& result, core::TimePoint now)
{
    const auto& first = result.toolCalls.front();
    std::string tool = "unknown";
    if (first.contains("function") && first["function"].is_object())
        tool = first["function"].value("name", tool);
    const auto releaseEndpoint = this->context.dispatcher.onProgramPaused(cacheKey(call.program), tool, now);
    if (releaseEndpoint)
        this->context.effects.push_back(ReleaseCache { call.program, *releaseEndpoint });
}

void ModelCalls::onFailed(const GenerationFailed& event, core::TimePoint now)
{
    const auto kind = impl::failureKindOf(event.failure);
    const auto ran = impl::mayHaveRun(event.failure) ? core::RunState::MayHaveRun : core::RunState::NotRun;
    const auto outcome = this->context.dispatcher.onFailed(event.attempt, kind, ran, now);
    if (outcome.notice)
        this->context.effects.push_back(BroadcastPoisonNotice { *outcome.notice });
    auto* call = this->context.calls.findByAttempt(event.attempt);
    if (call == nullptr || call->phase != CallPhase::Running)
        return;
    core::logWarning("attempt_failed")
        .with("request", call->requestId)
        .with("endpoint", call->endpoint)
        .with("kind", http::name(event.failure.kind))
        .with("status", event.failure.status);
    this->context.effects.push_back(
        CancelGeneration { event.attempt, call->endpoint, call->requestId + "." + std::to_string(call->attemptCount) });
    const bool refused = event.failure.status >= 400 && event.failure.status < 500 && event.failure.status != 429;
    if (refused) {
        const auto message = "the endpoint answered " + std::to_string(event.failure.status);
        this->fail(*call, { ResultCode::EndpointRefused, message }, now, 0);
        return;
    }
    call->mayHaveRun = call->mayHaveRun || impl::mayHaveRun(event.failure);
    call->generatedText = event.text;
    if (!outcome.retryAt) {
        const core::Error fallback(ResultCode::EndpointFailed, "the endpoint failed", core::RunState::MayHaveRun);
        this->fail(*call, outcome.error.value_or(fallback), now);
        return;
    }
    call->turnAttempt = this->context.turnOrder.startAttempt(call->program, call->turn);
    call->phase = CallPhase::Queued;
}

void ModelCalls::onTurnRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now)
{
    this->close(call, error ? "uncommitted" : "committed", now);
}

void ModelCalls::close(Call& call, const std::string& commitState, core::TimePoint now)
{
    const auto finish = [&](Call& each) {
        this->context.effects.push_back(CloseAnswer { each.id, commitState, call.answerBody });
        this->context.observeCompletion(each, commitState, now);
    };
    for (const auto joined : std::vector<CallId>(call.joinedCalls)) {
        if (auto* other = this->context.calls.find(joined)) {
            finish(*other);
            this->context.calls.erase(joined);
        }
    }
    finish(call);
    this->context.calls.erase(call.id);
}

void ModelCalls::fail(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs)
{
    const auto program = call.program;
    const auto turn = call.turn;
    this->context.dispatcher.cancel(call.id, now);
    if (call.reservation != 0 && error.ran == core::RunState::NotRun && call.attemptCount == 0)
        this->context.budgetLedger.cancel(program, call.reservation);
    else if (call.reservation != 0)
        this->context.budgetLedger.settle(
            program, call.reservation, call.maxPromptTokens + call.modelCall()->maxTokens);
    this->context.turnOrder.onFailed(program, turn);
    this->context.observeCompletion(call, "failed", now);
    this->context.refuse(call, error, retryAfterMs);
}

void ModelCalls::join(Call& call, const std::string& runningRequestId)
{
    const auto matches = this->context.calls.select(
        [&](const Call& other) { return other.requestId == runningRequestId && other.id != call.id; });
    if (matches.empty()) {
        this->context.refuse(call,
            { ResultCode::CallInProgress, "the turn is already in progress", core::RunState::MayHaveRun },
            shortRetryAfterMs);
        return;
    }
    auto* running = this->context.calls.find(matches.front());
    running->joinedCalls.push_back(call.id);
    call.phase = CallPhase::Joined;
    call.answerOpen = true;
    if (!running->answerOpen) {
        running->answerOpen = true;
        const AnswerMetadata metadata { running->requestId, running->modelCall()->model, running->program.program,
            running->turn, this->context.unixMs / 1000 };
        this->context.effects.push_back(OpenAnswer { running->id, running->modelCall()->stream, metadata });
    }
    this->context.effects.push_back(JoinAnswer { call.id, running->id, call.modelCall()->stream });
}

void ModelCalls::replay(Call& call, const state::StoredTurn& turn)
{
    const std::string commitState = this->context.durable.isPending(call.program) ? "pending" : "committed";
    http::Headers headers { { "X-Turn", std::to_string(call.turn) }, { "X-Request-Id", turn.requestId },
        { "X-Commit-State", commitState } };
    if (!call.modelCall()->stream) {
        this->context.answer(call, 200, std::move(headers), turn.answer);
        return;
    }
    headers.push_back({ "Content-Type", "text/event-stream" });
    this->context.answer(call, 200, std::move(headers),
        callers::storedCompletionAsEvents(turn.answer)
            + callers::commitEvents(call.program.program, call.turn, commitState));
}

void ModelCalls::onTurnEvents(const std::vector<state::TurnEvent>& events, core::TimePoint now)
{
    for (const auto& event : events) {
        const auto& request
            = std::visit([](const auto& each) -> const state::TurnRequest& { return each.request; }, event);
        const auto waiting = this->context.calls.select([&](const Call& call) {
            return call.phase == CallPhase::AwaitsTurn && call.requestId == request.requestId;
        });
        for (const auto id : waiting) {
            auto* call = this->context.calls.find(id);
            if (const auto* timedOut = std::get_if<state::TurnTimedOut>(&event))
                this->context.refuse(*call, timedOut->error, shortRetryAfterMs);
            else
                this->decide(*call, now);
        }
    }
}

void ModelCalls::tick(core::TimePoint now)
{
    this->onTurnEvents(this->context.turnOrder.tick(now), now);
    const bool storeDown = !this->context.durable.storeAvailable();
    const auto due = this->context.calls.select([&](const Call& call) {
        const bool released = storeDown && call.phase == CallPhase::AwaitsRecords && call.awaitsOnlyEndpointRecord;
        return call.modelCall() != nullptr && (call.due <= now || released);
    });
    for (const auto id : due) {
        auto* call = this->context.calls.find(id);
        if (call == nullptr)
            continue;
        if (call->phase == CallPhase::Recording)
            this->close(*call, "pending", now);
        else if (call->phase == CallPhase::AwaitsRecords && storeDown && call->awaitsOnlyEndpointRecord)
            this->send(*call);
        else if (call->phase == CallPhase::AwaitsRecords)
            this->fail(*call, { ResultCode::StoreUnavailable, "the store did not answer in time" }, now);
    }
}

void ModelCalls::onProgramEnded(const core::ProgramKey& program, core::TimePoint now)
{
    const core::Error ended(ResultCode::ProgramEnded, "the program has ended");
    const auto unanswered = this->context.calls.select([&](const Call& call) {
        return call.modelCall() != nullptr && call.program == program
            && (call.phase == CallPhase::Running || call.phase == CallPhase::AwaitsRecords
                || call.phase == CallPhase::Queued);
    });
    for (const auto id : unanswered) {
        auto& call = *this->context.calls.find(id);
        if (call.phase == CallPhase::Running) {
            call.mayHaveRun = true;
            this->context.effects.push_back(CancelGeneration {
                call.attempt, call.endpoint, call.requestId + "." + std::to_string(call.attemptCount) });
        }
        this->fail(call, ended, now, 0);
    }
    this->onTurnEvents(this->context.turnOrder.removeProgram(program, ended), now);
}

void ModelCalls::onPartitionDropped(Call& call, core::TimePoint now)
{
    this->context.dispatcher.cancel(call.id, now);
    if (call.phase == CallPhase::Recording) {
        // The answer is complete, but its record may not become durable.
        this->close(call, "uncommitted", now);
        return;
    }
    const bool started = call.attemptCount > 0;
    if (call.phase == CallPhase::Running) {
        this->context.effects.push_back(
            CancelGeneration { call.attempt, call.endpoint, call.requestId + "." + std::to_string(call.attemptCount) });
    }
    const auto ran = started ? core::RunState::MayHaveRun : core::RunState::NotRun;
    this->context.refuse(
        call, { ResultCode::OwnerChanged, "the program has another owner now", ran }, shortRetryAfterMs);
}

} // namespace lagoontiller::control
