#include "state/impl/SnapshotEncoder.h"

namespace lagoontiller::state::impl {

records::Entry& SnapshotEncoder::addEntry(const core::ProgramKey& key)
{
    auto& entry = this->entries.emplace_back();
    entry.set_partition(this->partition);
    entry.set_epoch(this->epoch);
    entry.set_customer(key.customer);
    entry.set_program(key.program);
    return entry;
}

void SnapshotEncoder::add(const core::ProgramKey& key, const ProgramState& program)
{
    // An entry without a body creates the program when its opening is not recorded.
    if (!program.opened) {
        this->addEntry(key);
    } else {
        auto* opened = this->addEntry(key).mutable_program_opened();
        opened->set_program_class(program.programClass);
        opened->set_document_version(program.documentVersion);
        opened->set_opened_unix_ms(program.openedUnixMs);
    }
    for (const auto& endpoint : program.endpointsUsed) {
        this->addEntry(key).mutable_endpoint_used()->set_endpoint(endpoint);
    }
    for (const auto& [number, turn] : program.turns) {
        this->addTurn(key, turn);
    }
    for (const auto& [name, call] : program.calls) {
        this->addCall(key, call);
    }
    if (program.ended) {
        auto* ended = this->addEntry(key).mutable_program_ended();
        ended->set_reason(program.endReason);
        ended->mutable_endpoints()->Assign(program.openReleases.begin(), program.openReleases.end());
    }
}

void SnapshotEncoder::addBudget(const core::ProgramKey& root, const RootBudget& budget)
{
    this->addEntry(root).mutable_budget_reserved()->set_total_tokens(budget.reservedTokens);
}

void SnapshotEncoder::addTurn(const core::ProgramKey& key, const StoredTurn& turn)
{
    auto* record = this->addEntry(key).mutable_turn_finished();
    record->set_turn(turn.turn);
    record->set_digest(turn.digest);
    record->set_messages(turn.messages);
    record->set_answer(turn.answer);
    record->mutable_usage()->set_prompt_tokens(turn.usage.promptTokens);
    record->mutable_usage()->set_completion_tokens(turn.usage.completionTokens);
    record->mutable_usage()->set_cached_tokens(turn.usage.cachedTokens);
    record->set_request_id(turn.requestId);
    record->set_attempt(turn.attempt);
    record->set_endpoint(turn.endpoint);
    record->set_replaces_history(turn.replacesHistory);
}

void SnapshotEncoder::addCall(const core::ProgramKey& key, const StoredCall& call)
{
    if (call.hasIntent) {
        auto* intent = this->addEntry(key).mutable_call_intent();
        intent->set_key(call.key);
        intent->set_digest(call.digest);
        intent->set_service(call.service);
        intent->set_path(call.path);
        intent->set_request_id(call.requestId);
    }
    if (call.outcome == CallOutcome::Intended) {
        return;
    }
    auto* finished = this->addEntry(key).mutable_call_finished();
    finished->set_key(call.key);
    finished->set_digest(call.digest);
    finished->set_request_id(call.requestId);
    finished->set_status(call.status);
    finished->set_content_type(call.contentType);
    finished->set_body(call.body);
    finished->set_outcome_unknown(call.outcome == CallOutcome::Unknown);
    finished->set_not_run(call.outcome == CallOutcome::NotRun);
}

} // namespace lagoontiller::state::impl
