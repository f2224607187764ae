#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

using std::chrono::seconds;

struct Case {
    std::size_t nodes;
    core::Duration cut;
    /// \brief First index of the second side of the network partition; the seed nodes have the indexes 0 to 2.
    std::size_t firstOfSecondHalf;
};

class PartitionMerge : public testing::TestWithParam<Case> { };

} // namespace

// Guards against two regions that stay separated after a network partition because each has declared the other dead
// or has removed it from its member list.
TEST_P(PartitionMerge, HalvesMergeAfterTheCut)
{
    NetworkOptions options;
    options.nodes = GetParam().nodes;
    VirtualNetwork network(options);
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(120)));
    for (std::size_t index = GetParam().firstOfSecondHalf; index < network.size(); ++index)
        network.setGroup(index, 1);
    network.run(GetParam().cut);
    EXPECT_EQ(network.membership(0).activeMembers().size(), GetParam().firstOfSecondHalf);
    EXPECT_EQ(
        network.membership(network.size() - 1).activeMembers().size(), network.size() - GetParam().firstOfSecondHalf);
    network.heal();
    const auto took = network.runUntil([&] { return network.isConverged(); }, std::chrono::minutes(3));
    ASSERT_TRUE(took);
    std::cout << "nodes=" << options.nodes << " merged_ms=" << took->count() / 1000 << "\n";
}

INSTANTIATE_TEST_SUITE_P(Cuts, PartitionMerge,
    testing::Values(Case { 12, std::chrono::minutes(1), 6 }, Case { 12, std::chrono::minutes(60), 6 },
        Case { 12, std::chrono::minutes(70), 6 }, Case { 12, std::chrono::minutes(70), 2 },
        Case { 48, std::chrono::minutes(61), 24 }, Case { 200, std::chrono::minutes(2), 100 }));

} // namespace lagoontiller::nodes::support
