#include "control/Turns.h"

#include "callers/ChatAnswer.h"
#include "control/Overloaded.h"
#include "control/impl/EngineFailures.h"
#include "control/impl/TurnMessages.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

using core::ResultCode;
using nlohmann::json;

} // namespace

void Turns::start(Call& call, core::TimePoint now)
{
    const auto* program = this->context.durable.find(call.program);
    const auto* model = call.model();
    if (call.document->model(model->model) == nullptr || impl::serviceOfModel(*call.document, model->model).empty()) {
        this->context.refuse(
            call, { ResultCode::UnknownModel, "no service of the document has model " + model->model });
        return;
    }
    call.turn = model->identity.turn.value_or(program == nullptr ? 1 : program->lastContiguousTurn() + 1);
    this->decide(call, now);
}

state::TurnRequest Turns::turnRequest(const Call& call) const
{
    return { call.program, call.turn, call.model()->digest, call.requestId };
}

void Turns::decide(Call& call, core::TimePoint now)
{
    const auto decision
        = this->context.turns.decide(this->turnRequest(call), this->context.durable.find(call.program), now);
    std::visit(Overloaded {
                   [&](const state::RunTurn& run) {
                       call.turnAttempt = run.attempt;
                       this->run(call, now);
                   },
                   [&](const state::WaitTurn& wait) {
                       call.phase = CallPhase::AwaitsTurn;
                       call.due = wait.deadline;
                   },
                   [&](const state::JoinTurn& running) { this->join(call, running.requestId); },
                   [&](const state::ReplayTurn& stored) { this->replay(call, stored.turn); },
                   [&](const state::RefuseTurn& refused) {
                       this->context.refuse(call, refused.error, suggestedRetryMs(refused.error.code));
                   },
               },
        decision);
}

void Turns::run(Call& call, core::TimePoint now)
{
    auto entries = openProgram(this->context, call, now);
    if (!entries) {
        this->fail(call, entries.error(), now, 0);
        return;
    }
    impl::prepareMessages(call, this->context.durable.find(call.program));
    const auto decision = this->context.budgets.reserve(
        call.program, call.promptTokens + call.model()->maximumTokens, state::WorkKind::Turn, now);
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
        call.chunkTokens = chunk->totalTokens;
    } else {
        call.reservation = std::get<state::BudgetGranted>(decision).reservation;
    }
    call.startEntries = std::move(*entries);
    this->context.dispatch.resumed(cacheKey(call.program), now);
    this->enqueue(call, now);
}

void Turns::enqueue(Call& call, core::TimePoint now)
{
    call.phase = CallPhase::Queued;
    const auto admitted = this->context.dispatch.arrive(call, this->dispatchRequest(call), now);
    if (!admitted)
        this->fail(call, admitted.error().error, now, retryMs(admitted.error().retryAfter));
}

DispatchRequest Turns::dispatchRequest(const Call& call) const
{
    const auto* model = call.model();
    DispatchRequest request;
    request.service = impl::serviceOfModel(*call.document, model->model);
    request.model = model->model;
    request.cacheKey = cacheKey(call.program);
    const auto separator = call.program.program.rfind('~');
    if (separator != std::string::npos)
        request.parentCacheKey = cacheKey({ call.program.customer, call.program.program.substr(0, separator) });
    request.promptTokens = call.promptEstimate;
    request.expectedTokens = model->maximumTokens;
    request.requestBytes = call.request.body.size();
    request.digest = model->digest;
    request.deadline = call.arrived + this->context.settings.endpointWait;
    const auto* programClass = classOf(this->context, call);
    request.priority = programClass == nullptr ? 0 : static_cast<int>(programClass->priority);
    const auto* program = this->context.durable.find(call.program);
    request.started = program != nullptr && !program->turns.empty();
    return request;
}

void Turns::onAssigned(Call& call, const Assigned& assigned, core::TimePoint now)
{
    this->context.calls.setAttempt(call, assigned.attempt);
    call.destination = assigned.destination;
    call.timeout = assigned.timeout;
    call.silence = assigned.silence;
    call.cacheSource = assigned.cacheSource;
    const auto* program = this->context.durable.find(call.program);
    const bool known = program != nullptr && program->endpointsUsed.contains(assigned.destination.address);
    if (!known)
        call.startEntries.emplace_back().mutable_endpoint_used()->set_endpoint(assigned.destination.address);
    if (call.startEntries.empty()) {
        this->send(call);
        return;
    }
    // A new endpoint alone does not keep a known program waiting while the store is down: the work may be repeated and
    // the record follows when the store is back.
    const bool storeAvailable = this->context.durable.storeAvailable();
    const bool mustWait = call.chunkTokens > 0 || program == nullptr || !program->opened || storeAvailable;
    if (mustWait && !storeAvailable) {
        this->fail(
            call, { ResultCode::StoreUnavailable, "the budget cannot be reserved while the store is down" }, now);
        return;
    }
    call.awaitsEndpointOnly = call.startEntries.size() == 1 && call.startEntries.front().has_endpoint_used();
    const Purpose purpose = mustWait ? Purpose(StartRecorded { call.id }) : Purpose(Unattended {});
    const auto appended
        = this->context.durable.append(call.program, std::exchange(call.startEntries, {}), purpose, now);
    if (!appended) {
        this->fail(call, appended.error(), now);
        return;
    }
    call.phase = CallPhase::AwaitsRecords;
    call.due = now + this->context.settings.recordWait;
    if (!mustWait)
        this->send(call);
}

void Turns::onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now)
{
    this->fail(call, dropped.error, now, retryMs(dropped.retryAfter));
}

void Turns::onStartRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now)
{
    if (call.phase != CallPhase::AwaitsRecords)
        return;
    if (error) {
        this->fail(call, *error, now);
        return;
    }
    if (call.chunkTokens > 0)
        this->context.budgets.onChunkCommitted(call.program, call.chunkTokens);
    call.chunkTokens = 0;
    // The endpoint was chosen before the commit, which takes seconds when the store is slow.
    if (this->context.dispatch.takesWork(call.destination.endpoint))
        this->send(call);
    else
        this->requeue(call, now);
}

void Turns::requeue(Call& call, core::TimePoint now)
{
    this->context.dispatch.cancel(call.id, now);
    this->enqueue(call, now);
}

void Turns::send(Call& call)
{
    ++call.attempts;
    call.phase = CallPhase::Running;
    call.endpoint = call.destination.address;
    const auto* model = call.model();
    if (!call.answerOpen) {
        call.answerOpen = true;
        const AnswerForm form { call.requestId, model->model, call.program.program, call.turn,
            this->context.unixMs / 1000 };
        this->context.effects.push_back(OpenAnswer { call.id, model->stream, form });
    }
    engines::EngineRequest outgoing;
    outgoing.endpoint = call.endpoint;
    outgoing.requestId = call.requestId + "." + std::to_string(call.attempts);
    outgoing.program = cacheKey(call.program);
    const auto* programClass = classOf(this->context, call);
    outgoing.priority = programClass == nullptr ? 0 : static_cast<int>(programClass->priority);
    outgoing.body = call.outgoingBody;
    outgoing.resumeText = call.text;
    // The document's limits bound the ones learned from what the service usually takes.
    const auto silenceLimit = std::chrono::milliseconds(call.document->limits().streamSilenceMs);
    outgoing.silenceTimeout = std::min<core::Duration>(call.silence, silenceLimit);
    const auto* service = call.document->service(impl::serviceOfModel(*call.document, model->model));
    const auto limit = std::chrono::milliseconds(service == nullptr ? 0 : service->timeoutMs);
    outgoing.firstByteTimeout = service == nullptr ? call.timeout : std::min<core::Duration>(call.timeout, limit);
    this->context.effects.push_back(Generate { call.attempt, call.id, std::move(outgoing), call.cacheSource });
}

void Turns::onFirstToken(AttemptId attempt, core::TimePoint now)
{
    this->context.dispatch.firstToken(attempt, now);
    if (const auto* call = this->context.calls.findAttempt(attempt)) {
        const auto* programClass = classOf(this->context, *call);
        this->context.metrics.observe("lagoontiller_first_token_ms",
            { { "customer", call->program.customer }, { "class", programClass == nullptr ? "" : programClass->name } },
            static_cast<double>((now - call->arrived).count()) / 1000.0);
    }
}

records::Entry Turns::finishedEntry(
    const Call& call, const std::string& text, const engines::EngineFinished& result) const
{
    records::Entry entry;
    auto* finished = entry.mutable_turn_finished();
    finished->set_turn(call.turn);
    finished->set_digest(call.model()->digest);
    json messages = call.addedMessages;
    messages.push_back(callers::assistantMessage(text, result));
    finished->set_messages(messages.dump(-1, ' ', false, json::error_handler_t::replace));
    finished->set_answer(call.wholeAnswer);
    finished->mutable_usage()->set_prompt_tokens(result.usage.promptTokens);
    finished->mutable_usage()->set_completion_tokens(result.usage.completionTokens);
    finished->mutable_usage()->set_cached_tokens(result.usage.cachedTokens);
    finished->set_request_id(call.requestId);
    finished->set_attempt(call.turnAttempt);
    finished->set_endpoint(call.endpoint);
    finished->set_replaces_history(call.replacesHistory);
    return entry;
}

void Turns::onFinished(const GenerationFinished& event, core::TimePoint now)
{
    this->context.dispatch.finished(event.attempt, event.result.usage, now);
    auto* call = this->context.calls.findAttempt(event.attempt);
    const bool accepted = call != nullptr && call->phase == CallPhase::Running
        && this->context.turns.isCurrentAttempt(call->program, call->turn, call->turnAttempt, call->requestId);
    if (!accepted) {
        core::logInfo("stale_answer_dropped").with("attempt", event.attempt);
        return;
    }
    const callers::ChatHead head { call->requestId, call->model()->model, this->context.unixMs / 1000 };
    call->wholeAnswer = callers::wholeAnswer(head, event.text, event.result);
    const auto& usage = event.result.usage;
    this->context.budgets.settle(call->program, call->reservation, usage.promptTokens + usage.completionTokens);
    this->context.metrics.add("lagoontiller_prompt_tokens_cached_total", { { "customer", call->program.customer } },
        static_cast<double>(usage.cachedTokens));
    this->context.metrics.add("lagoontiller_prompt_tokens_recomputed_total", { { "customer", call->program.customer } },
        static_cast<double>(usage.promptTokens - std::min(usage.promptTokens, usage.cachedTokens)));
    this->context.effects.push_back(FinishAnswer { call->id, callers::finishChunk(head, event.result) });
    call->phase = CallPhase::Recording;
    call->due = now + this->context.settings.commitWait;
    const auto appended = this->context.durable.append(
        call->program, { this->finishedEntry(*call, event.text, event.result) }, TurnRecorded { call->id }, now);
    const auto id = call->id;
    if (!appended) {
        this->context.turns.onFailed(call->program, call->turn);
        this->close(*call, "uncommitted", now);
        return;
    }
    if (!event.result.toolCalls.empty())
        this->onToolPause(*call, event.result, now);
    this->handle(this->context.turns.onAnswered(call->program, call->turn), now);
    if (auto* still = this->context.calls.find(id); still != nullptr && !this->context.durable.storeAvailable())
        this->close(*still, "pending", now);
}

void Turns::onToolPause(const Call& call, const engines::EngineFinished& result, core::TimePoint now)
{
    const auto& first = result.toolCalls.front();
    std::string tool = "unknown";
    if (first.contains("function") && first["function"].is_object())
        tool = first["function"].value("name", tool);
    const auto dropAt = this->context.dispatch.paused(cacheKey(call.program), tool, now);
    if (dropAt)
        this->context.effects.push_back(ReleaseMemory { call.program, *dropAt });
}

void Turns::onFailed(const GenerationFailed& event, core::TimePoint now)
{
    const auto kind = impl::policyKind(event.failure);
    const auto ran = impl::mayHaveRun(event.failure) ? core::RunState::MayHaveRun : core::RunState::NotRun;
    const auto outcome = this->context.dispatch.failed(event.attempt, kind, ran, now);
    if (outcome.notice)
        this->context.effects.push_back(SpreadPoisonNotice { *outcome.notice });
    auto* call = this->context.calls.findAttempt(event.attempt);
    if (call == nullptr || call->phase != CallPhase::Running)
        return;
    core::logWarning("attempt_failed")
        .with("request", call->requestId)
        .with("endpoint", call->endpoint)
        .with("kind", http::name(event.failure.kind))
        .with("status", event.failure.status);
    this->context.effects.push_back(
        CancelGeneration { event.attempt, call->endpoint, call->requestId + "." + std::to_string(call->attempts) });
    const bool refused = event.failure.status >= 400 && event.failure.status < 500 && event.failure.status != 429;
    if (refused) {
        const auto message = "the endpoint answered " + std::to_string(event.failure.status);
        this->fail(*call, { ResultCode::EndpointRefused, message }, now, 0);
        return;
    }
    call->mayHaveRun = call->mayHaveRun || impl::mayHaveRun(event.failure);
    call->text = event.text;
    if (!outcome.retryAt) {
        const core::Error unknown(ResultCode::EndpointFailed, "the endpoint failed", core::RunState::MayHaveRun);
        this->fail(*call, outcome.error.value_or(unknown), now);
        return;
    }
    call->turnAttempt = this->context.turns.startAttempt(call->program, call->turn);
    call->phase = CallPhase::Queued;
}

void Turns::onRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now)
{
    this->close(call, error ? "uncommitted" : "committed", now);
}

void Turns::close(Call& call, const std::string& commitState, core::TimePoint now)
{
    const auto finish = [&](Call& each) {
        this->context.effects.push_back(CloseAnswer { each.id, commitState, call.wholeAnswer });
        this->context.observe(each, commitState, now);
    };
    for (const auto joined : std::vector<CallId>(call.joined)) {
        if (auto* other = this->context.calls.find(joined)) {
            finish(*other);
            this->context.calls.erase(joined);
        }
    }
    finish(call);
    this->context.calls.erase(call.id);
}

void Turns::fail(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs)
{
    const auto program = call.program;
    const auto turn = call.turn;
    this->context.dispatch.cancel(call.id, now);
    if (call.reservation != 0 && error.ran == core::RunState::NotRun && call.attempts == 0)
        this->context.budgets.cancel(program, call.reservation);
    else if (call.reservation != 0)
        this->context.budgets.settle(program, call.reservation, call.promptTokens + call.model()->maximumTokens);
    this->context.turns.onFailed(program, turn);
    this->context.observe(call, "failed", now);
    this->context.refuse(call, error, retryAfterMs);
}

void Turns::join(Call& call, const std::string& runningRequest)
{
    const auto matches = this->context.calls.select(
        [&](const Call& other) { return other.requestId == runningRequest && other.id != call.id; });
    if (matches.empty()) {
        this->context.refuse(call,
            { ResultCode::CallInProgress, "the turn is being answered", core::RunState::MayHaveRun }, shortRetryMs);
        return;
    }
    auto* running = this->context.calls.find(matches.front());
    running->joined.push_back(call.id);
    call.phase = CallPhase::Joined;
    call.answerOpen = true;
    if (!running->answerOpen) {
        running->answerOpen = true;
        const AnswerForm form { running->requestId, running->model()->model, running->program.program, running->turn,
            this->context.unixMs / 1000 };
        this->context.effects.push_back(OpenAnswer { running->id, running->model()->stream, form });
    }
    this->context.effects.push_back(JoinAnswer { call.id, running->id, call.model()->stream });
}

void Turns::replay(Call& call, const state::StoredTurn& turn)
{
    const std::string commitState = this->context.durable.isPending(call.program) ? "pending" : "committed";
    http::Headers headers { { "X-Turn", std::to_string(call.turn) }, { "X-Request-Id", turn.requestId },
        { "X-Commit-State", commitState } };
    if (!call.model()->stream) {
        this->context.answer(call, 200, std::move(headers), turn.answer);
        return;
    }
    headers.push_back({ "Content-Type", "text/event-stream" });
    this->context.answer(call, 200, std::move(headers),
        callers::storedAnswerAsEvents(turn.answer)
            + callers::commitEvents(call.program.program, call.turn, commitState));
}

void Turns::handle(const std::vector<state::TurnEvent>& events, core::TimePoint now)
{
    for (const auto& event : events) {
        const auto& request
            = std::visit([](const auto& each) -> const state::TurnRequest& { return each.request; }, event);
        const auto waiting = this->context.calls.select([&](const Call& call) {
            return call.phase == CallPhase::AwaitsTurn && call.requestId == request.requestId;
        });
        for (const auto id : waiting) {
            auto* call = this->context.calls.find(id);
            if (const auto* late = std::get_if<state::TurnTimedOut>(&event))
                this->context.refuse(*call, late->error, shortRetryMs);
            else
                this->decide(*call, now);
        }
    }
}

void Turns::tick(core::TimePoint now)
{
    this->handle(this->context.turns.tick(now), now);
    const bool storeDown = !this->context.durable.storeAvailable();
    const auto due = this->context.calls.select([&](const Call& call) {
        const bool released = storeDown && call.phase == CallPhase::AwaitsRecords && call.awaitsEndpointOnly;
        return call.model() != nullptr && (call.due <= now || released);
    });
    for (const auto id : due) {
        auto* call = this->context.calls.find(id);
        if (call == nullptr)
            continue;
        if (call->phase == CallPhase::Recording)
            this->close(*call, "pending", now);
        else if (call->phase == CallPhase::AwaitsRecords && storeDown && call->awaitsEndpointOnly)
            this->send(*call);
        else if (call->phase == CallPhase::AwaitsRecords)
            this->fail(*call, { ResultCode::StoreUnavailable, "the store did not answer in time" }, now);
    }
}

void Turns::onProgramEnded(const core::ProgramKey& program, core::TimePoint now)
{
    const core::Error ended(ResultCode::ProgramEnded, "the program has ended");
    const auto unanswered = this->context.calls.select([&](const Call& call) {
        return call.model() != nullptr && call.program == program
            && (call.phase == CallPhase::Running || call.phase == CallPhase::AwaitsRecords
                || call.phase == CallPhase::Queued);
    });
    for (const auto id : unanswered) {
        auto& call = *this->context.calls.find(id);
        if (call.phase == CallPhase::Running) {
            call.mayHaveRun = true;
            this->context.effects.push_back(
                CancelGeneration { call.attempt, call.endpoint, call.requestId + "." + std::to_string(call.attempts) });
        }
        this->fail(call, ended, now, 0);
    }
    this->handle(this->context.turns.removeProgram(program, ended), now);
}

void Turns::onPartitionDropped(Call& call, core::TimePoint now)
{
    this->context.dispatch.cancel(call.id, now);
    if (call.phase == CallPhase::Recording) {
        // The answer is complete; only its record is in doubt.
        this->close(call, "uncommitted", now);
        return;
    }
    const bool started = call.attempts > 0;
    if (call.phase == CallPhase::Running) {
        this->context.effects.push_back(
            CancelGeneration { call.attempt, call.endpoint, call.requestId + "." + std::to_string(call.attempts) });
    }
    const auto ran = started ? core::RunState::MayHaveRun : core::RunState::NotRun;
    this->context.refuse(call, { ResultCode::OwnerChanged, "the program has another owner now", ran }, shortRetryMs);
}

} // namespace lagoontiller::control
