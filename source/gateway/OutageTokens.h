#pragma once

#include "gateway/TokenBudgets.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Part of a program's token budget that rows allot only after the holder of the program's bucket has given it
/// up. Until then only the holder grants it, from memory, so that programs can begin while the store is away. 0 for
/// budgets that are too small to be divided, and if the part does not cover a turn of `turnTokens`: it could never be
/// granted.
[[nodiscard]] std::uint64_t outagePart(std::uint64_t budget, std::uint64_t turnTokens) noexcept;

/// \brief Tokens of outage parts that the holder of a bucket has granted.
///
/// Failure: the store is away, and a program begins of which no row is known. Every program has one holder at a time
/// (OutageBuckets), which remembers what it granted for longer than a program may return.
class OutageTokens {
public:
    /// \brief Gives the program's outage part up for its rows; false if tokens of it were granted. `mayHaveBeenGranted`
    /// states that another holder may have granted some.
    [[nodiscard]] bool giveUp(const std::string& program, bool mayHaveBeenGranted, core::BootTimePoint now);
    /// \brief Records that the rows own the outage part, as another holder has given it up.
    void noteOwnedByRows(const std::string& program, core::BootTimePoint now);
    /// \brief Grants the tokens if the program's outage part still covers them; `Held` if its rows own it.
    [[nodiscard]] BudgetAnswer reserve(
        const std::string& program, std::uint64_t budget, std::uint64_t tokens, core::BootTimePoint now);
    /// \brief Records the end of a turn that used `used` of its `reserved` tokens.
    void settle(const std::string& program, std::uint64_t reserved, std::uint64_t used, core::BootTimePoint now);
    /// \brief Forgets programs without turns for longer than `memoryTime`; call now and then.
    void tick(core::BootTimePoint now);
    /// \brief Number of remembered programs, whose outage parts were granted or given up.
    [[nodiscard]] std::size_t size() const noexcept { return this->programs.size(); }

    /// \brief Time for which a program is remembered after its last turn. Budgets that must be kept longer have no
    /// outage part.
    static constexpr core::Duration memoryTime = std::chrono::minutes(10);

private:
    struct Program {
        std::uint64_t used = 0;
        bool granted = false;
        /// \brief Another holder may have granted tokens, as far as this one could tell when it was asked.
        bool mayHaveBeenGranted = false;
        bool ownedByRows = false;
        core::BootTimePoint lastUsedAt {};
    };
    std::unordered_map<std::string, Program> programs;
};

} // namespace lagoontiller::gateway
