#include "state/BudgetLedger.h"

#include "state/Partitions.h"

#include <algorithm>

namespace lagoontiller::state {

namespace {

// A takeover may cost a program at most this part of its budget, beyond the work that was in flight.
constexpr std::uint64_t chunksPerBudget = 5;

BudgetRefused limitReached(std::string what)
{
    return { core::Error(
        core::ResultCode::ProgramLimitReached, "the program reached the limit of its class: " + std::move(what)) };
}

} // namespace

void BudgetLedger::open(const core::ProgramKey& root, const BudgetLimits& limits, const RootBudget& durable,
    Arrival arrival, core::TimePoint openedAt)
{
    const auto [position, added] = this->accounts.try_emplace(root);
    auto& account = position->second;
    account.limits = limits;
    if (!added) {
        return;
    }
    account.openedAt = openedAt;
    account.durableTokens = durable.reservedTokens;
    account.spentTokens
        = arrival == Arrival::Takeover ? std::max(durable.reservedTokens, durable.usedTokens) : durable.usedTokens;
    account.turns = durable.turns;
    account.calls = durable.calls;
}

BudgetDecision BudgetLedger::reserve(
    const core::ProgramKey& program, std::uint64_t tokens, WorkKind kind, core::TimePoint now)
{
    auto* account = this->find(program);
    if (account == nullptr) {
        return BudgetRefused { core::Error(core::ResultCode::UnknownProgram, "the root program is not open") };
    }
    const auto& limits = account->limits;
    if (now - account->openedAt > limits.wallTime) {
        return limitReached("wall time");
    }
    const auto most = kind == WorkKind::Turn ? limits.turns : limits.calls;
    if (countOf(*account, kind) >= most) {
        return limitReached(kind == WorkKind::Turn ? "turns" : "calls");
    }
    const auto before = account->spentTokens + account->heldTokens;
    if (before > limits.tokens || tokens > limits.tokens - before) {
        return BudgetRefused { core::Error(
            core::ResultCode::BudgetExhausted, "the program's budget is exhausted: tokens") };
    }
    const auto needed = before + tokens;
    countOf(*account, kind) += 1;
    account->heldTokens += tokens;
    this->lastReservation += 1;
    account->reservations[this->lastReservation] = { tokens, kind };
    if (needed <= account->durableTokens) {
        return SpendNow { this->lastReservation };
    }
    // After a takeover the whole chunk counts as spent: a chunk as large as the budget would end the program.
    const auto step = std::min(this->chunkTokens, limits.tokens / chunksPerBudget);
    const auto chunked = std::max(needed, account->durableTokens + step);
    return CommitChunk { this->lastReservation, std::min(chunked, limits.tokens) };
}

void BudgetLedger::onCommitted(const core::ProgramKey& program, std::uint64_t totalTokens)
{
    if (auto* account = this->find(program)) {
        account->durableTokens = std::max(account->durableTokens, totalTokens);
    }
}

void BudgetLedger::settle(const core::ProgramKey& program, ReservationId reservation, std::uint64_t tokens)
{
    auto* account = this->find(program);
    if (account == nullptr) {
        return;
    }
    const auto found = account->reservations.find(reservation);
    if (found == account->reservations.end()) {
        return;
    }
    account->heldTokens -= found->second.tokens;
    account->spentTokens += tokens;
    account->reservations.erase(found);
}

void BudgetLedger::cancel(const core::ProgramKey& program, ReservationId reservation)
{
    auto* account = this->find(program);
    if (account == nullptr) {
        return;
    }
    const auto found = account->reservations.find(reservation);
    if (found != account->reservations.end()) {
        countOf(*account, found->second.kind) -= 1;
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

std::uint64_t BudgetLedger::committedUse(const core::ProgramKey& program) const
{
    const auto found = this->accounts.find(rootOf(program));
    return found == this->accounts.end() ? 0 : found->second.spentTokens + found->second.heldTokens;
}

BudgetLedger::Account* BudgetLedger::find(const core::ProgramKey& program)
{
    const auto found = this->accounts.find(rootOf(program));
    return found == this->accounts.end() ? nullptr : &found->second;
}

std::uint32_t& BudgetLedger::countOf(Account& account, WorkKind kind) noexcept
{
    return kind == WorkKind::Turn ? account.turns : account.calls;
}

} // namespace lagoontiller::state
