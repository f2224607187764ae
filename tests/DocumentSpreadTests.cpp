#include "support/DocumentNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

using std::chrono::seconds;

/// Limits from docs/design.md, section 1: an accepted version is in force everywhere within 4 s (C10); control traffic.
constexpr core::Duration inForceLimit = seconds(4);
constexpr double budgetBytesPerSecond = 22'000;

struct Case {
    std::size_t nodes;
    double loss;
    std::size_t customers;
};

class DocumentInForce : public testing::TestWithParam<Case> { };

} // namespace

// Guards against a node that uses an old configuration after 4 s, and against dissemination that exceeds the traffic
// limit.
TEST_P(DocumentInForce, AtAllNodesWithinTheLimitAndTheTrafficBudget)
{
    NetworkOptions options;
    options.nodes = GetParam().nodes;
    DocumentNetwork documents(options);
    auto& network = documents.network();
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(300)));
    documents.accept(0, 1, makeDocument(GetParam().customers, 1));
    network.run(seconds(30));
    ASSERT_TRUE(documents.isInForce(1));
    network.setLoss(GetParam().loss);
    network.resetTraffic();
    // One change every 9.3 s is the target size's rate of 9,300 changes a day.
    constexpr core::Duration changeInterval = std::chrono::milliseconds(9'300);
    constexpr std::uint64_t changes = 3;
    core::Duration slowest {};
    for (std::uint64_t change = 0; change < changes; ++change) {
        const auto version = 2 + change;
        documents.accept(change * 7 % network.size(), version, makeDocument(GetParam().customers, version));
        const auto took = network.runUntil([&] { return documents.isInForce(version); }, inForceLimit);
        ASSERT_TRUE(took) << "version " << version << " is not in force everywhere after 4 s";
        slowest = std::max(slowest, *took);
        network.run(changeInterval - *took);
    }
    double sent = 0;
    double received = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        sent += static_cast<double>(network.node(index).sentBytes);
        received += static_cast<double>(network.node(index).receivedBytes);
    }
    const auto length = std::chrono::duration<double>(changeInterval * changes).count();
    const auto perNode = (sent + received) / length / static_cast<double>(network.size());
    std::cout << "nodes=" << options.nodes << " customers=" << GetParam().customers << " loss=" << GetParam().loss
              << " in_force_ms=" << slowest.count() / 1000 << " bytes_per_second_and_node=" << perNode << "\n";
    EXPECT_LT(perNode, budgetBytesPerSecond);
    EXPECT_EQ(documents.regressions(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, DocumentInForce,
    testing::Values(Case { 3, 0, 50 }, Case { 12, 0.02, 50 }, Case { 200, 0.02, 500 }, Case { 780, 0.02, 500 }));

// Guards against a node that keeps its old configuration after a network partition has healed.
TEST(DocumentCatchUp, PartitionedNodeCatchesUpWithinTheLimit)
{
    for (const auto cut : { seconds(5), seconds(120), seconds(3700) }) {
        NetworkOptions options;
        options.nodes = 12;
        DocumentNetwork documents(options);
        auto& network = documents.network();
        ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(60)));
        documents.accept(0, 1, makeDocument(20, 1));
        network.run(seconds(5));
        network.setGroup(8, 1);
        network.run(cut / 2);
        documents.accept(3, 2, makeDocument(20, 2));
        network.run(cut / 2);
        documents.accept(4, 3, makeDocument(20, 3));
        network.run(seconds(4));
        EXPECT_EQ(documents.document(8).version(), 1U);
        network.heal();
        const auto took = network.runUntil([&] { return documents.isInForce(3); }, inForceLimit);
        ASSERT_TRUE(took) << "cut of " << cut.count() << " s";
        EXPECT_EQ(documents.document(8).text(), documents.document(0).text());
    }
}

// Guards against a version that is replaced by an older one when messages are delayed, lost or come from a node that
// was paused or partitioned.
TEST(DocumentRegression, VersionNeverGoesBack)
{
    NetworkOptions options;
    options.nodes = 24;
    options.loss = 0.1;
    options.maxDelay = std::chrono::milliseconds(900);
    options.seed = 77;
    DocumentNetwork documents(options);
    auto& network = documents.network();
    network.run(seconds(60));
    RandomGenerator generator(5);
    std::uint64_t version = 0;
    for (int step = 0; step < 200; ++step) {
        const auto index = randomIndex(generator, network.size());
        // A third of the nodes repeat an old version as a late reply of the store would.
        const bool isRepetition = version > 1 && step % 3 == 0;
        version += isRepetition ? 0 : 1;
        const auto given = isRepetition ? version - 1 : version;
        documents.accept(index, given, makeDocument(20, given));
        network.setGroup(randomIndex(generator, network.size()), static_cast<int>(step % 2));
        network.run(std::chrono::milliseconds(300));
    }
    network.heal();
    EXPECT_TRUE(network.runUntil([&] { return documents.isInForce(version); }, seconds(60)));
    EXPECT_EQ(documents.regressions(), 0U);
}

} // namespace lagoontiller::nodes::support
