#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/Time.h"
#include "state/ProgramState.h"

#include <map>
#include <variant>

namespace lagoontiller::state {

/// \brief Limits of a root program and all its sub-agents, from the document's class.
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

/// \brief The work may start now.
struct BudgetGranted {
    ReservationId reservation = 0;
    [[nodiscard]] bool operator==(const BudgetGranted&) const = default;
};
/// \brief Commit `BudgetReserved{totalTokens}` for the root first, then report it by `onChunkCommitted`.
struct CommitChunk {
    ReservationId reservation = 0;
    std::uint64_t totalTokens = 0;
    [[nodiscard]] bool operator==(const CommitChunk&) const = default;
};
struct BudgetRefused {
    core::Error error;
    [[nodiscard]] bool operator==(const BudgetRefused&) const = default;
};
using BudgetDecision = std::variant<BudgetGranted, CommitChunk, BudgetRefused>;

/// \brief How a partition came to this owner; decides what its reserved tokens count as.
enum class OwnershipOrigin : int {
    /// Nothing is in flight elsewhere: only recorded use counts as spent.
    HandOver,
    /// The previous owner may have spent all that it had reserved.
    Takeover,
};

/// \brief Reservations of the root programs that this owner holds.
class BudgetLedger {
public:
    /// \brief Default size of the durable chunks by which a reservation grows.
    static constexpr std::uint64_t defaultChunkTokens = 20'000;

    explicit BudgetLedger(std::uint64_t chunkTokens = defaultChunkTokens)
        : chunkTokens(chunkTokens)
    {
    }

    /// \brief Starts a root program or, when it is known already, replaces its limits. `openedAt` is the program's
    /// start on this node's monotonic clock.
    void open(const core::ProgramKey& root, const BudgetLimits& limits, const RootBudget& durableBudget,
        OwnershipOrigin origin, core::TimePoint openedAt);

    /// \brief Reserves the most that one turn or call of `program` may cost. `tokens` is 0 for a call without tokens.
    [[nodiscard]] BudgetDecision reserve(
        const core::ProgramKey& program, std::uint64_t tokens, WorkKind kind, core::TimePoint now);
    /// \brief A chunk of the root is durable.
    void onChunkCommitted(const core::ProgramKey& program, std::uint64_t totalTokens);
    /// \brief The work ended and used `tokens`. Unknown reservations are ignored.
    void settle(const core::ProgramKey& program, ReservationId reservation, std::uint64_t tokens);
    /// \brief The work never started; it counts neither tokens nor a turn or call.
    void cancel(const core::ProgramKey& program, ReservationId reservation);
    /// \brief The root ended or has another owner.
    void close(const core::ProgramKey& root);

    [[nodiscard]] bool isOpen(const core::ProgramKey& program) const;
    /// \brief Tokens spent and reserved by work in flight.
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
