#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/Time.h"
#include "proto/records.pb.h"
#include "state/ProgramState.h"

#include <map>
#include <optional>
#include <variant>

namespace lagoontiller::state {

/// \brief A call of a program to an external service. `key` is the idempotency key.
struct CallRequest {
    core::ProgramKey program;
    std::string key;
    std::string digest;
    std::string service;
    std::string path;
    std::string requestId;
    /// \brief The service may run the call more than once; no intent is recorded for it.
    bool repeatable = false;
    [[nodiscard]] bool operator==(const CallRequest&) const = default;
};

struct CallResult {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    [[nodiscard]] bool operator==(const CallResult&) const = default;
};

/// \brief Send the repeatable call.
struct RunCall {
    [[nodiscard]] bool operator==(const RunCall&) const = default;
};
/// \brief Commit this intent, then call `onIntentCommitted`, which decides whether to send.
struct CommitIntent {
    records::Entry entry;
};
/// \brief Wait for the running call with the same key, and return its result.
struct JoinCall {
    std::string requestId;
    [[nodiscard]] bool operator==(const JoinCall&) const = default;
};
/// \brief Return the recorded result; do not send.
struct ReplayCall {
    CallResult result;
    [[nodiscard]] bool operator==(const ReplayCall&) const = default;
};
struct RefuseCall {
    core::Error error;
    [[nodiscard]] bool operator==(const RefuseCall&) const = default;
};
using CallDecision = std::variant<RunCall, CommitIntent, JoinCall, ReplayCall, RefuseCall>;

/// \brief Send the call once, then report its outcome with `onResult`, `onNotSent` or `onUnknown`.
struct SendCall {
    [[nodiscard]] bool operator==(const SendCall&) const = default;
};
using SendDecision = std::variant<SendCall, RefuseCall>;

/// \brief Tracks the calls in flight at the owner of their program, and ensures that a non-repeatable call is sent at
/// most once.
class CallLedger {
public:
    /// \brief After a longer gap between two runs of the control loop, another node may have taken this node's
    /// partitions over without this node knowing it. Intents whose transaction started before the end of the gap are
    /// not followed by a send.
    static constexpr core::Duration maxLoopGap = std::chrono::seconds(2);

    /// \brief Records a run of the control loop. Must be called before the events of that run are handled.
    void onControlLoop(core::TimePoint now);

    /// \brief Decides how to handle a call. `program` is the durable state, or nullptr when nothing is recorded. After
    /// RunCall or CommitIntent the call counts as running until one of the functions below ends it.
    /// \return RefuseCall with KeyReused when the key was used with another digest, CallInProgress while an abandoned
    /// call with the key is not recorded, OutcomeUnknown when an earlier call may have run, ProgramEnded, or
    /// StoreUnavailable when a non-repeatable call cannot record its intent.
    [[nodiscard]] CallDecision decide(
        const CallRequest& request, const ProgramState* program, bool storeAvailable, core::TimePoint now);

    /// \brief Decides whether to send a call whose intent is committed. `firstSent` is the start of the first
    /// transaction that may have written the intent.
    /// \return RefuseCall with DeadlineExceeded when the call was abandoned, and with OutcomeUnknown when it is not
    /// known to the ledger, has been sent already, or a gap of the control loop longer than `maxLoopGap` ended after
    /// `firstSent`.
    [[nodiscard]] SendDecision onIntentCommitted(
        const core::ProgramKey& program, const std::string& key, core::TimePoint firstSent, core::TimePoint now);
    /// \brief Ends a call whose intent will never be durable. It was not sent.
    void onIntentRejected(const core::ProgramKey& program, const std::string& key);
    /// \brief Abandons a call whose intent is not committed yet, for example at its deadline. It will not be sent.
    /// \return the record that marks the call as not run, to be appended after the intent; empty when the call is not
    /// waiting for its intent, so that it may have been sent.
    [[nodiscard]] std::optional<records::Entry> abandon(const core::ProgramKey& program, const std::string& key);

    /// \brief Ends a call with its result. Calls with the same key join this one until `onRecorded`.
    /// \return the record of the result; empty when the call is not in flight.
    [[nodiscard]] std::optional<records::Entry> onResult(
        const core::ProgramKey& program, const std::string& key, const CallResult& result);
    /// \brief Ends a call that failed before any byte was sent.
    /// \return the record that marks it as not run; empty unless `onIntentCommitted` returned SendCall and no outcome
    /// is reported.
    [[nodiscard]] std::optional<records::Entry> onNotSent(const core::ProgramKey& program, const std::string& key);
    /// \brief Ends a call that may have been sent and will get no result.
    /// \return the record that marks its outcome as unknown; empty in the same cases as for `onNotSent`.
    [[nodiscard]] std::optional<records::Entry> onUnknown(const core::ProgramKey& program, const std::string& key);
    /// \brief Removes a call whose final record is committed, or which needs none.
    void onRecorded(const core::ProgramKey& program, const std::string& key);

    /// \brief Record of a result that another node received for a call of this owner; empty unless `requestId` has a
    /// recorded intent whose outcome is open or unknown.
    [[nodiscard]] static std::optional<records::Entry> lateResult(const core::ProgramKey& program,
        const ProgramState* state, const std::string& key, const std::string& requestId, const CallResult& result);

    /// \brief Removes all calls of a program whose partition has another owner now.
    void removeProgram(const core::ProgramKey& program);
    [[nodiscard]] bool isRunning(const core::ProgramKey& program, const std::string& key) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->runningCalls.size(); }

private:
    enum class Phase : int {
        Repeatable,
        AwaitingIntent,
        Abandoned,
        Sent,
        Finished,
    };
    struct RunningCall {
        Phase phase = Phase::Repeatable;
        std::string digest;
        std::string requestId;
    };
    using CallKey = std::pair<core::ProgramKey, std::string>;

    /// \brief Decision from a running call with the same key; empty when none is running.
    [[nodiscard]] std::optional<CallDecision> decideFromRunning(const CallRequest& request) const;
    /// \brief Moves a call in one of `allowedPhases` to Finished and returns its completed record; empty otherwise.
    [[nodiscard]] std::optional<records::Entry> finish(const core::ProgramKey& program, const std::string& key,
        std::initializer_list<Phase> allowedPhases, const records::CallFinished& record);

    std::map<CallKey, RunningCall> runningCalls;
    std::optional<core::TimePoint> lastLoopAt;
    /// \brief End of the latest gap between control loop runs that was longer than `maxLoopGap`.
    std::optional<core::TimePoint> lastGapEndAt;
};

} // namespace lagoontiller::state
