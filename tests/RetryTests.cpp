#include "policy/RetryPolicy.h"
#include "policy/TimeoutEstimator.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };

struct RetryCase {
    std::string name;
    FailureKind kind;
    bool repeatable;
    core::RunState ran;
    std::vector<EndpointId> tried;
    core::Duration left;
    double tokens;
    bool retry;
    core::ResultCode code;
};

struct TimeoutCase {
    std::string name;
    TimeoutKind kind;
    int samples;
    core::Duration usual;
    core::Duration shortest;
    core::Duration longest;
};

} // namespace

class RetryTable : public testing::TestWithParam<RetryCase> { };

// Guards against retrying a non-repeatable call that may have run, exceeding a limit, and retrying on an endpoint that
// already failed.
TEST_P(RetryTable, Decides)
{
    const RetryCase& c = GetParam();
    RetryBudget budget(0.1, c.tokens);
    Random random(3);
    const auto decision
        = decideRetry({ c.kind, c.repeatable, c.ran, c.tried, {}, start + c.left }, {}, budget, start, random);
    EXPECT_EQ(decision.retry, c.retry);
    EXPECT_EQ(budget.available(), c.tokens - (c.retry ? 1 : 0) >= 1);
    if (c.retry) {
        EXPECT_EQ(decision.excluded, c.tried);
    } else {
        EXPECT_EQ(decision.code, c.code);
        EXPECT_EQ(decision.ran, c.ran);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RetryTable,
    testing::Values(RetryCase { "Repeatable", FailureKind::Crashed, true, core::RunState::MayHaveRun, { 1 }, seconds(9),
                        1, true, core::ResultCode::Ok },
        RetryCase { "NotRepeatable", FailureKind::Crashed, false, core::RunState::MayHaveRun, { 1 }, seconds(9), 1,
            false, core::ResultCode::EndpointFailed },
        RetryCase { "NotRepeatableButNotRun", FailureKind::ConnectionRefused, false, core::RunState::NotRun, { 1 },
            seconds(9), 1, true, core::ResultCode::Ok },
        RetryCase { "NoBudget", FailureKind::Silent, true, core::RunState::MayHaveRun, { 1 }, seconds(9), 0.9, false,
            core::ResultCode::EndpointTimeout },
        RetryCase { "TooManyAttempts", FailureKind::Overloaded, true, core::RunState::NotRun, { 1, 2, 3, 4 },
            seconds(9), 9, false, core::ResultCode::EndpointRefused },
        RetryCase { "NoTimeLeft", FailureKind::TimedOut, true, core::RunState::MayHaveRun, { 1 }, milliseconds(50), 9,
            false, core::ResultCode::DeadlineExceeded },
        RetryCase { "Cancelled", FailureKind::Cancelled, true, core::RunState::MayHaveRun, { 1 }, seconds(9), 9, false,
            core::ResultCode::EndpointFailed }),
    [](const auto& info) { return info.param.name; });

// Guards against retries that multiply the load of a failing service.
RC_GTEST_PROP(RetryBudgetRule, LimitsRetries, (const std::vector<bool>& steps))
{
    RetryBudget budget;
    double calls = 0;
    double retries = 0;
    for (const bool failing : steps) {
        for (int i = 0; i < 5; ++i) {
            budget.addCall();
            calls += 1;
            retries += failing && budget.tryTake() ? 1 : 0;
            RC_ASSERT(retries <= 3 + 0.1 * calls + 1e-9);
        }
    }
}

// Guards against synchronized retries and against delays outside the bounds.
RC_GTEST_PROP(RetryDelay, IsJitteredWithinBounds, (std::uint32_t seed))
{
    const RetryOptions options;
    RetryBudget budget(0.1, 50);
    Random random(seed);
    const auto previous = milliseconds(*rc::gen::inRange(0, 10'000));
    std::set<core::Duration> delays;
    for (int i = 0; i < 20; ++i) {
        const auto decision = decideRetry({ FailureKind::Crashed, true, core::RunState::MayHaveRun, { 1 }, previous },
            options, budget, start, random);
        RC_ASSERT(decision.delay >= options.minDelay && decision.delay <= options.maxDelay);
        RC_ASSERT(decision.delay <= std::max<core::Duration>(options.minDelay, previous * 3));
        delays.insert(decision.delay);
    }
    RC_ASSERT(previous < milliseconds(100) || delays.size() > 1);
}

// Guards against hedging non-repeatable calls, hedging twice, without expected gain, without budget or while disabled.
TEST(Hedging, NeedsEveryCondition)
{
    RetryOptions options;
    options.hedging = true;
    const SlowCall slow { true, seconds(4), seconds(3), seconds(2), false };
    const auto decide = [](SlowCall call, const RetryOptions& used, double tokens) {
        RetryBudget budget(0.1, tokens);
        return decideHedge(call, used, budget);
    };
    EXPECT_TRUE(decide(slow, options, 1));
    EXPECT_FALSE(decide(slow, RetryOptions {}, 1));
    EXPECT_FALSE(decide(slow, options, 0));
    EXPECT_FALSE(decide({ false, seconds(4), seconds(3), seconds(2), false }, options, 1));
    EXPECT_FALSE(decide({ true, seconds(3), seconds(3), seconds(1), false }, options, 1));
    EXPECT_FALSE(decide({ true, seconds(4), seconds(3), seconds(3), false }, options, 1));
    EXPECT_FALSE(decide({ true, seconds(4), seconds(3), seconds(2), true }, options, 1));
}

class TimeoutTable : public testing::TestWithParam<TimeoutCase> { };

// Guards against time-outs below the typical duration, without minimum or maximum, or based on too few samples.
TEST_P(TimeoutTable, FollowsTheDistribution)
{
    const TimeoutCase& c = GetParam();
    TimeoutEstimator estimator;
    for (int i = 0; i < c.samples; ++i) {
        estimator.observe("s", c.kind, c.usual);
    }
    EXPECT_GE(estimator.timeout("s", c.kind), c.shortest);
    EXPECT_LE(estimator.timeout("s", c.kind), c.longest);
}

INSTANTIATE_TEST_SUITE_P(Table, TimeoutTable,
    testing::Values(TimeoutCase { "TooFew", TimeoutKind::FirstByte, 19, milliseconds(10), seconds(120), seconds(120) },
        TimeoutCase { "Floor", TimeoutKind::FirstByte, 100, milliseconds(10), seconds(2), seconds(2) },
        TimeoutCase { "Twice", TimeoutKind::FirstByte, 100, seconds(4), seconds(8), milliseconds(9'600) },
        TimeoutCase { "TwiceAfterHalving", TimeoutKind::FirstByte, 5'000, seconds(4), seconds(8), milliseconds(9'600) },
        TimeoutCase { "Ceiling", TimeoutKind::InterToken, 100, seconds(25), seconds(30), seconds(30) },
        TimeoutCase { "ServiceCall", TimeoutKind::ServiceCall, 100, seconds(60), seconds(120), seconds(144) }),
    [](const auto& info) { return info.param.name; });

// Guards against a quantile that covers a smaller share of the samples than requested.
RC_GTEST_PROP(Distribution, QuantileCoversItsShare, (const std::vector<std::uint16_t>& samples))
{
    DurationDistribution distribution;
    for (const auto sample : samples) {
        distribution.observe(milliseconds(sample));
    }
    for (const double part : { 0.0, 0.5, 0.99, 1.0 }) {
        const auto bound = distribution.quantile(part) + core::Duration(1);
        const auto within
            = std::count_if(samples.begin(), samples.end(), [&](auto sample) { return milliseconds(sample) <= bound; });
        RC_ASSERT(static_cast<double>(within) >= part * static_cast<double>(samples.size()));
    }
}

} // namespace lagoontiller::policy
