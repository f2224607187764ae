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
    /// \brief Unique id of this process run: the name of its commit stream and the prefix of its request ids.
    std::string runId;
    std::uint32_t partitionCount = 256;
    std::vector<std::string> regions;
    core::Duration commitInterval = std::chrono::milliseconds(60);
    std::uint64_t seed = 1;
    /// \brief How long a call may wait for its partition, or for an owner that accepts it.
    core::Duration ownerTimeout = std::chrono::seconds(10);
    /// \brief How long a finished answer is held for its commit; after that its commit state is `pending`.
    core::Duration commitTimeout = std::chrono::seconds(3);
    /// \brief How long a call may wait for the records that must be durable before it is sent; after that it is refused
    /// as "not run".
    core::Duration startRecordTimeout = std::chrono::seconds(10);
    /// \brief How long a call may wait in the queue for a healthy endpoint with free capacity.
    core::Duration queueTimeout = std::chrono::seconds(10);
};

/// \brief State of the controller, shared by its components. Not thread-safe; the control thread owns it.
struct Context {
    Context(ControllerSettings settings, core::MetricRegistry& metrics, core::TimePoint now);

    ControllerSettings settings;
    core::MetricRegistry& metrics;
    /// \brief Wall clock of the current event, in milliseconds since the Unix epoch. Used in records and answers and
    /// for the ages of programs and load reports; all timeouts use the monotonic clock.
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

    /// \brief Request id that is unique in the deployment.
    [[nodiscard]] std::string newRequestId();

    /// \brief Refuses the call and all calls joined to it, and removes them. "Not run" is reported as "may have run" if
    /// an earlier attempt may have run.
    void refuse(Call& call, const core::Error& reason, std::uint64_t retryAfterMs = 0);
    /// \brief Sends a whole answer and removes the call. The content type is JSON unless the headers name another.
    void answer(Call& call, int status, http::Headers headers, std::string body);
    /// \brief Records the duration of a call, by customer and class, and counts its outcome.
    void observeCompletion(const Call& call, const std::string& outcome, core::TimePoint now);
};

/// \brief Retry delay in refusals whose cause usually passes within a second.
inline constexpr std::uint64_t shortRetryAfterMs = 500;

/// \brief Retry delay for a refusal with this code, in milliseconds; 0 if a retry cannot succeed.
[[nodiscard]] std::uint64_t suggestedRetryAfterMs(core::ResultCode code) noexcept;

/// \brief Converts a retry delay to whole milliseconds, rounded up; 0 for a negative delay.
[[nodiscard]] inline std::uint64_t toRetryAfterMs(core::Duration delay)
{
    return static_cast<std::uint64_t>((std::max<std::int64_t>(0, delay.count()) + 999) / 1000);
}

/// \brief Opens the budget account of the program's root. Returns the records that open a new program; empty if the
/// program is already open.
///
/// Errors: ProgramEnded; UnknownProgram for a sub-agent whose root program is not open; InvalidField for a class that
/// is not in the document or that the customer may not use.
[[nodiscard]] core::Expected<std::vector<records::Entry>> openProgram(
    Context& context, const Call& call, core::TimePoint now);

/// \brief Key by which engines identify the cached prompts of a program.
[[nodiscard]] std::string cacheKey(const core::ProgramKey& program);

/// \brief Class whose limits apply to the program: the recorded one, otherwise the requested one, otherwise the first
/// one of the customer. nullptr if it is not in the document of the call.
[[nodiscard]] const document::ProgramClass* programClassOf(const Context& context, const Call& call);

} // namespace lagoontiller::control
