#pragma once

#include "core/Error.h"
#include "policy/Types.h"

#include <vector>

namespace lagoontiller::policy {

/// \brief Token bucket of one service: every call adds `ratio` tokens, every retry or hedge takes one.
///
/// The number of retries and hedges is at most `initial` plus `ratio` times the number of calls, so that retries do not
/// multiply the load of a failing service.
class RetryBudget {
public:
    explicit RetryBudget(double ratio = 0.1, double initial = 3, double maxTokens = 50)
        : ratio(ratio)
        , maxTokens(maxTokens)
        , tokens(initial)
    {
    }

    void addCall() noexcept;
    [[nodiscard]] bool available() const noexcept;
    /// \brief Takes a token. Returns false when none is left.
    [[nodiscard]] bool tryTake() noexcept;

private:
    double ratio;
    double maxTokens;
    double tokens;
};

struct RetryOptions {
    int maxAttempts = 4;
    core::Duration minDelay = std::chrono::milliseconds(50);
    core::Duration maxDelay = std::chrono::seconds(5);
    /// \brief Whether slow calls are hedged. Off because the policy bench has not shown a benefit.
    bool hedging = false;
};

/// \brief A call whose last attempt failed.
struct FailedCall {
    FailureKind kind = FailureKind::TimedOut;
    /// \brief Whether the document and the caller allow the call to run more than once.
    bool repeatable = false;
    /// \brief Whether a failed attempt may have run; an attempt with a refused connection has not.
    core::RunState ran = core::RunState::MayHaveRun;
    /// \brief Endpoints of all attempts, including the last one.
    std::vector<EndpointId> triedEndpoints;
    /// \brief Delay before the last attempt; 0 if it was the first.
    core::Duration previousDelay {};
    core::TimePoint deadline = core::TimePoint::max();
};

struct RetryDecision {
    bool retry = false;
    core::Duration delay {};
    /// \brief Endpoints that the next attempt must not use.
    std::vector<EndpointId> excluded;
    /// \brief Result code for the caller when there is no retry.
    core::ResultCode code = core::ResultCode::EndpointFailed;
    core::RunState ran = core::RunState::NotRun;
    [[nodiscard]] bool operator==(const RetryDecision&) const = default;
};

/// \brief Decides whether a failed call is retried. Only a call that is repeatable or has not run is retried, on
/// another endpoint and after a delay with decorrelated jitter (uniform between `minDelay` and three times the previous
/// delay, at most `maxDelay`). A cancelled call is not retried. A decision to retry has taken a token from the budget.
[[nodiscard]] RetryDecision decideRetry(
    const FailedCall& call, const RetryOptions& options, RetryBudget& budget, core::TimePoint now, Random& random);

/// \brief A running call that has not received its first byte.
struct SlowCall {
    bool repeatable = false;
    core::Duration elapsed {};
    /// \brief 95th percentile of the time to the first byte.
    core::Duration usualFirstByte {};
    /// \brief Expected time to the first byte on another endpoint.
    core::Duration expectedFirstByteElsewhere {};
    bool hedged = false;
};

/// \brief Returns whether to send a second attempt (hedge): the elapsed time exceeds the usual time to the first byte,
/// another endpoint is expected to need at most half of the elapsed time, and the budget has a token, which is taken.
[[nodiscard]] bool decideHedge(const SlowCall& call, const RetryOptions& options, RetryBudget& budget);

} // namespace lagoontiller::policy
