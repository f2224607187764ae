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

struct CallRequest {
    core::ProgramKey program;
    std::string key;
    std::string digest;
    std::string service;
    std::string path;
    std::string requestId;
    bool repeatable = false;
    [[nodiscard]] bool operator==(const CallRequest&) const = default;
};

struct CallResult {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    [[nodiscard]] bool operator==(const CallResult&) const = default;
};

/// \brief Send the call; it may be repeated.
struct RunCall {
    [[nodiscard]] bool operator==(const RunCall&) const = default;
};
/// \brief Commit this record, then ask `onIntentCommitted` whether to send.
struct CommitIntent {
    records::Entry entry;
};
/// \brief Wait for the running call and return its result.
struct JoinCall {
    std::string requestId;
    [[nodiscard]] bool operator==(const JoinCall&) const = default;
};
struct ReplayCall {
    CallResult result;
    [[nodiscard]] bool operator==(const ReplayCall&) const = default;
};
struct RefuseCall {
    core::Error error;
    [[nodiscard]] bool operator==(const RefuseCall&) const = default;
};
using CallDecision = std::variant<RunCall, CommitIntent, JoinCall, ReplayCall, RefuseCall>;

/// \brief Send the call once. Its outcome must be reported by `onResult`, `onNotSent` or `onUnknown`.
struct SendCall {
    [[nodiscard]] bool operator==(const SendCall&) const = default;
};
using SendDecision = std::variant<SendCall, RefuseCall>;

/// \brief Calls in flight at this owner, and the decisions that keep a non-repeatable call from running twice.
class CallLedger {
public:
    /// \brief A longer gap between two runs of the control loop makes the membership view stale.
    static constexpr core::Duration maxLoopGap = std::chrono::seconds(2);

    /// \brief Records one run of the control loop. Call it before handling the events of that run.
    void onControlLoop(core::TimePoint now);

    /// \brief Decides about a call. `program` is the durable state, or nullptr when nothing is recorded. RunCall and
    /// CommitIntent make the call running until one of the functions below ends it.
    [[nodiscard]] CallDecision decide(
        const CallRequest& request, const ProgramState* program, bool storeAvailable, core::TimePoint now);

    /// \brief Decides whether to send after the intent was committed; `firstSent` is the start of the transaction.
    /// A call that is unknown or has been sent is never sent again.
    [[nodiscard]] SendDecision onIntentCommitted(
        const core::ProgramKey& program, const std::string& key, core::TimePoint firstSent, core::TimePoint now);
    /// \brief The intent will never be durable: the call is over and did not run.
    void onIntentRejected(const core::ProgramKey& program, const std::string& key);
    /// \brief Gives up a call whose intent is not committed yet, for example at its deadline. It will not be sent.
    /// \return the record that marks it as not run, to be appended after the intent; empty when it may have been sent.
    [[nodiscard]] std::optional<records::Entry> abandon(const core::ProgramKey& program, const std::string& key);

    /// \brief Record of the result. The call keeps running, so that equal calls join it, until `onRecorded`.
    [[nodiscard]] std::optional<records::Entry> onResult(
        const core::ProgramKey& program, const std::string& key, const CallResult& result);
    /// \brief The call failed before any byte may have left.
    [[nodiscard]] std::optional<records::Entry> onNotSent(const core::ProgramKey& program, const std::string& key);
    /// \brief The call may have left and no result will come.
    [[nodiscard]] std::optional<records::Entry> onUnknown(const core::ProgramKey& program, const std::string& key);
    /// \brief The result's record is committed, or the call needs none.
    void onRecorded(const core::ProgramKey& program, const std::string& key);

    /// \brief Record of a result that arrived at another node, when it matches an open intent of that request.
    [[nodiscard]] static std::optional<records::Entry> lateResult(const core::ProgramKey& program,
        const ProgramState* state, const std::string& key, const std::string& requestId, const CallResult& result);

    /// \brief Drops all calls of a program, whose partition has another owner now.
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

    [[nodiscard]] std::optional<CallDecision> decideFromRunning(const CallRequest& request) const;
    [[nodiscard]] std::optional<records::Entry> finish(const core::ProgramKey& program, const std::string& key,
        std::initializer_list<Phase> allowedPhases, const records::CallFinished& record);

    std::map<CallKey, RunningCall> runningCalls;
    std::optional<core::TimePoint> lastLoopAt;
    /// \brief End of the latest gap longer than `maxLoopGap`.
    std::optional<core::TimePoint> lastGapEndAt;
};

} // namespace lagoontiller::state
