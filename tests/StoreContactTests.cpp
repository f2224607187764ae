// Store availability as a node infers it from the outcomes of its calls.

#include "gateway/StoreHealth.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::StoreFailure;
using std::chrono::milliseconds;

const core::TimePoint start { std::chrono::hours(1) };

core::TimePoint at(int sinceStartMs)
{
    return start + milliseconds(sinceStartMs);
}

} // namespace

// Guards against a store that is repeatedly reported as failing after an outage: calls that began during the outage
// reach their time-outs only after it.
TEST(StoreHealth, FailureOfACallBegunBeforeTheLastSuccessIsIgnored)
{
    gateway::StoreHealth storeHealth;
    storeHealth.callSucceeded(milliseconds(4), at(0));
    storeHealth.callFailed(StoreFailure::Unknown, at(100), at(350));
    EXPECT_TRUE(storeHealth.failing());
    storeHealth.callSucceeded(milliseconds(4), at(1'000));
    storeHealth.callFailed(StoreFailure::Unknown, at(700), at(1'200));
    EXPECT_FALSE(storeHealth.failing());
    // The failure still counts here because rows may have expired in the meantime.
    EXPECT_TRUE(storeHealth.failedWithin(milliseconds(100), at(1'200)));
    storeHealth.callFailed(StoreFailure::Unknown, at(1'100), at(1'400));
    EXPECT_TRUE(storeHealth.failing());
}

// Guards against a call time-out that grows to its maximum because many concurrent calls failed when the store stopped
// replying.
TEST(StoreHealth, ConcurrentFailuresDoubleTheTimeoutOnce)
{
    gateway::StoreHealth storeHealth;
    storeHealth.callSucceeded(milliseconds(4), at(0));
    const auto before = storeHealth.callTimeout();
    for (int call = 0; call < 10; ++call)
        storeHealth.callFailed(StoreFailure::Unknown, at(call), at(250 + call));
    EXPECT_EQ(storeHealth.callTimeout(), 2 * before);
    storeHealth.callFailed(StoreFailure::Unknown, at(300), at(800));
    EXPECT_GT(storeHealth.callTimeout(), 2 * before);
}

} // namespace lagoontiller::tests
