#include "state/CallLedger.h"

#include <algorithm>

namespace lagoontiller::state {

namespace {

records::Entry entryFor(const core::ProgramKey& program)
{
    records::Entry entry;
    entry.set_customer(program.customer);
    entry.set_program(program.program);
    return entry;
}

RefuseCall refuse(core::ResultCode code, std::string message, core::RunState ran = core::RunState::NotRun)
{
    return { core::Error(code, std::move(message), ran) };
}

RefuseCall outcomeUnknown()
{
    return refuse(core::ResultCode::OutcomeUnknown, "the call may have been sent and its result is not recorded",
        core::RunState::MayHaveRun);
}

RefuseCall keyReused()
{
    return refuse(core::ResultCode::KeyReused, "the idempotency key was used with another body");
}

records::CallFinished toRecord(const CallResult& result)
{
    records::CallFinished record;
    record.set_status(result.status);
    record.set_content_type(result.contentType);
    record.set_body(result.body);
    return record;
}

// Decision from the record of an earlier call with the same key; empty when the call may run.
std::optional<CallDecision> decideFromRecord(const CallRequest& request, const StoredCall& call)
{
    if (call.digest != request.digest) {
        return keyReused();
    }
    switch (call.outcome) {
    case CallOutcome::Finished:
        return ReplayCall { { call.status, call.contentType, call.body } };
    case CallOutcome::Intended:
    case CallOutcome::Unknown:
        return outcomeUnknown();
    case CallOutcome::NotRun:
        break;
    }
    return std::nullopt;
}

records::Entry intentOf(const CallRequest& request)
{
    auto entry = entryFor(request.program);
    auto* intent = entry.mutable_call_intent();
    intent->set_key(request.key);
    intent->set_digest(request.digest);
    intent->set_service(request.service);
    intent->set_path(request.path);
    intent->set_request_id(request.requestId);
    return entry;
}

} // namespace

void CallLedger::onControlLoop(core::TimePoint now)
{
    if (this->lastLoopAt && now - *this->lastLoopAt > maxLoopGap) {
        this->lastGapEndAt = now;
    }
    this->lastLoopAt = now;
}

CallDecision CallLedger::decide(
    const CallRequest& request, const ProgramState* program, bool storeAvailable, core::TimePoint now)
{
    this->onControlLoop(now);
    if (auto decision = this->decideFromRunning(request)) {
        return *decision;
    }
    if (program != nullptr) {
        const auto found = program->calls.find(request.key);
        if (found != program->calls.end()) {
            if (auto decision = decideFromRecord(request, found->second)) {
                return *decision;
            }
        }
        if (program->ended) {
            return refuse(core::ResultCode::ProgramEnded, "the program has ended");
        }
    }
    if (!request.repeatable && !storeAvailable) {
        return refuse(core::ResultCode::StoreUnavailable, "the intent cannot be recorded while the store is down");
    }
    const auto phase = request.repeatable ? Phase::Repeatable : Phase::AwaitingIntent;
    this->runningCalls[{ request.program, request.key }] = { phase, request.digest, request.requestId };
    if (request.repeatable) {
        return RunCall {};
    }
    return CommitIntent { intentOf(request) };
}

std::optional<CallDecision> CallLedger::decideFromRunning(const CallRequest& request) const
{
    const auto found = this->runningCalls.find({ request.program, request.key });
    if (found == this->runningCalls.end()) {
        return std::nullopt;
    }
    if (found->second.digest != request.digest) {
        return keyReused();
    }
    if (found->second.phase == Phase::Abandoned) {
        return refuse(
            core::ResultCode::CallInProgress, "the record of an abandoned call with this key is not committed yet");
    }
    return JoinCall { found->second.requestId };
}

SendDecision CallLedger::onIntentCommitted(
    const core::ProgramKey& program, const std::string& key, core::TimePoint firstSent, core::TimePoint now)
{
    this->onControlLoop(now);
    const auto found = this->runningCalls.find({ program, key });
    if (found == this->runningCalls.end()) {
        return outcomeUnknown();
    }
    auto& call = found->second;
    if (call.phase == Phase::Abandoned) {
        return refuse(core::ResultCode::DeadlineExceeded, "the call was abandoned before its intent was recorded");
    }
    if (call.phase != Phase::AwaitingIntent) {
        return outcomeUnknown();
    }
    if (this->lastGapEndAt && *this->lastGapEndAt > firstSent) {
        this->runningCalls.erase(found);
        return outcomeUnknown();
    }
    call.phase = Phase::Sent;
    return SendCall {};
}

void CallLedger::onIntentRejected(const core::ProgramKey& program, const std::string& key)
{
    this->runningCalls.erase({ program, key });
}

std::optional<records::Entry> CallLedger::abandon(const core::ProgramKey& program, const std::string& key)
{
    const auto found = this->runningCalls.find({ program, key });
    if (found == this->runningCalls.end() || found->second.phase != Phase::AwaitingIntent) {
        return std::nullopt;
    }
    found->second.phase = Phase::Abandoned;
    auto entry = entryFor(program);
    auto* record = entry.mutable_call_finished();
    record->set_key(key);
    record->set_digest(found->second.digest);
    record->set_request_id(found->second.requestId);
    record->set_not_run(true);
    return entry;
}

std::optional<records::Entry> CallLedger::onResult(
    const core::ProgramKey& program, const std::string& key, const CallResult& result)
{
    return this->finish(program, key, { Phase::Repeatable, Phase::Sent }, toRecord(result));
}

std::optional<records::Entry> CallLedger::onNotSent(const core::ProgramKey& program, const std::string& key)
{
    records::CallFinished record;
    record.set_not_run(true);
    return this->finish(program, key, { Phase::Sent }, record);
}

std::optional<records::Entry> CallLedger::onUnknown(const core::ProgramKey& program, const std::string& key)
{
    records::CallFinished record;
    record.set_outcome_unknown(true);
    return this->finish(program, key, { Phase::Sent }, record);
}

std::optional<records::Entry> CallLedger::finish(const core::ProgramKey& program, const std::string& key,
    std::initializer_list<Phase> allowedPhases, const records::CallFinished& record)
{
    const auto found = this->runningCalls.find({ program, key });
    if (found == this->runningCalls.end()
        || std::ranges::find(allowedPhases, found->second.phase) == allowedPhases.end()) {
        return std::nullopt;
    }
    found->second.phase = Phase::Finished;
    auto entry = entryFor(program);
    auto& finished = *entry.mutable_call_finished();
    finished = record;
    finished.set_key(key);
    finished.set_digest(found->second.digest);
    finished.set_request_id(found->second.requestId);
    return entry;
}

void CallLedger::onRecorded(const core::ProgramKey& program, const std::string& key)
{
    this->runningCalls.erase({ program, key });
}

std::optional<records::Entry> CallLedger::lateResult(const core::ProgramKey& program, const ProgramState* state,
    const std::string& key, const std::string& requestId, const CallResult& result)
{
    if (state == nullptr) {
        return std::nullopt;
    }
    const auto found = state->calls.find(key);
    if (found == state->calls.end() || found->second.requestId != requestId) {
        return std::nullopt;
    }
    const auto& call = found->second;
    if (call.outcome != CallOutcome::Intended && call.outcome != CallOutcome::Unknown) {
        return std::nullopt;
    }
    auto entry = entryFor(program);
    auto& finished = *entry.mutable_call_finished();
    finished = toRecord(result);
    finished.set_key(key);
    finished.set_digest(call.digest);
    finished.set_request_id(requestId);
    return entry;
}

void CallLedger::removeProgram(const core::ProgramKey& program)
{
    std::erase_if(this->runningCalls, [&program](const auto& item) { return item.first.first == program; });
}

bool CallLedger::isRunning(const core::ProgramKey& program, const std::string& key) const
{
    return this->runningCalls.contains({ program, key });
}

} // namespace lagoontiller::state
