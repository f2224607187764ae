// What a node believes of its contact with the store, from how its calls end.

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

// Guards against a store that counts as lost again and again after an outage, whenever a call of the outage runs into
// its time-out.
TEST(StoreContact, CallThatBeganBeforeTheLastAnswerSaysNothing)
{
    gateway::StoreHealth contact;
    contact.callSucceeded(milliseconds(4), at(0));
    contact.callFailed(StoreFailure::Unknown, at(100), at(350));
    EXPECT_TRUE(contact.failing());
    contact.callSucceeded(milliseconds(4), at(1'000));
    contact.callFailed(StoreFailure::Unknown, at(700), at(1'200));
    EXPECT_FALSE(contact.failing());
    // Rows may have lapsed meanwhile all the same.
    EXPECT_TRUE(contact.failedWithin(milliseconds(100), at(1'200)));
    contact.callFailed(StoreFailure::Unknown, at(1'100), at(1'400));
    EXPECT_TRUE(contact.failing());
}

// Guards against an answer that is awaited for the longest time because many calls were under way when the store went
// silent.
TEST(StoreContact, CallsUnderWayTogetherLengthenTheTimeOutOnce)
{
    gateway::StoreHealth contact;
    contact.callSucceeded(milliseconds(4), at(0));
    const auto before = contact.callTimeout();
    for (int call = 0; call < 10; ++call)
        contact.callFailed(StoreFailure::Unknown, at(call), at(250 + call));
    EXPECT_EQ(contact.callTimeout(), 2 * before);
    contact.callFailed(StoreFailure::Unknown, at(300), at(800));
    EXPECT_GT(contact.callTimeout(), 2 * before);
}

} // namespace lagoontiller::tests
