#pragma once

#include "control/Call.h"
#include "control/Dispatcher.h"
#include "control/DurableState.h"
#include "control/Events.h"
#include "core/Metrics.h"
#include "state/BudgetLedger.h"
#include "state/CallLedger.h"
#include "state/TurnOrder.h"

#include <nlohmann/json.hpp>
#include <random>

namespace lagoontiller::control {

struct ControllerSettings {
    std::string node;
    std::string zone;
    std::string region;
    /// \brief Unique name of this process run: names the commit stream and prefixes request ids.
    std::string runId;
    std::uint32_t partitionCount = 256;
    std::vector<std::string> regions;
    core::Duration commitInterval = std::chrono::milliseconds(60);
    std::uint64_t seed = 1;
    /// \brief Longest wait of a call for its partition or for an owner that answers.
    core::Duration ownerTimeout = std::chrono::seconds(10);
    /// \brief Longest wait of a finished answer for its commit; then it is reported as pending.
    core::Duration commitTimeout = std::chrono::seconds(3);
    /// rief Longest wait for records that must be durable before a call is sent; then it is refused "not run".
    core::Duration startRecordTimeout = std::chrono::seconds(10);
    /// \brief Longest wait of a call for a free or healthy endpoint.
    core::Duration queueTimeout = std::chrono::seconds(10);
};

/// \brief State of the control thread, shared by the parts of the controller.
struct Context {
    Context(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now);

    ControllerSettings settings;
    core::MetricRegistry& metrics;
    /// \brief Wall clock of the event being handled, in milliseconds since the Unix epoch; for records only.
    std::int64_t unixMs = 0;
    std::shared_ptr<const document::Document> document;
    std::uint64_t documentVersion = 0;
    std::vector<Member> members;
    DurableState durable;
    Dispatcher dispatcher;
    CallTable calls;
    state::TurnOrder turnOrder;
    state::BudgetLedger budgetLedger;
    state::CallLedger callLedger;
    std::mt19937_64 random;
    Effects effects;
    AttemptId lastAttempt = 0;
    std::uint64_t lastRequest = 0;
    bool draining = false;

    [[nodiscard]] std::string newRequestId();

    /// \brief Refuses the call and all calls that joined it, and forgets them. "Not run" becomes "may have run" when an
    /// earlier attempt may have run.
    void refuse(Call& call, const core::Error& reason, std::uint64_t retryAfterMs = 0);
    /// \brief Answers with a JSON body and forgets the call.
    void answer(Call& call, int status, http::Headers headers, std::string body);
    /// \brief Counts the end of a call in the histograms of its customer and class.
    void observeCompletion(const Call& call, const std::string& outcome, core::TimePoint now);
};

/// \brief Delay that a refusal suggests for conditions that usually pass within a second.
inline constexpr std::uint64_t shortRetryAfterMs = 500;

/// \brief Delay for refusals of conditions that pass by themselves; 0 for those that another try does not change.
[[nodiscard]] std::uint64_t suggestedRetryAfterMs(core::ResultCode code) noexcept;

/// \brief A delay as refusals carry it, rounded up to whole milliseconds.
[[nodiscard]] inline std::uint64_t toRetryAfterMs(core::Duration delay)
{
    return static_cast<std::uint64_t>((std::max<std::int64_t>(0, delay.count()) + 999) / 1000);
}

/// \brief Opens the budget account of the call's program and lists the records that a new program needs.
///
/// Errors: UnknownProgram for a sub-agent whose root is not known, ProgramEnded, InvalidField for a class that the
/// customer may not use.
[[nodiscard]] core::Expected<std::vector<records::Entry>> openProgram(
    Context& context, const Call& call, core::TimePoint now);

/// \brief Key under which engines cache the prompts of a program.
[[nodiscard]] std::string cacheKey(const core::ProgramKey& program);

/// \brief Class that bounds the program: the stored one, else the requested or the customer's first.
[[nodiscard]] const document::ProgramClass* programClassOf(const Context& context, const Call& call);

} // namespace lagoontiller::control
