// Partition and preferred owner of a program. Guards against nodes that compute different assignments and against
// unnecessary partition moves.
#include "core/Hash.h"
#include "state/Rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lagoontiller::state {
namespace {

const std::vector<std::string> regions { "west", "east", "north" };

struct RootCase {
    std::string id;
    std::string root;
};

class RootIds : public testing::TestWithParam<RootCase> { };

TEST_P(RootIds, EndAtTheFirstTilde)
{
    EXPECT_EQ(rootId(this->GetParam().id), this->GetParam().root);
}

INSTANTIATE_TEST_SUITE_P(Table, RootIds,
    testing::Values(RootCase { "a", "a" }, RootCase { "a~b", "a" }, RootCase { "a~b~c", "a" },
        RootCase { "east.x~y.z", "east.x" }, RootCase { "~b", "" }, RootCase { "", "" }));

struct RegionCase {
    std::string id;
    std::string region;
};

class RegionPrefix : public testing::TestWithParam<RegionCase> { };

TEST_P(RegionPrefix, SelectsAPartitionOfTheRegion)
{
    const Partitions partitions(256, regions);
    for (int number = 0; number < 50; ++number) {
        const auto partition = partitions.partitionOf({ "customer" + std::to_string(number), this->GetParam().id });
        EXPECT_LT(partition, 256U);
        EXPECT_EQ(partitions.homeRegion(partition), this->GetParam().region);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RegionPrefix,
    testing::Values(RegionCase { "east.1", "east" }, RegionCase { "north.1", "north" },
        RegionCase { "west.1~sub", "west" }, RegionCase { "west.~east.1", "west" }));

TEST(PartitionAssignment, RegionsAreTakenInAlphabeticalOrder)
{
    const Partitions partitions(8, regions);
    EXPECT_EQ(partitions.homeRegion(0), "east");
    EXPECT_EQ(partitions.homeRegion(4), "north");
    EXPECT_EQ(partitions.homeRegion(5), "west");
}

TEST(PartitionAssignment, UnknownPrefixUsesAllPartitions)
{
    const Partitions partitions(256, regions);
    std::set<std::string_view> seen;
    for (int number = 0; number < 50; ++number) {
        seen.insert(partitions.homeRegion(partitions.partitionOf({ "customer", "v1." + std::to_string(number) })));
    }
    EXPECT_EQ(seen.size(), 3U);
}

TEST(PartitionAssignment, FewerPartitionsThanRegionsStayInRange)
{
    EXPECT_EQ(Partitions(1, regions).partitionOf({ "customer", "west.1" }), 0U);
}

RC_GTEST_PROP(PartitionAssignment, SubAgentsShareTheRootsPartition, ())
{
    const auto root = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto child = *rc::gen::arbitrary<std::string>();
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 300);
    const Partitions partitions(count, regions);
    RC_ASSERT(partitions.partitionOf({ "c", root }) == partitions.partitionOf({ "c", root + "~" + child }));
    RC_ASSERT(partitions.partitionOf({ "c", "east." + root }) < count);
}

std::vector<LiveNode> nodesOf(std::size_t count)
{
    std::vector<LiveNode> nodes;
    for (std::size_t number = 0; number < count; ++number) {
        nodes.push_back({ "node-" + std::to_string(number), regions[number % regions.size()] });
    }
    return nodes;
}

RC_GTEST_PROP(PartitionAssignment, LossOfANodeMovesOnlyItsPartitions, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 20);
    const auto lost = *rc::gen::inRange<std::size_t>(0, count);
    const Partitions partitions(64, regions);
    const auto before = nodesOf(count);
    auto after = before;
    // A leaving node is no candidate, the same as a dead node.
    if (*rc::gen::arbitrary<bool>()) {
        after[lost].leaving = true;
    } else {
        after.erase(after.begin() + static_cast<std::ptrdiff_t>(lost));
    }
    for (core::PartitionId partition = 0; partition < 64; ++partition) {
        const auto old = preferredOwner(partitions, partition, before);
        const auto next = preferredOwner(partitions, partition, after);
        RC_ASSERT(next.has_value());
        RC_ASSERT((old == next || *old == before[lost].name));
    }
}

TEST(PartitionAssignment, HomeRegionComesFirst)
{
    const Partitions partitions(64, regions);
    for (core::PartitionId partition = 0; partition < 64; ++partition) {
        const auto nodes = nodesOf(9);
        const auto owner = *preferredOwner(partitions, partition, nodes);
        const auto found = std::ranges::find(nodes, owner, &LiveNode::name);
        EXPECT_EQ(found->region, partitions.homeRegion(partition));
    }
    EXPECT_EQ(preferredOwner(partitions, 0, {}), std::nullopt);
}

} // namespace
} // namespace lagoontiller::state
