// The endpoints that a node may send calls to, as their entries are added and removed.

#include "gateway/EndpointDirectory.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using Ids = std::vector<std::string>;

const core::TimePoint now { std::chrono::hours(1) };

gateway::Endpoint endpoint(const std::string& id, const std::string& service, bool draining = false)
{
    return { id, service, "127.0.0.1:1", "z", 4, draining, 1 };
}

} // namespace

// Guards against calls to endpoints that drain, left or moved to another service, and against lists in another order on
// another node.
TEST(Directory, ListsTheServingEndpointsOfAServiceInOrder)
{
    gateway::EndpointDirectory directory({});
    for (const auto* const id : { "c", "a", "d", "b" })
        directory.upsert(endpoint(id, "s"), now);
    EXPECT_EQ(directory.servingEndpoints("s"), (Ids { "a", "b", "c", "d" }));
    directory.upsert(endpoint("b", "s", true), now);
    EXPECT_EQ(directory.servingEndpoints("s"), (Ids { "a", "c", "d" }));
    directory.upsert(endpoint("c", "t"), now);
    EXPECT_EQ(directory.servingEndpoints("s"), (Ids { "a", "d" }));
    EXPECT_EQ(directory.servingEndpoints("t"), (Ids { "c" }));
    directory.remove("a", now);
    directory.upsert(endpoint("b", "s"), now);
    EXPECT_EQ(directory.servingEndpoints("s"), (Ids { "b", "d" }));
    auto again = endpoint("d", "t");
    again.startedAt = 2;
    directory.upsert(again, now);
    EXPECT_EQ(directory.servingEndpoints("s"), (Ids { "b" }));
    EXPECT_EQ(directory.servingEndpoints("t"), (Ids { "c", "d" }));
}

// Guards against a startup that takes seconds with thousands of endpoints: the cost to add an endpoint must not grow
// with the number of known endpoints. 3,000 took 2.3 s when it did.
TEST(Directory, LearnsThousandsOfEndpointsInAFractionOfASecond)
{
    gateway::EndpointDirectory directory({});
    const auto start = core::monotonicNow();
    for (int number = 0; number < 6'000; ++number)
        directory.upsert(endpoint("i-" + std::to_string(number * 7'919 % 6'000), "s"), now);
    EXPECT_EQ(directory.servingEndpoints("s").size(), 6'000U);
    EXPECT_LT(core::monotonicNow() - start, std::chrono::seconds(2));
}

} // namespace lagoontiller::tests
