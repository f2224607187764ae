#include "control/ServiceCalls.h"

#include "control/Overloaded.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

using core::ResultCode;
using core::RunState;

// A late result is reported repeatedly, because the next owner may be unknown or still recovering the partition and
// messages may be lost. Recording it is idempotent.
constexpr auto reportInterval = std::chrono::seconds(5);
constexpr auto reportTimeout = std::chrono::seconds(60);

policy::FailureKind failureKindOf(const core::Error& error)
{
    if (error.ran == RunState::NotRun)
        return policy::FailureKind::ConnectionRefused;
    return error.code == ResultCode::EndpointTimeout ? policy::FailureKind::TimedOut : policy::FailureKind::Crashed;
}

} // namespace

void ServiceCalls::start(Call& call, core::TimePoint now)
{
    const auto* request = call.serviceCall();
    const auto* service = call.document->service(request->service);
    if (service == nullptr || service->kind == document::ServiceKind::Model) {
        this->context.refuse(
            call, { ResultCode::UnknownService, "no tool or plain service has the name " + request->service });
        return;
    }
    call.repeatable = service->mayRepeat(request->path) && request->identity.repeatable;
    call.callKey = request->identity.idempotencyKey.empty() ? call.requestId : request->identity.idempotencyKey;
    const state::CallRequest callRequest { call.program, call.callKey, request->digest, request->service, request->path,
        call.requestId, call.repeatable };
    const auto decision = this->context.callLedger.decide(
        callRequest, this->context.durable.find(call.program), this->context.durable.storeAvailable(), now);
    std::visit(Overloaded {
                   [&](const state::RunCall&) { this->enqueue(call, now); },
                   [&](const state::CommitIntent& intent) {
                       call.intent = intent.entry;
                       this->enqueue(call, now);
                   },
                   [&](const state::JoinCall& running) { this->join(call, running.requestId); },
                   [&](const state::ReplayCall& replay) {
                       call.serviceAnswer
                           = { static_cast<int>(replay.result.status), replay.result.contentType, replay.result.body };
                       this->respond(
                           call, this->context.durable.isPending(call.program) ? "pending" : "committed", now);
                   },
                   [&](const state::RefuseCall& refused) {
                       this->context.refuse(call, refused.error, suggestedRetryAfterMs(refused.error.code));
                   },
               },
        decision);
}

void ServiceCalls::enqueue(Call& call, core::TimePoint now)
{
    auto entries = openProgram(this->context, call, now);
    if (!entries) {
        this->failAndRecord(call, entries.error(), now, 0);
        return;
    }
    const auto decision = this->context.budgetLedger.reserve(call.program, 0, state::WorkKind::Call, now);
    if (const auto* refused = std::get_if<state::BudgetRefused>(&decision)) {
        this->failAndRecord(call, refused->error, now, 0);
        return;
    }
    if (const auto* spend = std::get_if<state::BudgetGranted>(&decision))
        call.reservation = spend->reservation;
    call.startEntries = std::move(*entries);
    call.phase = CallPhase::Queued;
    const auto admitted = this->context.dispatcher.enqueue(call, this->dispatchRequest(call), now);
    if (!admitted)
        this->failAndRecord(call, admitted.error().error, now, toRetryAfterMs(admitted.error().retryAfter));
}

DispatchRequest ServiceCalls::dispatchRequest(const Call& call) const
{
    const auto* request = call.serviceCall();
    DispatchRequest result;
    result.service = request->service;
    result.requestBytes = request->body.size();
    result.repeatable = call.repeatable;
    result.digest = request->digest;
    result.deadline = call.arrived + this->context.settings.queueTimeout;
    const auto* programClass = programClassOf(this->context, call);
    result.priority = programClass == nullptr ? 0 : static_cast<int>(programClass->priority);
    const auto* program = this->context.durable.find(call.program);
    result.programStarted = program != nullptr && !program->turns.empty();
    return result;
}

void ServiceCalls::onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now)
{
    this->context.calls.setAttempt(call, assigned.attempt);
    call.destination = assigned.destination;
    call.timeout = assigned.timeout;
    auto entries = std::exchange(call.startEntries, {});
    if (!call.intent) {
        // A repeatable call is sent without waiting for the record that opens its program.
        if (!entries.empty())
            static_cast<void>(this->context.durable.append(call.program, std::move(entries), NoContinuation {}, now));
        this->send(call);
        return;
    }
    if (!this->context.durable.storeAvailable()) {
        const core::Error error(ResultCode::StoreUnavailable, "the intent cannot be recorded while the store is down");
        this->failAndRecord(call, error, now, shortRetryAfterMs);
        return;
    }
    entries.push_back(*call.intent);
    const auto appended
        = this->context.durable.append(call.program, std::move(entries), IntentRecorded { call.id }, now);
    if (!appended) {
        this->failAndRecord(call, appended.error(), now, shortRetryAfterMs);
        return;
    }
    call.intent.reset();
    call.phase = CallPhase::AwaitsRecords;
    call.due = now + this->context.settings.startRecordTimeout;
}

void ServiceCalls::onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now)
{
    this->failAndRecord(call, dropped.error, now, toRetryAfterMs(dropped.retryAfter));
}

void ServiceCalls::onIntentRecorded(
    Call& call, const std::optional<core::Error>& error, core::TimePoint firstSent, core::TimePoint now)
{
    if (call.phase != CallPhase::AwaitsRecords)
        return;
    if (error) {
        this->context.callLedger.onIntentRejected(call.program, call.callKey);
        this->fail(call, *error, now);
        return;
    }
    const auto decision = this->context.callLedger.onIntentCommitted(call.program, call.callKey, firstSent, now);
    if (const auto* refused = std::get_if<state::RefuseCall>(&decision)) {
        this->fail(call, refused->error, now, 0);
        return;
    }
    this->send(call);
}

void ServiceCalls::send(Call& call)
{
    const auto* request = call.serviceCall();
    ++call.attemptCount;
    call.phase = CallPhase::Running;
    call.endpoint = call.destination.address;
    services::ServiceRequest outgoing;
    outgoing.endpoint = call.endpoint;
    outgoing.path = request->path;
    outgoing.contentType = request->contentType;
    outgoing.body = request->body;
    outgoing.requestId = call.requestId + "." + std::to_string(call.attemptCount);
    outgoing.idempotencyKey = call.callKey;
    outgoing.repeatable = call.repeatable;
    // The estimated timeout is used for repeatable calls only. If it is too short, a repeatable call is repeated, but
    // the outcome of a non-repeatable one would remain unknown.
    const auto limit = std::chrono::milliseconds(call.document->service(request->service)->timeoutMs);
    outgoing.timeout = call.repeatable ? std::min<core::Duration>(call.timeout, limit) : core::Duration(limit);
    this->context.effects.push_back(CallService { call.attempt, std::move(outgoing) });
}

void ServiceCalls::onFinished(const ServiceFinished& event, core::TimePoint now)
{
    policy::AttemptOutcome outcome;
    if (event.answer) {
        this->context.dispatcher.onFinished(event.attempt, {}, now);
    } else {
        const auto& error = event.answer.error();
        outcome = this->context.dispatcher.onFailed(event.attempt, failureKindOf(error), error.ran, now);
    }
    if (outcome.notice)
        this->context.effects.push_back(BroadcastPoisonNotice { *outcome.notice });
    auto* call = this->context.calls.findByAttempt(event.attempt);
    if (call == nullptr || call->phase != CallPhase::Running)
        return;
    if (event.answer)
        this->onAnswer(*call, *event.answer, now);
    else
        this->onFailure(*call, event.answer.error(), outcome, now);
}

void ServiceCalls::onAnswer(Call& call, services::ServiceResponse answer, core::TimePoint now)
{
    call.serviceAnswer = std::move(answer);
    this->context.budgetLedger.settle(call.program, call.reservation, 0);
    if (call.partitionLost) {
        this->reportLateResult(call, now);
        this->respond(call, "pending", now);
        return;
    }
    const state::CallResult result { static_cast<std::uint32_t>(call.serviceAnswer.status),
        call.serviceAnswer.contentType, call.serviceAnswer.body };
    const bool withoutKey = call.repeatable && call.serviceCall()->identity.idempotencyKey.empty();
    if (withoutKey) {
        // Without an idempotency key the result cannot be requested again. The record preserves the number of calls
        // across a takeover.
        auto entry = this->context.callLedger.onResult(call.program, call.callKey, result);
        if (entry) {
            entry->mutable_call_finished()->clear_body();
            static_cast<void>(this->context.durable.append(call.program, { *entry }, NoContinuation {}, now));
        }
        this->context.callLedger.onRecorded(call.program, call.callKey);
        this->respond(call, "", now);
        return;
    }
    this->recordResult(call, this->context.callLedger.onResult(call.program, call.callKey, result), now);
}

void ServiceCalls::recordResult(Call& call, std::optional<records::Entry> entry, core::TimePoint now)
{
    call.phase = CallPhase::Recording;
    call.due = now + this->context.settings.commitTimeout;
    if (!entry) {
        this->context.callLedger.onRecorded(call.program, call.callKey);
        this->respond(call, "committed", now);
        return;
    }
    const auto appended = this->context.durable.append(call.program, { *entry }, ResultRecorded { call.id }, now);
    if (!appended) {
        this->context.callLedger.onRecorded(call.program, call.callKey);
        this->respond(call, "uncommitted", now);
    }
}

void ServiceCalls::onFailure(
    Call& call, const core::Error& error, const policy::AttemptOutcome& outcome, core::TimePoint now)
{
    core::logWarning("attempt_failed")
        .with("request", call.requestId)
        .with("endpoint", call.endpoint)
        .with("name", core::name(error.code))
        .with("ran", core::name(error.ran))
        .with("message", error.message);
    call.mayHaveRun = call.mayHaveRun || error.ran != RunState::NotRun;
    if (call.partitionLost) {
        this->fail(call, error, now, 0);
        return;
    }
    if (outcome.retryAt && (call.repeatable || error.ran == RunState::NotRun)) {
        call.phase = CallPhase::Queued;
        return;
    }
    this->failAndRecord(
        call, outcome.error.value_or(error), now, error.ran == RunState::NotRun ? shortRetryAfterMs : 0);
}

void ServiceCalls::failAndRecord(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs)
{
    auto& ledger = this->context.callLedger;
    auto refusal = error;
    if (call.attemptCount == 0 && call.intent) {
        ledger.onIntentRejected(call.program, call.callKey);
    } else if (call.repeatable) {
        ledger.onRecorded(call.program, call.callKey);
    } else {
        const bool notRun = error.ran == RunState::NotRun && !call.mayHaveRun;
        const auto entry
            = notRun ? ledger.onNotSent(call.program, call.callKey) : ledger.onUnknown(call.program, call.callKey);
        if (entry)
            static_cast<void>(this->context.durable.append(call.program, { *entry }, NoContinuation {}, now));
        ledger.onRecorded(call.program, call.callKey);
        if (!notRun) {
            refusal = { ResultCode::OutcomeUnknown, "the call may have run and is not sent again: " + error.message,
                RunState::MayHaveRun };
        }
    }
    this->fail(call, refusal, now, retryAfterMs);
}

void ServiceCalls::onResultRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now)
{
    this->context.callLedger.onRecorded(call.program, call.callKey);
    this->respond(call, error ? "uncommitted" : "committed", now);
}

void ServiceCalls::respond(Call& call, const std::string& commitState, core::TimePoint now)
{
    auto joined = call.joinedCalls;
    joined.push_back(call.id);
    const auto answer = call.serviceAnswer;
    for (const auto id : joined) {
        auto* each = this->context.calls.find(id);
        if (each == nullptr)
            continue;
        this->context.observeCompletion(*each, commitState.empty() ? "answered" : commitState, now);
        http::Headers headers { { "X-Request-Id", each->requestId } };
        if (!answer.contentType.empty())
            headers.push_back({ "Content-Type", answer.contentType });
        if (!commitState.empty())
            headers.push_back({ "X-Commit-State", commitState });
        this->context.answer(*each, answer.status, std::move(headers), answer.body);
    }
}

void ServiceCalls::fail(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs)
{
    this->context.dispatcher.cancel(call.id, now);
    if (call.reservation != 0 && error.ran == RunState::NotRun && !call.mayHaveRun)
        this->context.budgetLedger.cancel(call.program, call.reservation);
    else if (call.reservation != 0)
        this->context.budgetLedger.settle(call.program, call.reservation, 0);
    this->context.observeCompletion(call, "failed", now);
    this->context.refuse(call, error, retryAfterMs);
}

void ServiceCalls::join(Call& call, const std::string& runningRequestId)
{
    const auto matches = this->context.calls.select(
        [&](const Call& other) { return other.requestId == runningRequestId && other.id != call.id; });
    if (matches.empty()) {
        this->context.refuse(
            call, { ResultCode::CallInProgress, "the call is running", RunState::MayHaveRun }, shortRetryAfterMs);
        return;
    }
    this->context.calls.find(matches.front())->joinedCalls.push_back(call.id);
    call.phase = CallPhase::Joined;
}

void ServiceCalls::tick(core::TimePoint now)
{
    this->sendLateResults(now);
    const auto due = this->context.calls.select(
        [&](const Call& call) { return call.serviceCall() != nullptr && call.due <= now; });
    for (const auto id : due) {
        auto* call = this->context.calls.find(id);
        if (call == nullptr)
            continue;
        if (call->phase == CallPhase::Recording) {
            // The record stays queued. Identical calls that arrive later find the result in the program's state.
            this->context.callLedger.onRecorded(call->program, call->callKey);
            this->respond(*call, "pending", now);
        } else if (call->phase == CallPhase::AwaitsRecords) {
            this->abandonIntent(*call, now);
            this->fail(*call, { ResultCode::StoreUnavailable, "the intent could not be recorded in time" }, now);
        }
    }
}

void ServiceCalls::abandonIntent(Call& call, core::TimePoint now)
{
    const auto entry = this->context.callLedger.abandon(call.program, call.callKey);
    if (!entry)
        return;
    // The key can be used again once the record is settled. If the record cannot be appended, the intent itself
    // prevents the call from running.
    const auto appended
        = this->context.durable.append(call.program, { *entry }, AbandonRecorded { call.program, call.callKey }, now);
    if (!appended)
        this->context.callLedger.onRecorded(call.program, call.callKey);
}

void ServiceCalls::onPartitionDropped(Call& call, core::TimePoint now)
{
    if (call.phase == CallPhase::Recording) {
        if (!call.repeatable)
            this->reportLateResult(call, now);
        this->respond(call, "uncommitted", now);
        return;
    }
    if (call.phase == CallPhase::Running && !call.repeatable) {
        // The call has been sent. Its answer is still returned to the caller, and reported to the new owner, which
        // records it.
        call.partitionLost = true;
        return;
    }
    this->context.dispatcher.cancel(call.id, now);
    const bool mayHaveRun = call.attemptCount > 0;
    const auto ran = mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
    this->context.refuse(
        call, { ResultCode::OwnerChanged, "the program has another owner now", ran }, shortRetryAfterMs);
}

void ServiceCalls::reportLateResult(const Call& call, core::TimePoint now)
{
    const auto& answer = call.serviceAnswer;
    LateResult late { {}, now, now + reportTimeout };
    late.report.set_partition(call.partition);
    late.report.set_customer(call.program.customer);
    late.report.set_program(call.program.program);
    late.report.set_key(call.callKey);
    late.report.set_digest(call.serviceCall()->digest);
    late.report.set_request_id(call.requestId);
    late.report.set_status(static_cast<std::uint32_t>(answer.status));
    late.report.set_content_type(answer.contentType);
    late.report.set_body(answer.body);
    this->lateResults.push_back(std::move(late));
    this->sendLateResults(now);
}

void ServiceCalls::sendLateResults(core::TimePoint now)
{
    for (auto& late : this->lateResults) {
        if (late.nextReport > now)
            continue;
        late.nextReport = now + reportInterval;
        const auto owner = this->context.durable.ownerOf(late.report.partition());
        if (this->context.durable.serves(late.report.partition())) {
            this->onOutcomeReported(late.report, now);
        } else if (!owner.empty() && owner != this->context.settings.node) {
            SendToNode message { owner, {} };
            *message.envelope.mutable_outcome_report() = late.report;
            this->context.effects.push_back(std::move(message));
        }
    }
    std::erase_if(this->lateResults, [now](const LateResult& late) { return late.expires <= now; });
}

void ServiceCalls::onOutcomeReported(const nodes::wire::OutcomeReport& report, core::TimePoint now)
{
    const core::ProgramKey program { report.customer(), report.program() };
    const auto partition = this->context.durable.partitionOf(program);
    if (!this->context.durable.serves(partition))
        return;
    const state::CallResult result { report.status(), report.content_type(), report.body() };
    const auto entry = state::CallLedger::lateResult(
        program, this->context.durable.find(program), report.key(), report.request_id(), result);
    if (entry)
        static_cast<void>(this->context.durable.append(program, { *entry }, NoContinuation {}, now));
}

void ServiceCalls::fetchResult(Call& call)
{
    const auto& fetchCall = std::get<callers::FetchCall>(call.operation);
    const auto* program = this->context.durable.find(call.program);
    if (program == nullptr || !program->calls.contains(fetchCall.key)) {
        this->context.refuse(call, { ResultCode::UnknownCall, "no call with this key is recorded" });
        return;
    }
    const auto& stored = program->calls.at(fetchCall.key);
    const std::string commitState = this->context.durable.isPending(call.program) ? "pending" : "committed";
    switch (stored.outcome) {
    case state::CallOutcome::Finished:
        this->context.answer(call, static_cast<int>(stored.status),
            { { "X-Commit-State", commitState }, { "Content-Type", stored.contentType },
                { "X-Request-Id", stored.requestId } },
            stored.body);
        return;
    case state::CallOutcome::NotRun:
        this->context.refuse(call, { ResultCode::UnknownCall, "the call did not run" });
        return;
    case state::CallOutcome::Intended:
        if (this->context.callLedger.isRunning(call.program, fetchCall.key)) {
            this->context.refuse(
                call, { ResultCode::CallInProgress, "the call is running", RunState::MayHaveRun }, shortRetryAfterMs);
            return;
        }
        [[fallthrough]];
    case state::CallOutcome::Unknown:
        this->context.refuse(call, { ResultCode::OutcomeUnknown, "the call may have run", RunState::MayHaveRun });
        return;
    }
}

} // namespace lagoontiller::control
