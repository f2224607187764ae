#include "control/ProgramLifecycle.h"

#include "core/Log.h"

namespace lagoontiller::control {

namespace {

using core::ResultCode;
using nlohmann::json;

constexpr auto minReleaseRetryDelay = std::chrono::milliseconds(200);
constexpr auto maxReleaseRetryDelay = std::chrono::seconds(30);
constexpr auto expiryCheckInterval = std::chrono::seconds(1);
// Ended programs remain readable for callers that lost their connection shortly before the end.
constexpr auto endedProgramRetention = std::chrono::minutes(10);

/// \brief Keys of the program and of all its sub-agents, as far as they are in the store.
std::vector<core::ProgramKey> programTree(const state::ProgramStore& store, const core::ProgramKey& program)
{
    std::vector<core::ProgramKey> result;
    const auto prefix = program.program + "~";
    for (auto each = store.all().lower_bound(program); each != store.all().end(); ++each) {
        const bool same = each->first == program;
        const bool below = each->first.customer == program.customer && each->first.program.starts_with(prefix);
        if (!same && each->first.customer != program.customer)
            break;
        if (same || below)
            result.push_back(each->first);
        else if (each->first.program > prefix + "\x7F")
            break;
    }
    return result;
}

} // namespace

void ProgramLifecycle::showStatus(Call& call)
{
    const auto* program = this->context.durable.find(call.program);
    if (program == nullptr) {
        this->context.refuse(call, { ResultCode::UnknownProgram, "the program is not known" });
        return;
    }
    const auto budget = this->context.durable.budgetOf(call.program);
    const json body { { "program", call.program.program }, { "class", program->programClass },
        { "turns", program->turns.size() }, { "last_turn", program->lastContiguousTurn() },
        { "calls", program->calls.size() }, { "ended", program->ended }, { "end_reason", program->endReason },
        { "reserved_tokens", budget.reservedTokens }, { "used_tokens", budget.usedTokens },
        { "releases_open", program->openReleases.size() },
        { "pending", this->context.durable.isPending(call.program) } };
    this->context.answer(call, 200, {}, body.dump());
}

void ProgramLifecycle::fetchTurn(Call& call)
{
    const auto turn = std::get<callers::FetchTurn>(call.operation).turn;
    const auto* program = this->context.durable.find(call.program);
    if (program == nullptr) {
        this->context.refuse(call, { ResultCode::UnknownProgram, "the program is not known" });
        return;
    }
    const auto stored = program->turns.find(turn);
    if (stored == program->turns.end()) {
        this->context.refuse(
            call, { ResultCode::UnknownTurn, "no answer is recorded for the turn" }, shortRetryAfterMs);
        return;
    }
    const std::string commitState = this->context.durable.isPending(call.program) ? "pending" : "committed";
    this->context.answer(call, 200,
        { { "X-Turn", std::to_string(turn) }, { "X-Commit-State", commitState },
            { "X-Request-Id", stored->second.requestId } },
        stored->second.answer);
}

void ProgramLifecycle::endProgram(Call& call, core::TimePoint now)
{
    const auto* program = this->context.durable.find(call.program);
    if (program == nullptr) {
        this->context.refuse(call, { ResultCode::UnknownProgram, "the program is not known" });
        return;
    }
    if (program->ended) {
        this->context.answer(call, 200, {}, R"({"ended":true})");
        return;
    }
    call.phase = CallPhase::Recording;
    call.due = now + this->context.settings.commitTimeout;
    const auto recorded
        = this->recordEnd(call.program, "ended by the caller", EndRecorded { call.id, call.program }, now);
    if (!recorded)
        this->context.refuse(call, recorded.error(), shortRetryAfterMs);
}

core::Expected<void> ProgramLifecycle::recordEnd(
    const core::ProgramKey& program, const std::string& reason, Continuation continuation, core::TimePoint now)
{
    const auto* store = this->context.durable.programStore(this->context.durable.partitionOf(program));
    if (store == nullptr)
        return core::failure(ResultCode::OwnerChanged, "this node does not own the program");
    const auto tree = programTree(*store, program);
    std::vector<records::Entry> entries;
    entries.reserve(tree.size());
    for (const auto& key : tree) {
        const auto* state = store->find(key);
        if (state->ended)
            continue;
        auto& entry = entries.emplace_back();
        entry.set_customer(key.customer);
        entry.set_program(key.program);
        entry.mutable_program_ended()->set_reason(reason);
        for (const auto& endpoint : this->endpointsHoldingCache(key, *state))
            entry.mutable_program_ended()->add_endpoints(endpoint);
    }
    std::vector<core::ProgramKey> keys;
    keys.reserve(entries.size());
    for (const auto& entry : entries)
        keys.push_back({ entry.customer(), entry.program() });
    auto appended = this->context.durable.append(program, std::move(entries), std::move(continuation), now);
    if (appended)
        this->endedPrograms.insert(this->endedPrograms.end(), keys.begin(), keys.end());
    return appended;
}

void ProgramLifecycle::onEndRecorded(
    const EndRecorded& recorded, const std::optional<core::Error>& error, core::TimePoint now)
{
    if (auto* call = this->context.calls.find(recorded.call)) {
        if (error)
            this->context.refuse(*call, *error, shortRetryAfterMs);
        else
            this->context.answer(*call, 200, { { "X-Commit-State", "committed" } }, R"({"ended":true})");
    }
    if (error)
        return;
    const auto* store = this->context.durable.programStore(this->context.durable.partitionOf(recorded.program));
    if (store == nullptr)
        return;
    for (const auto& key : programTree(*store, recorded.program))
        this->startReleases(key, now);
}

std::set<std::string> ProgramLifecycle::endpointsHoldingCache(
    const core::ProgramKey& key, const state::ProgramState& program) const
{
    std::set<std::string> engines(program.endpointsUsed.begin(), program.endpointsUsed.end());
    if (!this->takenOver.contains(key))
        return engines;
    for (const auto& [address, endpoint] : this->context.dispatcher.endpoints()) {
        if (!this->context.dispatcher.schedulerState().router().endpoints().row(endpoint).spec.models.empty())
            engines.insert(address);
    }
    return engines;
}

void ProgramLifecycle::startReleases(const core::ProgramKey& program, core::TimePoint now)
{
    const auto* state = this->context.durable.find(program);
    if (state == nullptr || !state->ended)
        return;
    this->takenOver.erase(program);
    this->context.dispatcher.onProgramReleased(cacheKey(program));
    if (state::rootOf(program) == program) {
        this->forgetAt[program] = now + endedProgramRetention;
        this->context.budgetLedger.close(program);
    }
    for (const auto& endpoint : state->openReleases)
        this->releases.emplace(ReleaseKey { program, endpoint }, Release { now, 0, false });
}

void ProgramLifecycle::onCacheReleased(const CacheReleased& event, core::TimePoint now)
{
    const auto found = this->releases.find({ event.program, event.endpoint });
    if (found == this->releases.end())
        return;
    found->second.inFlight = false;
    if (event.confirmed) {
        this->recordRelease(found->first, now);
        return;
    }
    const auto delay = std::min<core::Duration>(
        minReleaseRetryDelay * (1 << std::min(found->second.attempts, 8)), maxReleaseRetryDelay);
    found->second.due = now + delay;
}

void ProgramLifecycle::recordRelease(const ReleaseKey& key, core::TimePoint now)
{
    records::Entry entry;
    entry.mutable_release_confirmed()->set_endpoint(key.second);
    const auto program = key.first;
    if (this->context.durable.append(program, { entry }, NoContinuation {}, now))
        this->releases.erase(key);
}

void ProgramLifecycle::onPartitionServed(core::PartitionId partition, core::TimePoint now)
{
    const auto* store = this->context.durable.programStore(partition);
    if (store == nullptr)
        return;
    for (const auto& [key, program] : store->all()) {
        if (program.ended)
            this->startReleases(key, now);
        else
            this->takenOver.insert(key);
    }
}

void ProgramLifecycle::onPartitionDropped(const std::vector<core::ProgramKey>& programs)
{
    for (const auto& program : programs) {
        this->forgetAt.erase(program);
        this->takenOver.erase(program);
        for (auto each = this->releases.lower_bound({ program, {} });
             each != this->releases.end() && each->first.first == program;)
            each = this->releases.erase(each);
    }
}

void ProgramLifecycle::tick(core::TimePoint now)
{
    std::vector<ReleaseKey> unlisted;
    for (auto& [key, release] : this->releases) {
        if (release.inFlight || release.due > now)
            continue;
        if (release.attempts > 0 && !this->context.dispatcher.isListed(key.second)) {
            unlisted.push_back(key);
            continue;
        }
        release.inFlight = true;
        ++release.attempts;
        this->context.effects.push_back(ReleaseCache { key.first, key.second });
    }
    for (const auto& key : unlisted)
        this->recordRelease(key, now);
    for (const auto id : this->context.calls.select([&](const Call& call) {
             return std::holds_alternative<callers::EndProgram>(call.operation) && call.phase == CallPhase::Recording
                 && call.due <= now;
         }))
        this->context.answer(
            *this->context.calls.find(id), 200, { { "X-Commit-State", "pending" } }, R"({"ended":true})");
    if (now >= this->nextExpiryCheck) {
        this->nextExpiryCheck = now + expiryCheckInterval;
        this->expirePrograms(now);
    }
}

void ProgramLifecycle::expirePrograms(core::TimePoint now)
{
    std::vector<core::ProgramKey> expired;
    for (const auto partition : this->context.durable.servedPartitions()) {
        for (const auto& [key, program] : this->context.durable.programStore(partition)->all()) {
            const auto* programClass
                = this->context.document ? this->context.document->programClass(program.programClass) : nullptr;
            if (program.ended || !program.opened || state::rootOf(key) != key || programClass == nullptr)
                continue;
            if (this->context.unixMs - program.openedUnixMs > programClass->maxWallSeconds * 1000)
                expired.push_back(key);
        }
    }
    for (const auto& key : expired) {
        core::logInfo("program_expired").with("customer", key.customer).with("program", key.program);
        static_cast<void>(this->recordEnd(key, "wall time of the class exceeded", EndRecorded { 0, key }, now));
    }
    for (auto each = this->forgetAt.begin(); each != this->forgetAt.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        this->context.durable.forget(each->first);
        each = this->forgetAt.erase(each);
    }
}

} // namespace lagoontiller::control
