#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/Time.h"
#include "state/ProgramState.h"

#include <map>
#include <variant>

namespace lagoontiller::state {

/// \brief Limits on a root program together with all its sub-agents, from its class in the configuration document.
struct BudgetLimits {
    std::uint64_t tokens = 0;
    std::uint32_t turns = 0;
    std::uint32_t calls = 0;
    core::Duration wallTime {};
    [[nodiscard]] bool operator==(const BudgetLimits&) const = default;
};

enum class WorkKind : int {
    Turn,
    Call,
};

using ReservationId = std::uint64_t;

/// \brief The durable reservation covers the work: it may start at once.
struct BudgetGranted {
    ReservationId reservation = 0;
    [[nodiscard]] bool operator==(const BudgetGranted&) const = default;
};
/// \brief The durable reservation must grow first: commit `BudgetReserved{totalTokens}` for the root, then call
/// `onChunkCommitted` and start the work.
struct CommitChunk {
    ReservationId reservation = 0;
    std::uint64_t totalTokens = 0;
    [[nodiscard]] bool operator==(const CommitChunk&) const = default;
};
/// \brief The work must not start; nothing is reserved.
struct BudgetRefused {
    core::Error error;
    [[nodiscard]] bool operator==(const BudgetRefused&) const = default;
};
using BudgetDecision = std::variant<BudgetGranted, CommitChunk, BudgetRefused>;

/// \brief How this owner acquired the partition; decides whether tokens that were reserved earlier count as spent.
enum class OwnershipOrigin : int {
    /// The previous owner handed the partition over with no work in flight: only recorded use counts as spent.
    HandOver,
    /// The previous owner may have spent its whole reservation: all reserved tokens count as spent.
    Takeover,
};

/// \brief Token, turn and call budgets of the root programs in the partitions that this node owns.
///
/// Tokens are reserved durably in chunks, so that most work starts without a commit of its own. Every function that
/// takes a `program` accepts a sub-agent as well and applies to its root.
class BudgetLedger {
public:
    /// \brief Default number of tokens by which the durable reservation of a root grows.
    static constexpr std::uint64_t defaultChunkTokens = 20'000;

    explicit BudgetLedger(std::uint64_t chunkTokens = defaultChunkTokens)
        : chunkTokens(chunkTokens)
    {
    }

    /// \brief Opens the account of a root program. When the account is open already, only its limits are replaced.
    /// `openedAt` is the start of the program on this node's monotonic clock.
    void open(const core::ProgramKey& root, const BudgetLimits& limits, const RootBudget& durableBudget,
        OwnershipOrigin origin, core::TimePoint openedAt);

    /// \brief Reserves the maximum number of tokens that one turn or call of `program` may use, and counts the turn or
    /// call. `tokens` is 0 for work that uses none.
    /// \return BudgetRefused with UnknownProgram when the root is not open, ProgramLimitReached when the wall time,
    /// turns or calls are used up, and BudgetExhausted when too few tokens are left.
    [[nodiscard]] BudgetDecision reserve(
        const core::ProgramKey& program, std::uint64_t tokens, WorkKind kind, core::TimePoint now);
    /// \brief `BudgetReserved{totalTokens}` of the root is durable.
    void onChunkCommitted(const core::ProgramKey& program, std::uint64_t totalTokens);
    /// \brief Ends a reservation whose work used `tokens`. Ignores unknown reservations.
    void settle(const core::ProgramKey& program, ReservationId reservation, std::uint64_t tokens);
    /// \brief Ends a reservation whose work never started: no tokens and no turn or call are counted.
    void cancel(const core::ProgramKey& program, ReservationId reservation);
    /// \brief Closes the account of a root that ended or has another owner.
    void close(const core::ProgramKey& root);

    [[nodiscard]] bool isOpen(const core::ProgramKey& program) const;
    /// \brief Tokens that finished work spent plus tokens that work in flight reserves; 0 when the root is not open.
    [[nodiscard]] std::uint64_t spentAndReservedTokens(const core::ProgramKey& program) const;

private:
    struct Reservation {
        std::uint64_t tokens = 0;
        WorkKind kind = WorkKind::Turn;
    };
    struct Account {
        BudgetLimits limits;
        core::TimePoint openedAt;
        std::uint64_t durableTokens = 0;
        std::uint64_t spentTokens = 0;
        std::uint64_t inFlightTokens = 0;
        std::uint32_t turns = 0;
        std::uint32_t calls = 0;
        std::map<ReservationId, Reservation> reservations;
    };

    [[nodiscard]] Account* findAccount(const core::ProgramKey& program);
    [[nodiscard]] static std::uint32_t& counterOf(Account& account, WorkKind kind) noexcept;

    std::uint64_t chunkTokens;
    std::map<core::ProgramKey, Account> accounts;
    ReservationId lastReservation = 0;
};

} // namespace lagoontiller::state
