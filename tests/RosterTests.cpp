// Entry answers: which nodes callers are sent to while nodes die, drain or lose the store.

#include "gateway/NodeRegistry.h"
#include "support/FakeRowStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

class RosterWorld {
public:
    RosterWorld()
        : store(this->context)
        , observed(this->store, this->contact)
    {
    }

    gateway::NodeRegistry& add(const std::string& name, const std::string& zone, const std::string& region)
    {
        const gateway::NodeEntry self { name, zone, region, name + ":1", name + ":2", false };
        this->rosters.push_back(std::make_unique<gateway::NodeRegistry>(
            this->context, this->observed, this->contact, self, std::vector<std::string> { "z1", "z2", "z3" }));
        this->rosters.back()->start();
        this->rosters.back()->setReady(true);
        return *this->rosters.back();
    }

    bool until(const std::function<bool()>& done, std::chrono::milliseconds most = std::chrono::seconds(8))
    {
        return runUntil(this->context, done, most);
    }

    asio::io_context context;
    FakeRowStore store;
    gateway::StoreHealth contact;
    gateway::ObservedStore observed;
    std::vector<std::unique_ptr<gateway::NodeRegistry>> rosters;
};

} // namespace

TEST(Roster, SendsCallersToReadyNodesOfTheirZone)
{
    RosterWorld world;
    auto& first = world.add("a", "z1", "r1");
    auto& second = world.add("b", "z1", "r1");
    ASSERT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    second.setReady(false);
    EXPECT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 1; }));
}

// Guards against callers that are sent to a node that died.
TEST(Roster, LeavesOutANodeWhoseHeartbeatStopped)
{
    RosterWorld world;
    auto& first = world.add("a", "z1", "r1");
    world.add("b", "z1", "r1");
    ASSERT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    world.rosters.pop_back();
    EXPECT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 1; }));
}

// Guards against an empty or shrunken entry answer because the store cannot be read.
TEST(Roster, HoldsItsViewWhileTheStoreIsAway)
{
    RosterWorld world;
    auto& first = world.add("a", "z1", "r1");
    world.add("b", "z1", "r1");
    ASSERT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    world.store.fault = StoreFault::Down;
    (void)world.until([] { return false; }, std::chrono::milliseconds(4'000));
    EXPECT_EQ(first.addressesFor("z1", "r1", 64).size(), 2U);
    world.store.fault = StoreFault::None;
    // The first reading after the outage finds old heartbeats; they get time to be renewed.
    (void)world.until([] { return false; }, std::chrono::milliseconds(2'000));
    EXPECT_EQ(first.addressesFor("z1", "r1", 64).size(), 2U);
}

// Guards against callers of a zone without nodes that get no address.
TEST(Roster, FallsBackToTheRegionAndThenToAllNodes)
{
    RosterWorld world;
    auto& first = world.add("a", "z1", "r1");
    EXPECT_EQ(first.addressesFor("z2", "r1", 64), std::vector<std::string> { "a:1" });
    EXPECT_EQ(first.addressesFor("z3", "r2", 64), std::vector<std::string> { "a:1" });
}

// Guards against nodes beyond the most that an answer may name, which no caller would ever be sent to.
TEST(Roster, NamesOtherNodesOfALargeZoneInEachAnswer)
{
    RosterWorld world;
    auto& first = world.add("a", "z1", "r1");
    for (const auto* name : { "b", "c", "d", "e", "f" })
        world.add(name, "z1", "r1");
    ASSERT_TRUE(world.until([&first] { return first.addressesFor("z1", "r1", 64).size() == 6; }));
    std::set<std::string> named;
    for (int question = 0; question < 100; ++question) {
        const auto addresses = first.addressesFor("z1", "r1", 2);
        EXPECT_EQ(addresses.size(), 2U);
        named.insert(addresses.begin(), addresses.end());
    }
    EXPECT_EQ(named.size(), 6U);
}

// Guards against heartbeats that use up the store's rate as the nodes grow in number.
TEST(Roster, HeartbeatsOfAllNodesStayAPartOfTheStoresRate)
{
    constexpr double writesPerSecond = 800;
    for (const std::size_t nodes : { 1U, 12U, 61U, 300U, 780U }) {
        const auto seconds = std::chrono::duration<double>(gateway::NodeRegistry::heartbeatInterval(nodes)).count();
        EXPECT_LE(static_cast<double>(nodes) / seconds, writesPerSecond / 4) << nodes;
    }
}

} // namespace lagoontiller::tests
