#include "policy/RetryPolicy.h"

#include <algorithm>

namespace lagoontiller::policy {

namespace {

core::Duration jitteredDelay(const RetryOptions& options, core::Duration previous, Random& random)
{
    constexpr int delayGrowthRatio = 3;
    const core::Duration highest = std::max(options.minDelay, previous * delayGrowthRatio);
    const auto spread = uniform(random) * microseconds(highest - options.minDelay);
    const core::Duration delay = options.minDelay + core::Duration(static_cast<std::int64_t>(spread));
    return std::min(delay, options.maxDelay);
}

RetryDecision doNotRetry(const FailedCall& call, core::ResultCode code)
{
    RetryDecision decision;
    decision.code = code;
    decision.ran = call.ran;
    return decision;
}

core::ResultCode resultCodeOf(FailureKind kind)
{
    switch (kind) {
    case FailureKind::Silent:
    case FailureKind::TimedOut:
        return core::ResultCode::EndpointTimeout;
    case FailureKind::Overloaded:
        return core::ResultCode::EndpointRefused;
    default:
        return core::ResultCode::EndpointFailed;
    }
}

} // namespace

void RetryBudget::addCall() noexcept
{
    this->tokens = std::min(this->maxTokens, this->tokens + this->ratio);
}

bool RetryBudget::available() const noexcept
{
    return this->tokens >= 1;
}

bool RetryBudget::tryTake() noexcept
{
    if (!this->available()) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

RetryDecision decideRetry(
    const FailedCall& call, const RetryOptions& options, RetryBudget& budget, core::TimePoint now, Random& random)
{
    const bool mayRunAgain = call.repeatable || call.ran == core::RunState::NotRun;
    if (call.kind == FailureKind::Cancelled || !mayRunAgain) {
        return doNotRetry(call, resultCodeOf(call.kind));
    }
    if (std::ssize(call.triedEndpoints) >= options.maxAttempts) {
        return doNotRetry(call, resultCodeOf(call.kind));
    }
    const core::Duration delay = jitteredDelay(options, call.previousDelay, random);
    if (call.deadline - now <= delay) {
        return doNotRetry(call, core::ResultCode::DeadlineExceeded);
    }
    if (!budget.tryTake()) {
        return doNotRetry(call, resultCodeOf(call.kind));
    }
    RetryDecision decision;
    decision.retry = true;
    decision.delay = delay;
    decision.excluded = call.triedEndpoints;
    return decision;
}

bool decideHedge(const SlowCall& call, const RetryOptions& options, RetryBudget& budget)
{
    constexpr int minSpeedup = 2;
    const bool worthwhile
        = call.elapsed > call.usualFirstByte && call.expectedFirstByteElsewhere * minSpeedup <= call.elapsed;
    return options.hedging && call.repeatable && !call.hedged && worthwhile && budget.tryTake();
}

} // namespace lagoontiller::policy
