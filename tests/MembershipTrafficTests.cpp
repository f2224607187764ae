#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes::support {

namespace {

double bytesPerSecond(std::size_t nodes, bool churn)
{
    NetworkOptions options;
    options.nodes = nodes;
    VirtualNetwork network(options);
    EXPECT_TRUE(network.runUntil([&] { return network.isConverged(); }, std::chrono::seconds(240)));
    network.run(std::chrono::seconds(30));
    network.resetTraffic();
    constexpr int seconds = 30;
    for (int second = 0; second < seconds; ++second) {
        if (churn)
            network.membership(second % nodes).setLeaving(second % 2 == 0);
        network.run(std::chrono::seconds(1));
    }
    double bytes = 0;
    for (std::size_t index = 0; index < nodes; ++index)
        bytes += static_cast<double>(network.node(index).sentBytes + network.node(index).receivedBytes);
    return bytes / static_cast<double>(nodes) / seconds;
}

/// \brief Limit of control traffic per node from docs/design.md, section 1.
constexpr double budgetBytesPerSecond = 22'000;

} // namespace

// Guards against traffic per node that grows with the node count.
TEST(MembershipTraffic, IdleTrafficPerNodeDoesNotGrow)
{
    const auto small = bytesPerSecond(24, false);
    const auto large = bytesPerSecond(200, false);
    std::cout << "idle_bytes_per_second nodes_24=" << small << " nodes_200=" << large << "\n";
    EXPECT_LT(large, small * 1.1);
}

// Guards against messages that carry all pending updates at once.
TEST(MembershipTraffic, ChangesStayWithinTheBudget)
{
    const auto bytes = bytesPerSecond(200, true);
    std::cout << "changing_bytes_per_second nodes_200=" << bytes << "\n";
    EXPECT_LT(bytes, budgetBytesPerSecond / 2);
}

} // namespace lagoontiller::nodes::support
