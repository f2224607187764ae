#pragma once

#include "core/Error.h"
#include "policy/Types.h"

#include <vector>

namespace lagoontiller::policy {

/// \brief Token bucket of one service: every call adds a part of a token, every retry or hedge takes one.
///
/// Retries over any time are at most `initial` plus `ratio` of the calls, so that a failing service does not receive
/// a multiple of its load.
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
    /// \brief Takes a token; false when none is left.
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
    /// \brief Off until the policy bench shows that hedging pays.
    bool hedging = false;
};

/// \brief A call whose last attempt failed.
struct FailedCall {
    FailureKind kind = FailureKind::TimedOut;
    /// \brief Whether the document and the caller allow the call to run twice.
    bool repeatable = false;
    /// \brief Whether the failed attempt ran; a refused connection did not.
    core::RunState ran = core::RunState::MayHaveRun;
    /// \brief Endpoints of all attempts, the last one included.
    std::vector<EndpointId> triedEndpoints;
    /// \brief Delay before the last attempt; 0 for the first.
    core::Duration previousDelay {};
    core::TimePoint deadline = core::TimePoint::max();
};

struct RetryDecision {
    bool retry = false;
    core::Duration delay {};
    /// \brief Endpoints that the next attempt must not use.
    std::vector<EndpointId> excluded;
    /// \brief Answer to the caller when there is no retry.
    core::ResultCode code = core::ResultCode::EndpointFailed;
    core::RunState ran = core::RunState::NotRun;
    [[nodiscard]] bool operator==(const RetryDecision&) const = default;
};

/// \brief Retries only what may be repeated or surely did not run, on another endpoint, after decorrelated jitter
/// (uniform between the first delay and three times the previous one). A decided retry has taken its budget token.
[[nodiscard]] RetryDecision decideRetry(
    const FailedCall& call, const RetryOptions& options, RetryBudget& budget, core::TimePoint now, Random& random);

/// \brief A running call that has produced nothing yet.
struct SlowCall {
    bool repeatable = false;
    core::Duration elapsed {};
    /// \brief 95th percentile of the time to the first byte.
    core::Duration usualFirstByte {};
    /// \brief Expected time to the first byte on another endpoint.
    core::Duration expectedFirstByteElsewhere {};
    bool hedged = false;
};

/// \brief Whether to send a second attempt beside the first: the wait exceeds the usual, another endpoint is expected
/// to answer within half of it, and the budget has a token, which is taken.
[[nodiscard]] bool decideHedge(const SlowCall& call, const RetryOptions& options, RetryBudget& budget);

} // namespace lagoontiller::policy
