// Node addresses returned to callers while nodes fail, drain or lose their connection to the store.

#include "gateway/NodeRegistry.h"
#include "support/FakeRowStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

class NodeRegistryFixture {
public:
    NodeRegistryFixture()
        : store(this->context)
        , observedStore(this->store, this->storeHealth)
    {
    }

    gateway::NodeRegistry& add(const std::string& name, const std::string& zone, const std::string& region)
    {
        const gateway::NodeEntry self { name, zone, region, name + ":1", name + ":2", false };
        this->registries.push_back(std::make_unique<gateway::NodeRegistry>(this->context, this->observedStore,
            this->storeHealth, self, std::vector<std::string> { "z1", "z2", "z3" }));
        this->registries.back()->start();
        this->registries.back()->setReady(true);
        return *this->registries.back();
    }

    bool waitUntil(const std::function<bool()>& done, std::chrono::milliseconds limit = std::chrono::seconds(8))
    {
        return runUntil(this->context, done, limit);
    }

    asio::io_context context;
    FakeRowStore store;
    gateway::StoreHealth storeHealth;
    gateway::ObservedStore observedStore;
    std::vector<std::unique_ptr<gateway::NodeRegistry>> registries;
};

} // namespace

TEST(NodeRegistry, ReturnsReadyNodesOfTheCallersZone)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    auto& second = fixture.add("b", "z1", "r1");
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    second.setReady(false);
    EXPECT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 1; }));
}

// Guards against callers that are directed to a failed node.
TEST(NodeRegistry, OmitsANodeWhoseHeartbeatStopped)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    fixture.add("b", "z1", "r1");
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    fixture.registries.pop_back();
    EXPECT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 1; }));
}

// Guards against an address list that becomes empty or shorter because the store cannot be read.
TEST(NodeRegistry, KeepsItsNodesDuringAStoreOutage)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    fixture.add("b", "z1", "r1");
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 2; }));
    fixture.store.fault = StoreFault::Down;
    (void)fixture.waitUntil([] { return false; }, std::chrono::milliseconds(4'000));
    EXPECT_EQ(first.addressesFor("z1", "r1", 64).size(), 2U);
    fixture.store.fault = StoreFault::None;
    // The first read after the outage returns outdated heartbeats; nodes get time to renew them.
    (void)fixture.waitUntil([] { return false; }, std::chrono::milliseconds(2'000));
    EXPECT_EQ(first.addressesFor("z1", "r1", 64).size(), 2U);
}

// Guards against an empty address list for callers whose zone has no nodes.
TEST(NodeRegistry, FallsBackToTheRegionAndThenToAllNodes)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    EXPECT_EQ(first.addressesFor("z2", "r1", 64), std::vector<std::string> { "a:1" });
    EXPECT_EQ(first.addressesFor("z3", "r2", 64), std::vector<std::string> { "a:1" });
}

// Guards against nodes that get no callers because the zone has more nodes than a response may list.
TEST(NodeRegistry, ReturnsVaryingNodesOfALargeZone)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    for (const auto* name : { "b", "c", "d", "e", "f" })
        fixture.add(name, "z1", "r1");
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() == 6; }));
    std::set<std::string> named;
    for (int query = 0; query < 100; ++query) {
        const auto addresses = first.addressesFor("z1", "r1", 2);
        EXPECT_EQ(addresses.size(), 2U);
        named.insert(addresses.begin(), addresses.end());
    }
    EXPECT_EQ(named.size(), 6U);
}

// Guards against heartbeats that exhaust the request rate of the store as the number of nodes grows.
TEST(NodeRegistry, HeartbeatsStayWithinAQuarterOfTheStoreRate)
{
    constexpr double writesPerSecond = 800;
    for (const std::size_t nodes : { 1U, 12U, 61U, 300U, 780U }) {
        const auto seconds = std::chrono::duration<double>(gateway::NodeRegistry::heartbeatInterval(nodes)).count();
        EXPECT_LE(static_cast<double>(nodes) / seconds, writesPerSecond / 4) << nodes;
    }
}

} // namespace lagoontiller::tests
