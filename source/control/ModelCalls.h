#pragma once

#include "control/Context.h"

namespace lagoontiller::control {

/// \brief Model calls at the owner of their program: order, budget, endpoint, attempts, commit.
class ModelCalls {
public:
    explicit ModelCalls(Context& context)
        : context(context)
    {
    }

    /// \brief Starts a call whose partition this node serves.
    void start(Call& call, core::TimePoint now);
    void onStartRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    /// \brief The call has an endpoint now.
    void onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now);
    /// \brief The call gave up its place in the queue.
    void onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now);
    void onFirstToken(AttemptId attempt, core::TimePoint now);
    void onFinished(const GenerationFinished& event, core::TimePoint now);
    void onFailed(const GenerationFailed& event, core::TimePoint now);
    void onTurnRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    /// \brief Ends waits and starts due attempts.
    void tick(core::TimePoint now);
    void onTurnEvents(const std::vector<state::TurnEvent>& events, core::TimePoint now);
    /// \brief Stops the program's turns: what they leave at an engine after the release would stay there.
    void onProgramEnded(const core::ProgramKey& program, core::TimePoint now);
    /// \brief The call's program has another owner now.
    void onPartitionDropped(Call& call, core::TimePoint now);

private:
    [[nodiscard]] state::TurnRequest turnRequest(const Call& call) const;
    void decide(Call& call, core::TimePoint now);
    void prepareTurn(Call& call, core::TimePoint now);
    void join(Call& call, const std::string& runningRequest);
    void replay(Call& call, const state::StoredTurn& turn);
    void enqueue(Call& call, core::TimePoint now);
    /// \brief Asks for another endpoint before anything was sent to the chosen one.
    void requeue(Call& call, core::TimePoint now);
    void send(Call& call);
    void onToolPause(const Call& call, const engines::EngineFinished& result, core::TimePoint now);
    void fail(
        Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs = shortRetryAfterMs);
    void close(Call& call, const std::string& commitState, core::TimePoint now);
    [[nodiscard]] DispatchRequest dispatchRequest(const Call& call) const;
    [[nodiscard]] records::Entry finishedEntry(
        const Call& call, const std::string& text, const engines::EngineFinished& result) const;

    Context& context;
};

} // namespace lagoontiller::control
