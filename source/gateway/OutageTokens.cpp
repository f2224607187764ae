#include "gateway/OutageTokens.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief The outage part is this fraction of the budget. Turns use a quarter of their maximum on average, so that it
/// lasts for several turns of a program with a budget of eight.
constexpr std::uint64_t outagePartDivisor = 3;
/// \brief Smaller budgets are not divided: while no holder may grant, their rows' part would not cover the turns of a
/// program, which would be refused for more than a minute after the loss of a holder.
constexpr std::uint64_t minDividedBudget = 512;

} // namespace

std::uint64_t outagePart(std::uint64_t budget, std::uint64_t turnTokens) noexcept
{
    const auto part = budget / outagePartDivisor;
    return budget < minDividedBudget || part < turnTokens ? 0 : part;
}

bool OutageTokens::giveUp(const std::string& program, bool mayHaveBeenGranted, core::BootTimePoint now)
{
    auto& known = this->programs[program];
    known.lastUsedAt = now;
    // A program that was asked for in the quarantine may go on beyond it: the quarantine only covers those that pause
    // for their retention.
    known.mayHaveBeenGranted = known.mayHaveBeenGranted || mayHaveBeenGranted;
    if (!known.ownedByRows && (known.granted || known.mayHaveBeenGranted))
        return false;
    known.ownedByRows = true;
    return true;
}

void OutageTokens::noteOwnedByRows(const std::string& program, core::BootTimePoint now)
{
    auto& known = this->programs[program];
    known.lastUsedAt = now;
    known.ownedByRows = true;
}

BudgetAnswer OutageTokens::reserve(
    const std::string& program, std::uint64_t budget, std::uint64_t tokens, core::BootTimePoint now)
{
    auto& known = this->programs[program];
    known.lastUsedAt = now;
    if (known.ownedByRows || known.mayHaveBeenGranted)
        return BudgetAnswer::Held;
    if (known.used + tokens > outagePart(budget, tokens))
        return BudgetAnswer::Exhausted;
    known.granted = true;
    known.used += tokens;
    return BudgetAnswer::Granted;
}

void OutageTokens::settle(
    const std::string& program, std::uint64_t reserved, std::uint64_t used, core::BootTimePoint now)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end())
        return;
    found->second.used -= reserved - std::min(used, reserved);
    found->second.lastUsedAt = now;
}

void OutageTokens::tick(core::BootTimePoint now)
{
    std::erase_if(this->programs, [now](const auto& each) { return now - each.second.lastUsedAt > memoryTime; });
}

} // namespace lagoontiller::gateway
