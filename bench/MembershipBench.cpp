// Runs membership and document gossip in virtual time at several cluster sizes and prints key=value lines.
#include "tests/support/DocumentNetwork.h"

#include <ctime>
#include <iostream>
#include <malloc.h>

namespace {

using namespace lagoontiller::nodes;
using namespace lagoontiller::nodes::support;
namespace core = lagoontiller::core;

constexpr std::size_t sizes[] = { 3, 6, 12, 24, 48, 96, 200, 780 };
/// Nodes that start at the same time per seed. With fewer seeds, a seed exceeds 22 KB/s while 780 nodes start.
constexpr std::size_t nodesPerSeed = 50;
constexpr std::size_t customers = 5'700;
constexpr core::Duration measurementTime = std::chrono::seconds(20);
constexpr core::Duration settlingTime = std::chrono::seconds(30);
constexpr core::Duration joinTarget = std::chrono::seconds(30);
constexpr core::Duration timeout = std::chrono::seconds(300);

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print(const std::string& key, double value)
{
    std::cout << " " << key << "=" << value;
}

/// Prints the mean and the maximum traffic of a node. The seeds have the most traffic while all nodes start.
void printTraffic(VirtualNetwork& network, const std::string& prefix, core::Duration length)
{
    double total = 0;
    double maximum = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        const auto bytes = static_cast<double>(network.node(index).sentBytes + network.node(index).receivedBytes);
        total += bytes;
        maximum = std::max(maximum, bytes);
    }
    const auto seconds = std::chrono::duration<double>(length).count();
    print(prefix + "_bytes_per_second", total / seconds / static_cast<double>(network.size()));
    print(prefix + "_bytes_per_second_most", maximum / seconds);
}

/// The figures include the virtual network itself: its event queue and the envelopes in flight.
void measure(std::size_t size)
{
    const auto heapBefore = heapBytes();
    NetworkOptions options;
    options.nodes = size;
    options.seeds = std::max<std::size_t>(3, size / nodesPerSeed);
    DocumentNetwork documents(options);
    auto& network = documents.network();
    std::cout << "nodes=" << size;
    const auto joined = network.runUntil([&] { return network.isConverged(); }, timeout);
    print("joined_ms", joined ? static_cast<double>(joined->count()) / 1000 : -1);
    // Averaged over at least 30 s, the time within which every node has to know all others.
    const auto joinEnd = std::max(joined.value_or(timeout), joinTarget);
    network.run(joinEnd - joined.value_or(timeout));
    printTraffic(network, "joining", joinEnd);
    documents.accept(0, 1, makeDocument(customers, 1));
    const auto first = network.runUntil([&] { return documents.isInForce(1); }, timeout);
    print("first_document_ms", first ? static_cast<double>(first->count()) / 1000 : -1);
    network.run(settlingTime);
    network.resetTraffic();
    const auto cpuBefore = cpuSeconds();
    network.run(measurementTime);
    const auto cpu = cpuSeconds() - cpuBefore;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (std::size_t index = 0; index < size; ++index) {
        messages += network.node(index).sentMessages;
        bytes += network.node(index).sentBytes + network.node(index).receivedBytes;
    }
    const auto nodeSeconds = std::chrono::duration<double>(measurementTime).count() * static_cast<double>(size);
    print("sent_messages_per_second", static_cast<double>(messages) / nodeSeconds);
    print("sent_and_received_bytes_per_second", static_cast<double>(bytes) / nodeSeconds);
    print("memory_bytes_per_node", static_cast<double>(heapBytes() - heapBefore) / static_cast<double>(size));
    print("cpu_us_per_second_and_node", cpu * 1e6 / nodeSeconds);
    documents.accept(size / 2, 2, makeDocument(customers, 2));
    const auto spread = network.runUntil([&] { return documents.isInForce(2); }, timeout);
    print("document_change_ms", spread ? static_cast<double>(spread->count()) / 1000 : -1);
    std::cout << std::endl;
}

} // namespace

/// The arguments are node counts; without arguments all default sizes run.
int main(int argc, char** argv)
{
    if (argc <= 1) {
        for (const auto size : sizes)
            measure(size);
    }
    for (int index = 1; index < argc; ++index)
        measure(std::stoul(argv[index]));
    return 0;
}
