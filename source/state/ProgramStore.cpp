#include "state/ProgramStore.h"

#include "state/Partitions.h"
#include "state/impl/SnapshotEncoder.h"

#include <algorithm>

namespace lagoontiller::state {

namespace {

// Estimated memory of a map entry besides its text: the node and the headers.
constexpr std::size_t entryOverheadBytes = 128;

std::size_t sizeOf(const StoredTurn& turn)
{
    return entryOverheadBytes + turn.digest.size() + turn.messages.size() + turn.answer.size() + turn.requestId.size()
        + turn.endpoint.size();
}

std::size_t sizeOf(const StoredCall& call)
{
    return entryOverheadBytes + 2 * call.key.size() + call.digest.size() + call.service.size() + call.path.size()
        + call.requestId.size() + call.contentType.size() + call.body.size();
}

std::size_t sizeOf(const core::ProgramKey& key, const ProgramState& program)
{
    auto total = 2 * entryOverheadBytes + key.customer.size() + key.program.size();
    for (const auto& [number, turn] : program.turns) {
        total += sizeOf(turn);
    }
    for (const auto& [name, call] : program.calls) {
        total += sizeOf(call);
    }
    for (const auto& endpoint : program.endpointsUsed) {
        total += entryOverheadBytes + endpoint.size();
    }
    return total;
}

CallOutcome outcomeOf(const records::CallFinished& record)
{
    if (record.not_run()) {
        return CallOutcome::NotRun;
    }
    return record.outcome_unknown() ? CallOutcome::Unknown : CallOutcome::Finished;
}

// Whether the record replaces the stored call. A result replaces the open intent of the same request, and a late result
// replaces an unknown outcome. A call that did not run is replaced by a later request with the same key.
bool replaces(const StoredCall& call, const records::CallFinished& record)
{
    const bool same = call.requestId == record.request_id();
    switch (call.outcome) {
    case CallOutcome::Intended:
        return same;
    case CallOutcome::Unknown:
        return same && outcomeOf(record) == CallOutcome::Finished;
    case CallOutcome::NotRun:
        return !same;
    case CallOutcome::Finished:
        return false;
    }
    return false;
}

} // namespace

std::uint32_t ProgramState::lastContiguousTurn() const noexcept
{
    std::uint32_t last = 0;
    for (const auto& [number, turn] : this->turns) {
        if (number != last + 1) {
            break;
        }
        last = number;
    }
    return last;
}

void ProgramStore::apply(const records::Entry& entry)
{
    const core::ProgramKey key(entry.customer(), entry.program());
    if (entry.has_budget_reserved()) {
        auto& budget = this->budgets[rootOf(key)];
        budget.reservedTokens = std::max<std::uint64_t>(budget.reservedTokens, entry.budget_reserved().total_tokens());
        return;
    }
    const auto [position, added] = this->programs.try_emplace(key);
    auto& program = position->second;
    if (added) {
        this->totalBytes += sizeOf(key, program);
    }
    switch (entry.body_case()) {
    case records::Entry::kProgramOpened:
        if (!program.opened) {
            program.opened = true;
            program.programClass = entry.program_opened().program_class();
            program.documentVersion = entry.program_opened().document_version();
            program.openedUnixMs = entry.program_opened().opened_unix_ms();
        }
        break;
    case records::Entry::kEndpointUsed:
        this->applyEndpointUsed(program, entry.endpoint_used().endpoint());
        break;
    case records::Entry::kTurnFinished:
        this->applyTurnFinished(key, program, entry.turn_finished());
        break;
    case records::Entry::kCallIntent:
        this->applyCallIntent(key, program, entry.call_intent());
        break;
    case records::Entry::kCallFinished:
        this->applyCallFinished(key, program, entry.call_finished());
        break;
    case records::Entry::kProgramEnded:
        this->applyProgramEnded(program, entry.program_ended());
        break;
    case records::Entry::kReleaseConfirmed:
        program.openReleases.erase(entry.release_confirmed().endpoint());
        break;
    case records::Entry::kBudgetReserved:
    case records::Entry::BODY_NOT_SET:
        break;
    }
}

void ProgramStore::applyTurnFinished(
    const core::ProgramKey& key, ProgramState& program, const records::TurnFinished& record)
{
    if (program.turns.contains(record.turn())) {
        return;
    }
    StoredTurn turn { .turn = record.turn(),
        .digest = record.digest(),
        .messages = record.messages(),
        .answer = record.answer(),
        .usage = { record.usage().prompt_tokens(), record.usage().completion_tokens(), record.usage().cached_tokens() },
        .requestId = record.request_id(),
        .attempt = record.attempt(),
        .endpoint = record.endpoint(),
        .replacesHistory = record.replaces_history() };
    auto& budget = this->budgets[rootOf(key)];
    budget.usedTokens += turn.usage.chargedTokens();
    budget.turns += 1;
    this->totalBytes += sizeOf(turn);
    program.turns.emplace(record.turn(), std::move(turn));
}

void ProgramStore::applyCallIntent(
    const core::ProgramKey& key, ProgramState& program, const records::CallIntent& record)
{
    const auto found = program.calls.find(record.key());
    if (found != program.calls.end()) {
        const auto& known = found->second;
        if (known.outcome != CallOutcome::NotRun || known.requestId == record.request_id()) {
            return;
        }
        this->totalBytes -= sizeOf(known);
        program.calls.erase(found);
    } else {
        this->budgets[rootOf(key)].calls += 1;
    }
    StoredCall call;
    call.key = record.key();
    call.digest = record.digest();
    call.service = record.service();
    call.path = record.path();
    call.requestId = record.request_id();
    call.hasIntent = true;
    this->totalBytes += sizeOf(call);
    program.calls.emplace(record.key(), std::move(call));
}

void ProgramStore::applyCallFinished(
    const core::ProgramKey& key, ProgramState& program, const records::CallFinished& record)
{
    const auto [position, added] = program.calls.try_emplace(record.key());
    auto& call = position->second;
    if (added) {
        this->budgets[rootOf(key)].calls += 1;
        call.key = record.key();
    } else if (!replaces(call, record)) {
        return;
    } else {
        this->totalBytes -= sizeOf(call);
    }
    if (call.requestId != record.request_id()) {
        call.hasIntent = false;
        call.service.clear();
        call.path.clear();
    }
    call.requestId = record.request_id();
    call.digest = record.digest();
    call.outcome = outcomeOf(record);
    call.status = record.status();
    call.contentType = record.content_type();
    call.body = record.body();
    this->totalBytes += sizeOf(call);
}

void ProgramStore::applyEndpointUsed(ProgramState& program, const std::string& endpoint)
{
    if (!program.endpointsUsed.insert(endpoint).second) {
        return;
    }
    this->totalBytes += entryOverheadBytes + endpoint.size();
    if (program.ended) {
        // Committed after the end of the program: this endpoint must release its memory as well.
        program.openReleases.insert(endpoint);
    }
}

void ProgramStore::applyProgramEnded(ProgramState& program, const records::ProgramEnded& record)
{
    if (program.ended) {
        return;
    }
    program.ended = true;
    program.endReason = record.reason();
    program.openReleases.insert(record.endpoints().begin(), record.endpoints().end());
}

const ProgramState* ProgramStore::find(const core::ProgramKey& program) const
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() ? nullptr : &found->second;
}

RootBudget ProgramStore::budgetOf(const core::ProgramKey& program) const
{
    const auto found = this->budgets.find(rootOf(program));
    return found == this->budgets.end() ? RootBudget {} : found->second;
}

std::vector<records::Entry> ProgramStore::snapshotEntries(core::PartitionId partition, core::Epoch epoch) const
{
    impl::SnapshotEncoder encoder(partition, epoch);
    for (const bool ended : { false, true }) {
        for (const auto& [key, program] : this->programs) {
            if (program.ended == ended) {
                encoder.add(key, program);
            }
        }
    }
    for (const auto& [root, budget] : this->budgets) {
        encoder.addBudget(root, budget);
    }
    return encoder.takeEntries();
}

bool ProgramStore::removeTree(const core::ProgramKey& root)
{
    std::vector<core::ProgramKey> tree;
    // The ids of all sub-agents start with the root id, so the keys of the tree are one range of the ordered map.
    for (auto position = this->programs.lower_bound(root); position != this->programs.end(); ++position) {
        const auto& [key, program] = *position;
        if (key.customer != root.customer || !key.program.starts_with(root.program)) {
            break;
        }
        if (rootOf(key) != root) {
            continue;
        }
        if (!program.ended || !program.openReleases.empty()) {
            return false;
        }
        tree.push_back(key);
    }
    for (const auto& key : tree) {
        this->totalBytes -= sizeOf(key, this->programs.at(key));
        this->programs.erase(key);
    }
    this->budgets.erase(root);
    return true;
}

} // namespace lagoontiller::state
