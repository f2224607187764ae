#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

using std::chrono::seconds;

struct Case {
    std::size_t nodes;
    double loss;
    core::Duration bound;
};

class FailureDetection : public testing::TestWithParam<Case> { };

} // namespace

// Guards against a dead node that some nodes still consider alive: its partitions would get no new owner.
TEST_P(FailureDetection, AllNodesFindADeadNode)
{
    NetworkOptions options;
    options.nodes = GetParam().nodes;
    options.loss = GetParam().loss;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(120)));
    network.kill(network.size() - 1);
    const auto took = network.runUntil([&] { return network.isConverged(); }, seconds(60));
    ASSERT_TRUE(took);
    std::cout << "nodes=" << options.nodes << " found_by_all_ms=" << took->count() / 1000 << "\n";
    EXPECT_LE(*took, GetParam().bound);
    // No node may declare it dead before the suspicion timeout.
    EXPECT_GE(*took, seconds(2));
}

// The bound: two probe intervals until some node probes it, one until the probe is concluded, the suspicion time of
// 2 s + 0.5 s × log10(n), and one interval per doubling of the nodes for the spread at most.
INSTANTIATE_TEST_SUITE_P(Sizes, FailureDetection,
    testing::Values(Case { 3, 0, seconds(5) }, Case { 12, 0, seconds(5) }, Case { 12, 0.02, seconds(6) },
        Case { 48, 0, seconds(7) }, Case { 200, 0, seconds(8) }, Case { 200, 0.02, seconds(8) }));

// Guards against a node that leaves in an orderly way and is then suspected for seconds.
TEST(FailureDetectionOfLeft, LeftNodeIsKnownWithoutSuspicion)
{
    NetworkOptions options;
    options.nodes = 12;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    network.perform(5, network.membership(5).leave(network.now()));
    network.kill(5);
    const auto took = network.runUntil([&] { return network.isConverged(); }, seconds(2));
    EXPECT_TRUE(took);
    EXPECT_EQ(network.deaths(), 0U);
}

// Guards against dead members that are never removed from memory, and against removing them too early.
TEST(FailureDetectionOfForgotten, DeadMemberIsForgottenAfterAnHour)
{
    NetworkOptions options;
    options.nodes = 5;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    network.kill(4);
    network.run(std::chrono::minutes(59));
    EXPECT_EQ(network.membership(0).size(), 4U);
    network.run(std::chrono::minutes(2));
    for (std::size_t index = 0; index < 4; ++index)
        EXPECT_EQ(network.membership(index).size(), 3U);
}

// Guards against a restarted node that the others still consider dead because of its previous incarnation.
TEST(FailureDetectionOfRestarted, RestartedNodeIsAliveAgain)
{
    NetworkOptions options;
    options.nodes = 12;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
    network.kill(0);
    network.run(seconds(20));
    network.restart(0);
    EXPECT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(5)));
}

} // namespace lagoontiller::nodes::support
