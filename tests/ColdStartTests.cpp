#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

using std::chrono::seconds;

/// All nodes know all others within this time when they start together; docs/CAPACITY.md.
constexpr core::Duration joinLimit = seconds(30);
/// Control traffic per node from docs/design.md, section 1.
constexpr double budgetBytesPerSecond = 22'000;

struct Case {
    std::size_t nodes;
    double loss;
    /// One seed for about 50 nodes: with 3 seeds 780 nodes start as fast, but the seeds exceed the budget.
    std::size_t seeds;
};

class ColdStart : public testing::TestWithParam<Case> { };

} // namespace

// Guards against nodes that miss members for minutes after a simultaneous start, and against the overload of seeds.
TEST_P(ColdStart, AllKnowAllWithinTheLimitAndTheTrafficBudget)
{
    NetworkOptions options;
    options.nodes = GetParam().nodes;
    options.loss = GetParam().loss;
    options.seeds = GetParam().seeds;
    VirtualNetwork network(options);
    const auto joined = network.runUntil([&] { return network.isConverged(); }, joinLimit);
    ASSERT_TRUE(joined);
    network.run(joinLimit - *joined);
    double most = 0;
    double total = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        const auto bytes = static_cast<double>(network.node(index).sentBytes + network.node(index).receivedBytes);
        most = std::max(most, bytes);
        total += bytes;
    }
    const auto length = std::chrono::duration<double>(joinLimit).count();
    std::cout << "nodes=" << network.size() << " joined_ms=" << joined->count() / 1000
              << " bytes_per_second=" << total / length / static_cast<double>(network.size())
              << " of_one_node=" << most / length << "\n";
    EXPECT_LT(most / length, budgetBytesPerSecond);
    EXPECT_EQ(network.deaths(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdStart,
    testing::Values(
        Case { 3, 0, 3 }, Case { 12, 0.02, 3 }, Case { 96, 0.02, 3 }, Case { 200, 0.02, 4 }, Case { 780, 0.02, 15 }));

// Guards against a node that uses only the members of the first join reply: a single late node must learn all others
// from a peer that knows more, although its own seed replied with a sample only.
TEST(LateJoin, NodeWithAnExhaustedSeedLearnsAllMembers)
{
    NetworkOptions options;
    options.nodes = 96;
    options.seeds = 1;
    options.membership.memberListBurstBytes = 900;
    options.membership.memberListBytesPerSecond = 900;
    VirtualNetwork network(options);
    EXPECT_TRUE(network.runUntil([&] { return network.isConverged(); }, seconds(120)));
    network.kill(50);
    network.run(seconds(10));
    network.restart(50);
    EXPECT_TRUE(network.runUntil([&] { return network.isConverged(); }, joinLimit));
}

// Guards against endless join requests: the interval grows for a peer that claims more members than it can list.
TEST(LateJoin, PeerWithAWrongCountIsAskedAtGrowingIntervals)
{
    RandomGenerator generator(1);
    core::TimePoint now { seconds(100) };
    Member self;
    self.node = "a";
    self.address = "127.0.0.1:1";
    Membership membership(self, {}, generator, now);
    wire::Envelope reply;
    reply.set_sender("b");
    auto& peer = *reply.mutable_join_reply()->add_members();
    peer.set_node("b");
    peer.set_address("127.0.0.1:2");
    static_cast<void>(membership.handle(reply, now));
    ASSERT_TRUE(membership.isViewFresh());
    const auto countJoins = [&](core::Duration length) {
        int joins = 0;
        for (const auto end = now + length; now < end; now += std::chrono::milliseconds(250)) {
            wire::Envelope envelope;
            envelope.set_sender("b");
            envelope.set_known_members(1000);
            envelope.mutable_acknowledgement()->set_sequence(999);
            for (const auto& effect : membership.handle(envelope, now)) {
                const auto* message = std::get_if<SendMessage>(&effect);
                joins += message != nullptr && message->envelope.has_join() ? 1 : 0;
            }
        }
        return joins;
    };
    EXPECT_GE(countJoins(seconds(10)), 3);
    EXPECT_LE(countJoins(seconds(600)), 16);
    EXPECT_GE(countJoins(seconds(130)), 1);
}

} // namespace lagoontiller::nodes::support
