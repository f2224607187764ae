// Runs membership and document spread under virtual time at several sizes and prints key=value lines.
#include "tests/support/DocumentNetwork.h"

#include <ctime>
#include <iostream>
#include <malloc.h>

namespace {

using namespace lagoontiller::nodes;
using namespace lagoontiller::nodes::support;
namespace core = lagoontiller::core;

constexpr std::size_t sizes[] = { 3, 6, 12, 24, 48, 96, 200, 780 };
/// A seed answers this many nodes that start at the same time; fewer seeds exceed 22 KB/s while 780 nodes start.
constexpr std::size_t nodesPerSeed = 50;
constexpr std::size_t customers = 5'700;
constexpr core::Duration measured = std::chrono::seconds(20);
constexpr core::Duration settling = std::chrono::seconds(30);
constexpr core::Duration joinTarget = std::chrono::seconds(30);
constexpr core::Duration limit = std::chrono::seconds(300);

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

/// Bytes sent and received, and the most of one node: the seeds have more to do than the others while all nodes start.
void printTraffic(VirtualNetwork& network, const std::string& prefix, core::Duration length)
{
    double total = 0;
    double most = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        const auto bytes = static_cast<double>(network.node(index).sentBytes + network.node(index).receivedBytes);
        total += bytes;
        most = std::max(most, bytes);
    }
    const auto seconds = std::chrono::duration<double>(length).count();
    print(prefix + "_bytes_per_second", total / seconds / static_cast<double>(network.size()));
    print(prefix + "_bytes_per_second_most", most / seconds);
}

/// Figures include the network fake: its event queue and the envelopes in flight.
void measure(std::size_t size)
{
    const auto heapBefore = heapBytes();
    NetworkOptions options;
    options.nodes = size;
    options.seeds = std::max<std::size_t>(3, size / nodesPerSeed);
    DocumentNetwork documents(options);
    auto& network = documents.network();
    std::cout << "nodes=" << size;
    const auto joined = network.runUntil([&] { return network.isConverged(); }, limit);
    print("joined_ms", joined ? static_cast<double>(joined->count()) / 1000 : -1);
    // Over 30 s at least: that is the time within which all nodes have to know all others.
    const auto joinEnd = std::max(joined.value_or(limit), joinTarget);
    network.run(joinEnd - joined.value_or(limit));
    printTraffic(network, "joining", joinEnd);
    documents.accept(0, 1, makeDocument(customers, 1));
    const auto first = network.runUntil([&] { return documents.isInForce(1); }, limit);
    print("first_document_ms", first ? static_cast<double>(first->count()) / 1000 : -1);
    network.run(settling);
    network.resetTraffic();
    const auto cpuBefore = cpuSeconds();
    network.run(measured);
    const auto cpu = cpuSeconds() - cpuBefore;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (std::size_t index = 0; index < size; ++index) {
        messages += network.node(index).sentMessages;
        bytes += network.node(index).sentBytes + network.node(index).receivedBytes;
    }
    const auto nodeSeconds = std::chrono::duration<double>(measured).count() * static_cast<double>(size);
    print("sent_messages_per_second", static_cast<double>(messages) / nodeSeconds);
    print("sent_and_received_bytes_per_second", static_cast<double>(bytes) / nodeSeconds);
    print("memory_bytes_per_node", static_cast<double>(heapBytes() - heapBefore) / static_cast<double>(size));
    print("cpu_us_per_second_and_node", cpu * 1e6 / nodeSeconds);
    documents.accept(size / 2, 2, makeDocument(customers, 2));
    const auto spread = network.runUntil([&] { return documents.isInForce(2); }, limit);
    print("document_change_ms", spread ? static_cast<double>(spread->count()) / 1000 : -1);
    std::cout << std::endl;
}

} // namespace

/// Arguments are node counts; without any, all sizes run.
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
