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
    /// \brief Longest wait of an early turn for its predecessor.
    core::Duration maxWait = std::chrono::seconds(10);
    std::size_t maxWaitingPerProgram = 8;
    std::size_t maxWaitingTurns = 4096;
};

struct RunTurn {
    std::uint32_t attempt = 0;
    [[nodiscard]] bool operator==(const RunTurn&) const = default;
};
/// \brief The turn is early; `TurnReady` or `TurnTimedOut` follows by `deadline`.
struct WaitTurn {
    core::TimePoint deadline;
    [[nodiscard]] bool operator==(const WaitTurn&) const = default;
};
/// \brief The same turn is running: its caller came back, and gets the answer of the running attempt.
struct JoinTurn {
    std::string requestId;
    [[nodiscard]] bool operator==(const JoinTurn&) const = default;
};
struct ReplayTurn {
    StoredTurn turn;
    [[nodiscard]] bool operator==(const ReplayTurn&) const = default;
};
struct RefuseTurn {
    core::Error error;
    [[nodiscard]] bool operator==(const RefuseTurn&) const = default;
};
using TurnDecision = std::variant<RunTurn, WaitTurn, JoinTurn, ReplayTurn, RefuseTurn>;

/// \brief A waiting turn's predecessor is answered: decide about the request again.
struct TurnReady {
    TurnRequest request;
    [[nodiscard]] bool operator==(const TurnReady&) const = default;
};
struct TurnTimedOut {
    TurnRequest request;
    core::Error error;
    [[nodiscard]] bool operator==(const TurnTimedOut&) const = default;
};
using TurnEvent = std::variant<TurnReady, TurnTimedOut>;

/// \brief Order of the turns of each program at its owner.
class TurnOrder {
public:
    explicit TurnOrder(TurnSettings settings = {})
        : settings(settings)
    {
    }

    /// \brief Decides about a turn. `program` holds the answered turns, pending commits included; nullptr when none.
    [[nodiscard]] TurnDecision decide(const TurnRequest& request, const ProgramState* program, core::TimePoint now);

    /// \brief Starts another attempt of the running turn and makes earlier ones stale.
    /// \return its number, or 0 when the turn is not running.
    [[nodiscard]] std::uint32_t startAttempt(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief Whether an answer belongs to the current attempt of the running turn; other answers are dropped.
    [[nodiscard]] bool isCurrentAttempt(
        const core::ProgramKey& program, std::uint32_t turn, std::uint32_t attempt, const std::string& requestId) const;
    /// \brief The running turn is answered and part of the program's state.
    [[nodiscard]] std::vector<TurnEvent> onAnswered(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief The running turn ended without an answer; the same turn may run again, with a later attempt number.
    void onFailed(const core::ProgramKey& program, std::uint32_t turn);
    /// \brief Ends waits that are over.
    [[nodiscard]] std::vector<TurnEvent> tick(core::TimePoint now);
    /// \brief The waiting caller went away.
    void cancelWait(const TurnRequest& request);
    /// \brief The program ended or has another owner; its waiting turns are refused.
    [[nodiscard]] std::vector<TurnEvent> removeProgram(const core::ProgramKey& program, const core::Error& error);
    [[nodiscard]] std::size_t waitingCount() const noexcept { return this->waitingTurnCount; }

private:
    struct WaitingTurn {
        TurnRequest request;
        core::TimePoint deadline;
    };
    struct ProgramTurns {
        std::uint32_t runningTurn = 0;
        std::uint32_t attempt = 0;
        std::string digest;
        std::string requestId;
        /// \brief Turn that the attempt number belongs to.
        std::uint32_t attemptTurn = 0;
        std::vector<WaitingTurn> waiting;
    };

    [[nodiscard]] TurnDecision decideDue(ProgramTurns& turns, const TurnRequest& request);
    [[nodiscard]] TurnDecision decideEarly(ProgramTurns& turns, const TurnRequest& request, core::TimePoint now);

    TurnSettings settings;
    std::map<core::ProgramKey, ProgramTurns> programs;
    /// \brief Ends of waits, oldest first; the wait itself may be over already.
    std::deque<std::pair<core::TimePoint, core::ProgramKey>> deadlines;
    std::size_t waitingTurnCount = 0;
};

} // namespace lagoontiller::state
