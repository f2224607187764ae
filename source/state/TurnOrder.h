#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/Time.h"
#include "state/ProgramState.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lagoontiller::state {

struct TurnRequest {
    core::ProgramKey program;
    std::uint32_t turn = 0;
    std::string digest;
    std::string requestId;
    [[nodiscard]] bool operator==(const TurnRequest&) const = default;
};

struct TurnSettings {
    /// \brief Time after which a turn that waits for its predecessor is refused.
    core::Duration maxWait = std::chrono::seconds(10);
    std::size_t maxWaitingPerProgram = 8;
    /// \brief Limit over all programs of this owner.
    std::size_t maxWaitingTurns = 4096;
};

/// \brief Run the turn as this attempt; numbers start at 1.
struct RunTurn {
    std::uint32_t attempt = 0;
    [[nodiscard]] bool operator==(const RunTurn&) const = default;
};
/// \brief An earlier turn is not answered yet. TurnReady or TurnTimedOut follows, no later than `deadline`.
struct WaitTurn {
    core::TimePoint deadline;
    [[nodiscard]] bool operator==(const WaitTurn&) const = default;
};
/// \brief The same turn is running, and its caller sent the request again: return the answer of the running attempt.
struct JoinTurn {
    std::string requestId;
    [[nodiscard]] bool operator==(const JoinTurn&) const = default;
};
/// \brief Return the stored answer; do not run the turn.
struct ReplayTurn {
    StoredTurn turn;
    [[nodiscard]] bool operator==(const ReplayTurn&) const = default;
};
struct RefuseTurn {
    core::Error error;
    [[nodiscard]] bool operator==(const RefuseTurn&) const = default;
};
using TurnDecision = std::variant<RunTurn, WaitTurn, JoinTurn, ReplayTurn, RefuseTurn>;

/// \brief The predecessor of a waiting turn is answered: call `decide` for the request again.
struct TurnReady {
    TurnRequest request;
    [[nodiscard]] bool operator==(const TurnReady&) const = default;
};
/// \brief A waiting turn is refused with `error`.
struct TurnTimedOut {
    TurnRequest request;
    core::Error error;
    [[nodiscard]] bool operator==(const TurnTimedOut&) const = default;
};
using TurnEvent = std::variant<TurnReady, TurnTimedOut>;

/// \brief Runs the turns of each program one at a time and in order, at the owner of the program.
class TurnOrder {
public:
    explicit TurnOrder(TurnSettings settings = {})
        : settings(settings)
    {
    }

    /// \brief Decides how to handle a turn. `program` holds the answered turns, including those whose commit is
    /// pending; nullptr when there is none.
    /// \return RefuseTurn with InvalidField for turn 0, TurnConflict when another request has the turn number,
    /// ProgramEnded, or TurnOutOfOrder when too many turns wait.
    [[nodiscard]] TurnDecision decide(const TurnRequest& request, const ProgramState* program, core::TimePoint now);

    /// \brief Starts another attempt of the running turn and invalidates the earlier ones.
    /// \return the attempt number, or 0 when the turn is not running.
    [[nodiscard]] std::uint32_t startAttempt(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief Whether an answer belongs to the current attempt of the running turn. The caller drops other answers.
    [[nodiscard]] bool isCurrentAttempt(
        const core::ProgramKey& program, std::uint32_t turn, std::uint32_t attempt, const std::string& requestId) const;
    /// \brief Ends the running turn, whose answer is in the program's state now.
    /// \return TurnReady for the waiting turns that may be decided now.
    [[nodiscard]] std::vector<TurnEvent> onAnswered(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief Ends the running turn without an answer. The same turn may run again, with a higher attempt number.
    void onFailed(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief Removes the waiting turns whose deadline has passed.
    /// \return TurnTimedOut for each of them.
    [[nodiscard]] std::vector<TurnEvent> tick(core::TimePoint now);
    /// \brief Removes the wait of a request whose caller disconnected.
    void cancelWait(const TurnRequest& request);
    /// \brief Removes a program that ended or has another owner.
    /// \return TurnTimedOut with `error` for its waiting turns.
    [[nodiscard]] std::vector<TurnEvent> removeProgram(const core::ProgramKey& program, const core::Error& error);
    [[nodiscard]] std::size_t waitingCount() const noexcept { return this->waitingTurnCount; }

private:
    struct WaitingTurn {
        TurnRequest request;
        core::TimePoint deadline;
    };
    struct ProgramTurns {
        /// \brief 0 when no turn is running.
        std::uint32_t runningTurn = 0;
        std::uint32_t attempt = 0;
        std::string digest;
        std::string requestId;
        /// \brief Turn whose attempts `attempt` counts. Kept after a failure, so that the next attempt gets a higher
        /// number.
        std::uint32_t attemptTurn = 0;
        std::vector<WaitingTurn> waiting;
    };

    [[nodiscard]] TurnDecision decideDue(ProgramTurns& turns, const TurnRequest& request);
    [[nodiscard]] TurnDecision decideEarly(ProgramTurns& turns, const TurnRequest& request, core::TimePoint now);

    TurnSettings settings;
    std::map<core::ProgramKey, ProgramTurns> programs;
    /// \brief Deadlines of waiting turns, earliest first. The turn may have stopped waiting already.
    std::deque<std::pair<core::TimePoint, core::ProgramKey>> deadlines;
    std::size_t waitingTurnCount = 0;
};

} // namespace lagoontiller::state
