#pragma once

#include "control/Context.h"

namespace lagoontiller::control {

/// \brief Tool and plain service calls at the owner of their program: at most once where they may not be repeated.
class ServiceCalls {
public:
    explicit ServiceCalls(Context& context)
        : context(context)
    {
    }

    /// \brief Starts a call whose partition this node serves.
    void start(Call& call, core::TimePoint now);
    /// \brief The call has an endpoint now.
    void onAssigned(Call& call, const AssignedCall& assigned, core::TimePoint now);
    /// \brief The call gave up its place in the queue.
    void onDropped(Call& call, const policy::DroppedCall& dropped, core::TimePoint now);
    void onIntentRecorded(
        Call& call, const std::optional<core::Error>& error, core::TimePoint firstSent, core::TimePoint now);
    void onFinished(const ServiceFinished& event, core::TimePoint now);
    void onResultRecorded(Call& call, const std::optional<core::Error>& error, core::TimePoint now);
    void tick(core::TimePoint now);
    void onPartitionDropped(Call& call, core::TimePoint now);
    /// \brief A node that lost a partition reports the result of a call that it had sent.
    void onOutcomeReported(const nodes::wire::OutcomeReport& report, core::TimePoint now);
    /// \brief Answers from the recorded result of a call with this key.
    void fetchResult(Call& call);

private:
    void join(Call& call, const std::string& runningRequest);
    void enqueue(Call& call, core::TimePoint now);
    void send(Call& call);
    [[nodiscard]] DispatchRequest dispatchRequest(const Call& call) const;
    void onAnswer(Call& call, services::ServiceAnswer answer, core::TimePoint now);
    void onFailure(Call& call, const core::Error& error, const policy::AttemptOutcome& outcome, core::TimePoint now);
    /// \brief Ends a call that was not answered, with the record that its state asks for.
    void failAndRecord(Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs);
    /// \brief Gives up a call whose intent is not recorded in time.
    void abandonIntent(Call& call, core::TimePoint now);
    void recordResult(Call& call, std::optional<records::Entry> entry, core::TimePoint now);
    void respond(Call& call, const std::string& commitState, core::TimePoint now);
    void fail(
        Call& call, const core::Error& error, core::TimePoint now, std::uint64_t retryAfterMs = shortRetryAfterMs);
    void reportLateResult(const Call& call, core::TimePoint now);

    /// \brief Result that the present owner of its program has to record.
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
