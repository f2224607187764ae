#pragma once

#include "policy/AdmissionController.h"
#include "policy/HealthTracker.h"
#include "policy/PauseCachePolicy.h"
#include "policy/PoisonDetector.h"
#include "policy/RequestQueue.h"
#include "policy/RetryPolicy.h"
#include "policy/Router.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::policy {

/// \brief Number of one attempt of a call, issued by the scheduler and never reused.
using AttemptId = std::uint64_t;

struct SchedulerOptions {
    RouterOptions router;
    HealthOptions health;
    /// \brief `slots` is overwritten with the number derived from the endpoints and their reports.
    AdmissionOptions admission;
    RequestQueueOptions queue;
    PoisonOptions poison;
    RetryOptions retry;
    /// \brief Retry budget that every call adds, in retries.
    double retryRatio = 0.1;
    PauseCacheOptions pause;
    /// \brief Size of the keys and values of one token.
    std::uint64_t kvBytesPerToken = 100'000;
    /// \brief Whether a turn that runs on another endpoint than the previous one may fetch the KV cache from there.
    bool kvMove = true;
    /// \brief Calls sent per slot of the endpoints; the excess over 1 keeps slots busy while reports are delayed.
    double overcommitRatio = 1.1;
    /// \brief Fraction of the engines' KV memory that programs may fill before new programs are refused, divided
    /// equally among the nodes; beyond it the caches of started programs would be evicted.
    double newProgramMemoryRatio = 0.7;
};

/// \brief A call submitted to the scheduler.
struct ScheduledCall {
    /// \brief Unique on this node until the call ends.
    CallId id = 0;
    std::string customer;
    std::uint64_t program = 0;
    Urgency urgency;
    /// \brief Whether an earlier turn of the program was answered.
    bool started = false;
    RouteRequest route;
    /// \brief Upper bound of the estimated time-out (`timeout_ms` of the service). With few samples the estimate is the
    /// maximum of its kind, and a call on a silent connection would hang for minutes.
    core::Duration maxTimeout = std::chrono::seconds(60);
    /// \brief Digest of the content by which a poison request is detected; empty for a call that is not tracked.
    std::string digest;
};

/// \brief A call that the scheduler dropped; the caller must be answered with the error.
struct DroppedCall {
    CallId call = 0;
    core::Error error;
    core::Duration retryAfter {};
};

/// \brief An attempt that must be sent now.
struct Assignment {
    AttemptId attempt = 0;
    CallId call = 0;
    EndpointId endpoint = 0;
    /// \brief Expected tokens in the cache of the endpoint, or of `kvSource` if it is set.
    double cachedTokens = 0;
    /// \brief Time limit for the first byte, or for the complete answer of a tool or plain service.
    core::Duration timeout {};
    /// \brief Longest time without data after the first byte.
    core::Duration silenceTimeout {};
    /// \brief Endpoint from which the KV cache of the program should be imported before the call; empty for none.
    std::optional<EndpointId> kvSource;
    /// \brief Whether this is a second attempt beside a running one.
    bool hedge = false;
};

/// \brief Result of one scheduling step: attempts to send and calls to answer with an error.
struct ScheduleStep {
    std::vector<Assignment> assignments;
    std::vector<DroppedCall> dropped;
};

/// \brief Consequences of a failed attempt.
struct AttemptOutcome {
    /// \brief Time of the next attempt, which `Scheduler::schedule` then returns. If both this and `error` are empty,
    /// another attempt of the call is still running.
    std::optional<core::TimePoint> retryAt;
    /// \brief Error with which the call must be answered.
    std::optional<core::Error> error;
    /// \brief Notice that must be sent to the other nodes.
    std::optional<PoisonNotice> notice;
};

/// \brief A program that waits for a tool.
struct ProgramPause {
    std::uint64_t program = 0;
    std::string tool;
    /// \brief Probability that the program sends another turn.
    double returnProbability = 1;
    bool canExport = false;
};

/// \brief Action for the KV cache of a paused program, and the endpoint that holds it.
struct PauseOrder {
    CacheAction action = CacheAction::Keep;
    EndpointId endpoint = 0;
};

} // namespace lagoontiller::policy
