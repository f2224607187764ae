// Node addresses returned to callers while nodes fail, drain or lose their connection to the store.

#include "gateway/NodeRegistry.h"
#include "proto/gateway.pb.h"
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

    gateway::NodeRegistry& add(const std::string& name, const std::string& zone, const std::string& region,
        const std::string& incarnation = {})
    {
        const gateway::NodeEntry self { name, zone, region, name + ":1", name + ":2", false, incarnation };
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

// Guards against callers of another zone that are sent to nodes which have stopped or died since that zone was last
// read.
TEST(NodeRegistry, ReadsAnotherZoneBeforeItNamesItsNodes)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    auto& stopping = fixture.add("b", "z2", "r2");
    fixture.add("c", "z2", "r2");
    const auto named = [&] {
        std::vector<std::string> addresses;
        bool read = false;
        first.refreshZone("z2", core::monotonicNow(), [&] { read = true; });
        EXPECT_TRUE(fixture.waitUntil([&read] { return read; }));
        return first.addressesFor("z2", "r2", 64);
    };
    const auto pass = [&fixture](std::chrono::milliseconds time) {
        (void)fixture.waitUntil([] { return false; }, time);
        fixture.store.now += static_cast<std::uint64_t>(time.count());
    };
    for (int beat = 0; beat < 3; ++beat)
        pass(std::chrono::milliseconds(600));
    EXPECT_EQ(named(), (std::vector<std::string> { "b:1", "c:1" }));
    stopping.setReady(false);
    pass(std::chrono::milliseconds(600));
    EXPECT_EQ(named(), std::vector<std::string> { "c:1" });
    // Dies without notice.
    fixture.registries.pop_back();
    for (int beat = 0; beat < 5; ++beat)
        pass(std::chrono::milliseconds(600));
    EXPECT_EQ(named(), std::vector<std::string> { "a:1" });
}

// Guards against nodes of other zones that count as dead because the store refused their heartbeats, like calls of this
// node, for overload.
TEST(NodeRegistry, KeepsNodesOfOtherZonesWhileTheStoreRefusesSomeCallsForOverload)
{
    for (const bool overloaded : { false, true }) {
        NodeRegistryFixture fixture;
        fixture.store.now = 100'000;
        auto& first = fixture.add("a", "z1", "r1");
        ASSERT_TRUE(fixture.waitUntil([&fixture] { return fixture.storeHealth.knowsStoreTime(); }));
        gateway::wire::NodeRecord other;
        other.set_name("b");
        other.set_zone("z2");
        other.set_address("b:1");
        other.set_ready(true);
        other.set_interval_ms(1'000);
        other.set_written_at_ms(95'000);
        fixture.store.put({ "nodes", "z2", "b" }, other.SerializeAsString());
        if (overloaded) {
            const auto now = core::monotonicNow();
            fixture.storeHealth.callFailed(gateway::StoreFailure::Overloaded, now, now);
            EXPECT_FALSE(fixture.storeHealth.failing());
        }
        // The first read of the zone may have been before the row was written.
        (void)fixture.waitUntil([] { return false; }, std::chrono::milliseconds(600));
        bool read = false;
        first.refreshZone("z2", core::monotonicNow(), [&read] { read = true; });
        ASSERT_TRUE(fixture.waitUntil([&read] { return read; }));
        EXPECT_EQ(first.addressesFor("z2", "r2", 64), std::vector<std::string> { overloaded ? "b:1" : "a:1" });
    }
}

// Guards against a row of another writer that hides the other nodes, or makes a node live for ever.
TEST(NodeRegistry, IgnoresRowsThatNoNodeWrites)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1");
    fixture.add("b", "z1", "r1");
    const auto record = [](const std::string& name, const std::string& zone, std::uint64_t intervalMs) {
        gateway::wire::NodeRecord result;
        result.set_name(name);
        result.set_zone(zone);
        result.set_address(name + ":1");
        result.set_ready(true);
        result.set_interval_ms(intervalMs);
        return result.SerializeAsString();
    };
    const auto put = [&fixture](const std::string& key, const std::string& value) {
        fixture.store.put({ "nodes", "z1", key }, value);
    };
    put("garbage", std::string(1'000, '\xff'));
    put("empty", "");
    put("another", record("b", "z1", 1'000));
    put("elsewhere", record("elsewhere", "z2", 1'000));
    put("eternal", record("eternal", "z1", std::numeric_limits<std::uint64_t>::max()));
    put("good", record("good", "z1", 1'000));
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.addressesFor("z1", "r1", 64).size() >= 3; }));
    EXPECT_EQ(first.addressesFor("z1", "r1", 64), (std::vector<std::string> { "a:1", "b:1", "good:1" }));
}

// Guards against taking a node that was killed and has started again for the one that holds tokens.
TEST(NodeRegistry, TellsIncarnationsApart)
{
    NodeRegistryFixture fixture;
    const auto& first = fixture.add("a", "z1", "r1", "a1");
    EXPECT_TRUE(first.isAlive("b", "b1")) << "no zone has been read yet";
    fixture.add("b", "z1", "r1", "b1");
    ASSERT_TRUE(fixture.waitUntil([&first] { return first.peerAddress("b") == "b:2"; }));
    EXPECT_TRUE(first.isAlive("a", "a1"));
    EXPECT_FALSE(first.isAlive("a", "a0"));
    EXPECT_TRUE(first.isAlive("b", "b1"));
    EXPECT_FALSE(first.isAlive("c", "c1"));
    fixture.add("b", "z1", "r1", "b2");
    EXPECT_TRUE(fixture.waitUntil([&first] { return first.isAlive("b", "b2") && !first.isAlive("b", "b1"); }));
}

// Guards against callers that are sent to a stopping node until its row is read, and against a restarted node that gets
// none.
TEST(NodeRegistry, OmitsANodeThatAnnouncedItsStop)
{
    NodeRegistryFixture fixture;
    auto& first = fixture.add("a", "z1", "r1", "a1");
    auto& second = fixture.add("b", "z1", "r1", "b1");
    const auto names = [&first] { return first.addressesFor("z1", "r1", 64).size(); };
    ASSERT_TRUE(fixture.waitUntil([&] { return names() == 2; }));
    first.noteStopping("b", "b0");
    EXPECT_EQ(names(), 2U) << "an earlier start of the node announced it";
    first.noteStopping("b", "b1");
    EXPECT_EQ(names(), 1U);
    // A row from before the announcement that is read after it.
    second.setReady(false);
    second.setReady(true);
    EXPECT_FALSE(fixture.waitUntil([&] { return names() == 2; }, std::chrono::milliseconds(2'500)));
    fixture.add("b", "z1", "r1", "b2");
    EXPECT_TRUE(fixture.waitUntil([&] { return names() == 2; }));
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
