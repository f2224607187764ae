#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

using std::chrono::seconds;

class PausedNode : public testing::TestWithParam<core::Duration> { };

} // namespace

// Guards against a resumed process that declares others dead because its timers expired, stays dead itself, or keeps
// its old incarnation, with which it cannot refute its death.
TEST_P(PausedNode, RefutesItsDeathAndRejoins)
{
    NetworkOptions options;
    options.nodes = 12;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    const auto before = network.membership(7).localMember().incarnation;
    network.pause(7);
    network.run(GetParam());
    const auto deathsBefore = network.deaths();
    network.resume(7);
    EXPECT_GT(network.membership(7).localMember().incarnation, before);
    network.run(std::chrono::milliseconds(100));
    const auto took = network.runUntil([&] { return network.isConverged(); }, seconds(10));
    EXPECT_TRUE(took);
    EXPECT_TRUE(network.membership(7).isViewFresh());
    EXPECT_EQ(network.deaths(), deathsBefore) << "the resumed node declared living nodes dead";
}

INSTANTIATE_TEST_SUITE_P(
    Lengths, PausedNode, testing::Values(seconds(3), seconds(10), seconds(120), std::chrono::minutes(90)));

// Guards against a resumed node that continues with an outdated member list.
TEST(PausedNodeView, LearnsWhoDiedMeanwhile)
{
    NetworkOptions options;
    options.nodes = 12;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    network.pause(7);
    network.run(seconds(5));
    network.kill(3);
    network.kill(9);
    network.run(seconds(30));
    network.resume(7);
    EXPECT_FALSE(network.membership(7).isViewFresh());
    const auto took = network.runUntil([&] { return network.membership(7).isViewFresh(); }, seconds(1));
    ASSERT_TRUE(took);
    EXPECT_EQ(network.membership(7).find(VirtualNetwork::nameOf(3))->state, wire::DEAD);
    EXPECT_EQ(network.membership(7).find(VirtualNetwork::nameOf(9))->state, wire::DEAD);
}

// Guards against a node that counts peers as reachable although it receives nothing from them.
TEST(PausedNodeView, CutOffNodeReachesNobody)
{
    NetworkOptions options;
    options.nodes = 48;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    EXPECT_EQ(network.membership(20).reachableCount(network.now()), 47U);
    network.setGroup(20, 1);
    network.run(seconds(3));
    EXPECT_EQ(network.membership(20).reachableCount(network.now()), 0U);
}

// Guards against a resumed node that refutes its death only after it learns of it: its first message must already carry
// a higher incarnation, and it must request the member list.
TEST(PausedNodeView, FirstMessagesAfterThePauseRefuteAndAsk)
{
    RandomGenerator generator(1);
    core::TimePoint now(seconds(100));
    MembershipSettings settings;
    settings.seeds = { "127.0.0.2:1" };
    Member self { "self", "127.0.0.1:1", {}, {}, {}, 5, wire::ALIVE, false, 0 };
    Membership membership(self, settings, generator, now);
    now += settings.pauseThreshold + std::chrono::milliseconds(1);
    const auto effects = membership.tick(now);
    EXPECT_EQ(membership.localMember().incarnation, 6U);
    const auto asks = std::count_if(effects.begin(), effects.end(), [](const MembershipEffect& effect) {
        const auto* message = std::get_if<SendMessage>(&effect);
        return message != nullptr && message->envelope.join().self().incarnation() == 6;
    });
    EXPECT_EQ(asks, 1);
}

} // namespace lagoontiller::nodes::support
