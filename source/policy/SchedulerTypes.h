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
    /// \brief `slots` is set from the endpoints and their reports.
    AdmissionOptions admission;
    RequestQueueOptions queue;
    PoisonOptions poison;
    RetryOptions retry;
    double retryRatio = 0.1;
    PauseCacheOptions pause;
    /// \brief Size of a token's keys and values.
    std::uint64_t kvBytesPerToken = 100'000;
    /// \brief Whether a turn that leaves its cached endpoint may fetch the KV cache from it.
    bool kvMove = true;
    /// \brief Calls sent per slot of the endpoints; the part above 1 keeps slots busy while reports lag.
    double overcommitRatio = 1.1;
    /// \brief Part of the engines' KV memory, divided among the nodes, up to which this node accepts new programs;
    /// beyond it the caches of started programs would be evicted.
    double newProgramMemoryRatio = 0.7;
};

/// \brief A call that asks for an endpoint.
struct ScheduledCall {
    /// \brief Unique on this node until the call has ended.
    CallId id = 0;
    std::string customer;
    std::uint64_t program = 0;
    Urgency urgency;
    /// \brief Whether an earlier turn of the program was answered.
    bool started = false;
    RouteRequest route;
    /// \brief Bound of the measured time-out (`timeout_ms` of the service): with few samples the estimate is its
    /// ceiling, and a call on a silent connection would hang for minutes.
    core::Duration maxTimeout = std::chrono::seconds(60);
    /// \brief Digest of the content by which a poison request is recognised; empty means not tracked.
    std::string digest;
};

/// \brief A call that the scheduler gave up; it must be answered with the error.
struct DroppedCall {
    CallId call = 0;
    core::Error error;
    core::Duration retryAfter {};
};

/// \brief One attempt to be sent now.
struct Assignment {
    AttemptId attempt = 0;
    CallId call = 0;
    EndpointId endpoint = 0;
    double cachedTokens = 0;
    /// \brief Time to the first byte, or for tool and plain services to the answer.
    core::Duration timeout {};
    /// \brief Longest silence after the first byte.
    core::Duration silenceTimeout {};
    /// \brief Endpoint whose KV cache of the program should be imported first.
    std::optional<EndpointId> kvSource;
    /// \brief A second attempt beside a running one.
    bool hedge = false;
};

/// \brief What is to be done now.
struct ScheduleStep {
    std::vector<Assignment> assignments;
    std::vector<DroppedCall> dropped;
};

/// \brief What follows a failed attempt.
struct AttemptOutcome {
    /// \brief Time of the next attempt, which `next` returns then; otherwise `error` answers the call unless another
    /// attempt of it is still running.
    std::optional<core::TimePoint> retryAt;
    std::optional<core::Error> error;
    /// \brief To be spread to the other nodes.
    std::optional<PoisonNotice> notice;
};

/// \brief A program that waits for a tool.
struct ProgramPause {
    std::uint64_t program = 0;
    std::string tool;
    double returnProbability = 1;
    bool canExport = false;
};

/// \brief What to do with the cache of a paused program, and where it is.
struct PauseOrder {
    CacheAction action = CacheAction::Keep;
    EndpointId endpoint = 0;
};

} // namespace lagoontiller::policy
