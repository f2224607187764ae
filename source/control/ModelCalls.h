#pragma once

#include "control/Context.h"

namespace lagoontiller::control {

/// \brief Processes model calls on the node that owns their program: turn order, budget, scheduling, attempts and
/// commit.
class ModelCalls {
public:
    explicit ModelCalls(Context& context)
        : context(context)
    {
    }

    /// \brief Starts a call whose partition this node serves.
    void start(Call& call, core::TimePoint now);
    /// \brief The start records are durable: sends the call. With `error`, refuses it.
    void onStartRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    /// \brief The scheduler has assigned the queued call to an endpoint: records its start, then sends it.
    void onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now);
    /// \brief The scheduler has dropped the queued call: refuses it.
    void onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now);
    void onFirstToken(AttemptId attempt, core::TimePoint now);
    void onFinished(const GenerationFinished& event, core::TimePoint now);
    void onFailed(const GenerationFailed& event, core::TimePoint now);
    /// \brief The finished turn is durable, or with `error` never will be: completes the answer.
    void onTurnRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    /// \brief Handles timeouts of the waits for a preceding turn, for start records and for a commit, and sends calls
    /// that need not wait for their records because the store is unavailable.
    void tick(core::TimePoint now);
    /// \brief Decides again about calls whose preceding turn ended, and refuses those that waited too long for it.
    void onTurnEvents(const std::vector<state::TurnEvent>& events, core::TimePoint now);
    /// \brief Stops the running turns of an ended program. KV cache that they created after the release would never be
    /// freed.
    void onProgramEnded(const core::ProgramKey& program, core::TimePoint now);
    /// \brief This node no longer owns the program: cancels the call and refuses it, or completes its answer if it is
    /// finished.
    void onPartitionDropped(Call& call, core::TimePoint now);

private:
    [[nodiscard]] state::TurnRequest turnRequest(const Call& call) const;
    /// \brief Runs, delays, joins, replays or refuses the turn, as the turn order decides.
    void decide(Call& call, core::TimePoint now);
    /// \brief Opens the program, reserves budget and queues the call for an endpoint.
    void prepareTurn(Call& call, core::TimePoint now);
    /// \brief Subscribes the call to the answer of an identical call in progress.
    void join(Call& call, const std::string& runningRequestId);
    /// \brief Answers the call with the recorded answer of its turn.
    void replay(Call& call, const state::StoredTurn& turn);
    void enqueue(Call& call, core::TimePoint now);
    /// \brief Queues the call again for another endpoint; nothing has been sent to the assigned one.
    void requeue(Call& call, core::TimePoint now);
    void send(Call& call);
    /// \brief Releases the program's KV cache if it is not worth keeping while the program waits for a tool.
    void onToolPause(const Call& call, const engines::EngineFinished& result, core::TimePoint now);
    /// \brief Refuses the call. Its budget reservation is returned if the call has not run, and charged in full
    /// otherwise.
    void fail(
        Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs = shortRetryAfterMs);
    /// \brief Completes the answer of the call and of all joined calls, and removes them.
    void close(Call& call, const std::string& commitState, core::TimePoint now);
    [[nodiscard]] DispatchRequest dispatchRequest(const Call& call) const;
    [[nodiscard]] records::Entry finishedEntry(
        const Call& call, const std::string& text, const engines::EngineFinished& result) const;

    Context& context;
};

} // namespace lagoontiller::control
