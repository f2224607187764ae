// Takeovers of many partitions. Guards against a burst of takeovers after a mass restart and against takeovers
// during a store outage.
#include "tests/support/StateWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t servedPartitionCount(StateWorld& world, std::uint32_t partitions)
{
    std::size_t count = 0;
    for (core::PartitionId partition = 0; partition < partitions; ++partition) {
        count += world.serving(partition).empty() ? 0 : 1;
    }
    return count;
}

TEST(Takeover, MassRestartIsPaced)
{
    StateWorld world(1, 4, 64);
    // Two rows per transaction and node at intervals of 250 ms: the first second allows at most 5 of them per node.
    world.advance(seconds(1));
    EXPECT_LE(world.store.table.transactions, 20U);
    EXPECT_LT(servedPartitionCount(world, 64), 64U);
    ASSERT_TRUE(world.heal());
    EXPECT_EQ(servedPartitionCount(world, 64), 64U);
}

TEST(Takeover, EachPartitionIsTakenOnceByItsPreferredOwner)
{
    StateWorld world(1, 4, 64);
    ASSERT_TRUE(world.heal());
    for (std::size_t index = 0; index < 4; ++index) {
        EXPECT_TRUE(world.node(index)->ownership.misplaced().empty());
    }
    EXPECT_EQ(world.store.table.takeovers, 0U) << "a first owner has epoch 1";
}

TEST(Takeover, DeadNodesPartitionsMoveAndOthersStay)
{
    StateWorld world(1, 4, 64);
    ASSERT_TRUE(world.heal());
    std::map<core::PartitionId, std::string> before;
    for (core::PartitionId partition = 0; partition < 64; ++partition) {
        before[partition] = world.store.table.owner(partition)->node();
    }
    world.kill(2);
    world.advance(seconds(20));
    EXPECT_EQ(servedPartitionCount(world, 64), 64U);
    for (core::PartitionId partition = 0; partition < 64; ++partition) {
        const auto row = *world.store.table.owner(partition);
        EXPECT_EQ(row.epoch(), before[partition] == "n2" ? 2U : 1U);
        EXPECT_NE(row.node(), "n2");
    }
}

TEST(Takeover, NothingIsTakenWhileTheStoreIsDown)
{
    StateWorld world(1, 3, 12);
    ASSERT_TRUE(world.heal());
    world.store.down = true;
    world.kill(0);
    const auto before = world.store.table.transactions;
    const auto submitted = world.store.submitted;
    world.advance(seconds(30));
    EXPECT_EQ(world.store.table.transactions, before);
    // Back-off up to 1 s on each of the scan, takeover and commit paths of two nodes.
    EXPECT_LE(world.store.submitted - submitted, 2U * 3U * 60U);
    std::size_t kept = 0;
    for (core::PartitionId partition = 0; partition < 12; ++partition) {
        if (world.store.table.owner(partition)->node() != "n0") {
            kept += world.serving(partition).size();
        } else {
            EXPECT_TRUE(world.serving(partition).empty());
        }
    }
    EXPECT_GT(kept, 0U);
    world.store.down = false;
    world.advance(seconds(10));
    EXPECT_EQ(servedPartitionCount(world, 12), 12U);
}

TEST(Takeover, HandOverNamesTheSuccessorAndKeepsHistory)
{
    StateWorld world(1, 2, 2);
    ASSERT_TRUE(world.heal());
    const core::ProgramKey program { "customer", "p" };
    const auto partition = world.partitions.partitionOf(program);
    auto* owner = world.serving(partition).at(0);
    const std::string successor = owner->name == "n0" ? "n1" : "n0";
    owner->turn(program, "answer");
    world.advance(milliseconds(500));
    ASSERT_TRUE(world.observed.turns.contains({ "customer/p", 1 }));
    owner->handOver(partition, successor);
    world.advance(seconds(8));
    ASSERT_EQ(world.serving(partition).size(), 1U);
    EXPECT_EQ(world.serving(partition).at(0)->name, successor);
    ASSERT_NE(world.find(program), nullptr);
    EXPECT_EQ(world.find(program)->turns.at(1).answer, "answer");
}

TEST(Takeover, SnapshotsBoundTheLog)
{
    StateWorld world(1, 2, 2);
    ASSERT_TRUE(world.heal());
    for (int round = 0; round < 200; ++round) {
        for (core::PartitionId partition = 0; partition < 2; ++partition) {
            for (auto* node : world.serving(partition)) {
                node->turn({ "customer", "p" + std::to_string(round) }, "answer");
            }
        }
        world.advance(milliseconds(100));
    }
    EXPECT_EQ(world.observed.turns.size(), 200U);
    world.advance(seconds(10));
    EXPECT_LE(world.store.table.logRows(), 20U);
    EXPECT_GT(world.store.table.deletedRows, 100U);
}

} // namespace
} // namespace lagoontiller::tests
