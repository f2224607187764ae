#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

struct Case {
    std::size_t nodes;
    std::uint64_t seed;
    core::Duration length;
};

class FalseDeath : public testing::TestWithParam<Case> { };

} // namespace

// Guards against a takeover of partitions from a live owner: message loss alone must not get a node declared dead.
TEST_P(FalseDeath, NoneAtTwoPercentLoss)
{
    NetworkOptions options;
    options.nodes = GetParam().nodes;
    options.seed = GetParam().seed;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, std::chrono::seconds(120)));
    network.setLoss(0.02);
    network.run(GetParam().length);
    EXPECT_EQ(network.deaths(), 0U);
    EXPECT_TRUE(network.isConverged());
}

INSTANTIATE_TEST_SUITE_P(Seeds, FalseDeath,
    testing::Values(Case { 3, 11, std::chrono::hours(4) }, Case { 12, 12, std::chrono::hours(2) },
        Case { 48, 13, std::chrono::minutes(30) }, Case { 200, 14, std::chrono::minutes(5) }));

} // namespace lagoontiller::nodes::support
