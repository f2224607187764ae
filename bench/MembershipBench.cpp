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
constexpr std::size_t customers = 500;
constexpr core::Duration measured = std::chrono::seconds(20);
constexpr core::Duration settling = std::chrono::seconds(30);
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

/// Figures include the network fake: its event queue and the envelopes in flight.
void measure(std::size_t size)
{
    const auto heapBefore = heapBytes();
    NetworkOptions options;
    options.nodes = size;
    DocumentNetwork documents(options);
    auto& network = documents.network();
    std::cout << "nodes=" << size;
    const auto joined = network.runUntil([&] { return network.isConverged(); }, limit);
    print("joined_ms", joined ? static_cast<double>(joined->count()) / 1000 : -1);
    documents.accept(0, 1, makeDocument(customers, 1));
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
    print("document_spread_ms", spread ? static_cast<double>(spread->count()) / 1000 : -1);
    std::cout << std::endl;
}

} // namespace

int main()
{
    for (const auto size : sizes)
        measure(size);
    return 0;
}
