#include "state/BudgetLedger.h"

#include "state/Partitions.h"

#include <algorithm>

namespace lagoontiller::state {

namespace {

// A chunk is at most the budget divided by this number. That is the most that a takeover costs a program beyond its
// work in flight, because the unused rest of the chunk counts as spent.
constexpr std::uint64_t minChunksPerBudget = 5;

BudgetRefused limitReached(std::string what)
{
    return { core::Error(
        core::ResultCode::ProgramLimitReached, "the program reached the limit of its class: " + std::move(what)) };
}

} // namespace

void BudgetLedger::open(const core::ProgramKey& root, const BudgetLimits& limits, const RootBudget& durableBudget,
    OwnershipOrigin origin, core::TimePoint openedAt)
{
    const auto [position, added] = this->accounts.try_emplace(root);
    auto& account = position->second;
    account.limits = limits;
    if (!added) {
        return;
    }
    account.openedAt = openedAt;
    account.durableTokens = durableBudget.reservedTokens;
    account.spentTokens = origin == OwnershipOrigin::Takeover
        ? std::max(durableBudget.reservedTokens, durableBudget.usedTokens)
        : durableBudget.usedTokens;
    account.turns = durableBudget.turns;
    account.calls = durableBudget.calls;
}

BudgetDecision BudgetLedger::reserve(
    const core::ProgramKey& program, std::uint64_t tokens, WorkKind kind, core::TimePoint now)
{
    auto* account = this->findAccount(program);
    if (account == nullptr) {
        return BudgetRefused { core::Error(core::ResultCode::UnknownProgram, "the root program is not open") };
    }
    const auto& limits = account->limits;
    if (now - account->openedAt > limits.wallTime) {
        return limitReached("wall time");
    }
    const auto limit = kind == WorkKind::Turn ? limits.turns : limits.calls;
    if (counterOf(*account, kind) >= limit) {
        return limitReached(kind == WorkKind::Turn ? "turns" : "calls");
    }
    const auto allocatedTokens = account->spentTokens + account->inFlightTokens;
    if (allocatedTokens > limits.tokens || tokens > limits.tokens - allocatedTokens) {
        return BudgetRefused { core::Error(
            core::ResultCode::BudgetExhausted, "the program's budget is exhausted: tokens") };
    }
    const auto needed = allocatedTokens + tokens;
    counterOf(*account, kind) += 1;
    account->inFlightTokens += tokens;
    this->lastReservation += 1;
    account->reservations[this->lastReservation] = { tokens, kind };
    if (needed <= account->durableTokens) {
        return BudgetGranted { this->lastReservation };
    }
    // A takeover counts the whole chunk as spent: a chunk as large as the budget would leave the program no tokens.
    const auto chunk = std::min(this->chunkTokens, limits.tokens / minChunksPerBudget);
    const auto chunkedTotal = std::max(needed, account->durableTokens + chunk);
    return CommitChunk { this->lastReservation, std::min(chunkedTotal, limits.tokens) };
}

void BudgetLedger::onChunkCommitted(const core::ProgramKey& program, std::uint64_t totalTokens)
{
    if (auto* account = this->findAccount(program)) {
        account->durableTokens = std::max(account->durableTokens, totalTokens);
    }
}

void BudgetLedger::settle(const core::ProgramKey& program, ReservationId reservation, std::uint64_t tokens)
{
    auto* account = this->findAccount(program);
    if (account == nullptr) {
        return;
    }
    const auto found = account->reservations.find(reservation);
    if (found == account->reservations.end()) {
        return;
    }
    account->inFlightTokens -= found->second.tokens;
    account->spentTokens += tokens;
    account->reservations.erase(found);
}

void BudgetLedger::cancel(const core::ProgramKey& program, ReservationId reservation)
{
    auto* account = this->findAccount(program);
    if (account == nullptr) {
        return;
    }
    const auto found = account->reservations.find(reservation);
    if (found != account->reservations.end()) {
        counterOf(*account, found->second.kind) -= 1;
        this->settle(program, reservation, 0);
    }
}

void BudgetLedger::close(const core::ProgramKey& root)
{
    this->accounts.erase(root);
}

bool BudgetLedger::isOpen(const core::ProgramKey& program) const
{
    return this->accounts.contains(rootOf(program));
}

std::uint64_t BudgetLedger::spentAndReservedTokens(const core::ProgramKey& program) const
{
    const auto found = this->accounts.find(rootOf(program));
    return found == this->accounts.end() ? 0 : found->second.spentTokens + found->second.inFlightTokens;
}

BudgetLedger::Account* BudgetLedger::findAccount(const core::ProgramKey& program)
{
    const auto found = this->accounts.find(rootOf(program));
    return found == this->accounts.end() ? nullptr : &found->second;
}

std::uint32_t& BudgetLedger::counterOf(Account& account, WorkKind kind) noexcept
{
    return kind == WorkKind::Turn ? account.turns : account.calls;
}

} // namespace lagoontiller::state
