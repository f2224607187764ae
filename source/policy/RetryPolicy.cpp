#include "policy/RetryPolicy.h"

#include <algorithm>

namespace lagoontiller::policy {

namespace {

core::Duration jitteredDelay(const RetryOptions& options, core::Duration previous, Random& random)
{
    constexpr int growth = 3;
    const core::Duration highest = std::max(options.firstDelay, previous * growth);
    const auto spread = uniform(random) * microseconds(highest - options.firstDelay);
    const core::Duration delay = options.firstDelay + core::Duration(static_cast<std::int64_t>(spread));
    return std::min(delay, options.longestDelay);
}

RetryDecision giveUp(const FailedCall& call, core::ResultCode code)
{
    RetryDecision decision;
    decision.code = code;
    decision.ran = call.ran;
    return decision;
}

core::ResultCode codeOf(FailureKind kind)
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
    this->tokens = std::min(this->maximum, this->tokens + this->ratio);
}

bool RetryBudget::available() const noexcept
{
    return this->tokens >= 1;
}

bool RetryBudget::take() noexcept
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
        return giveUp(call, codeOf(call.kind));
    }
    if (std::ssize(call.tried) >= options.maximumAttempts) {
        return giveUp(call, codeOf(call.kind));
    }
    const core::Duration delay = jitteredDelay(options, call.previousDelay, random);
    if (call.deadline - now <= delay) {
        return giveUp(call, core::ResultCode::DeadlineExceeded);
    }
    if (!budget.take()) {
        return giveUp(call, codeOf(call.kind));
    }
    RetryDecision decision;
    decision.retry = true;
    decision.delay = delay;
    decision.excluded = call.tried;
    return decision;
}

bool decideHedge(const SlowCall& call, const RetryOptions& options, RetryBudget& budget)
{
    constexpr int requiredGain = 2;
    const bool pays = call.elapsed > call.usual && call.elsewhere * requiredGain <= call.elapsed;
    return options.hedging && call.repeatable && !call.hedged && pays && budget.take();
}

} // namespace lagoontiller::policy
