#pragma once

#include "control/Context.h"

namespace lagoontiller::control {

/// \brief Processes calls of tool and plain services on the node that owns their program. Non-repeatable calls run at
/// most once.
class ServiceCalls {
public:
    explicit ServiceCalls(Context& context)
        : context(context)
    {
    }

    /// \brief Starts a call whose partition this node serves.
    void start(Call& call, core::TimePoint now);
    /// \brief The scheduler has assigned the queued call to an endpoint: records the intent of a non-repeatable call,
    /// then sends it.
    void onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now);
    /// \brief The scheduler has dropped the queued call: refuses it.
    void onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now);
    /// \brief The intent is durable: sends the call, unless the call ledger decides otherwise. With `error`, refuses
    /// it.
    void onIntentRecorded(
        Call& call, const std::optional<core::Error>& error, core::TimePoint firstSent, core::TimePoint now);
    void onFinished(const ServiceFinished& event, core::TimePoint now);
    /// \brief The result is durable, or with `error` never will be: answers the call.
    void onResultRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    void tick(core::TimePoint now);
    void onPartitionDropped(Call& call, core::TimePoint now);
    /// \brief Records the result that a previous owner of the partition received after it lost the partition.
    void onOutcomeReported(const nodes::wire::OutcomeReport& report, core::TimePoint now);
    /// \brief Answers with the recorded result of the call that has the requested idempotency key.
    void fetchResult(Call& call);

private:
    /// \brief Makes the call receive the result of an identical call in progress.
    void join(Call& call, const std::string& runningRequestId);
    /// \brief Opens the program, reserves budget and queues the call for an endpoint.
    void enqueue(Call& call, core::TimePoint now);
    void send(Call& call);
    [[nodiscard]] DispatchRequest dispatchRequest(const Call& call) const;
    void onAnswer(Call& call, services::ServiceResponse answer, core::TimePoint now);
    void onFailure(Call& call, const core::Error& error, const policy::AttemptOutcome& outcome, core::TimePoint now);
    /// \brief Refuses a call that failed, and records "not run" or "outcome unknown" for a non-repeatable call whose
    /// intent is recorded.
    void failAndRecord(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs);
    /// \brief Abandons a call whose intent was not durable in time; it will not be sent.
    void abandonIntent(Call& call, core::TimePoint now);
    /// \brief Appends the record of the result and holds the answer until it is durable; answers at once if there is
    /// none.
    void recordResult(Call& call, std::optional<records::Entry> entry, core::TimePoint now);
    /// \brief Answers the call and all joined calls, and removes them.
    void respond(Call& call, const std::string& commitState, core::TimePoint now);
    /// \brief Refuses the call. Its budget reservation is returned if it has not run, and settled otherwise.
    void fail(
        Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs = shortRetryAfterMs);
    /// \brief Reports the result to the present owner of the program, repeatedly.
    void reportLateResult(const Call& call, core::TimePoint now);

    /// \brief Result of a call whose partition moved to another node, which has to record it.
    struct LateResult {
        nodes::wire::OutcomeReport report;
        core::TimePoint nextReport {};
        core::TimePoint expires {};
    };

    void sendLateResults(core::TimePoint now);

    Context& context;
    std::vector<LateResult> lateResults;
};

} // namespace lagoontiller::control
