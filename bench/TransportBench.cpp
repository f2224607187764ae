// Measures transports of one process over loopback and prints key=value lines.
#include "nodes/Transport.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <iostream>
#include <thread>

namespace {

using namespace lagoontiller;

constexpr std::uint64_t messages = 200'000;
constexpr std::size_t payloadBytes = 200;
constexpr int idleSeconds = 15;
constexpr int maxDescriptor = 1024;

/// Bytes sent by all TCP sockets of this process, including 40 bytes of TCP and IP headers per segment.
std::uint64_t tcpBytesSent()
{
    std::uint64_t total = 0;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        struct tcp_info info { };
        socklen_t size = sizeof(info);
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
            total += info.tcpi_bytes_sent + 40ULL * info.tcpi_segs_out;
    }
    return total;
}

std::unique_ptr<nodes::Transport> startTransport(
    const std::pair<std::string, std::string>& keys, nodes::Transport::MessageHandler receiver)
{
    nodes::TransportSettings settings;
    settings.address = "127.0.0.1:*";
    settings.publicKey = keys.first;
    settings.secretKey = keys.second;
    auto started = nodes::Transport::start(settings, std::move(receiver));
    if (!started) {
        std::cerr << started.error().message << "\n";
        std::exit(1);
    }
    return std::move(*started);
}

nodes::SendMessage makeMessage(const std::string& sender, const std::string& address)
{
    nodes::SendMessage message { "", address, {} };
    message.envelope.set_sender(sender);
    message.envelope.mutable_forward_data()->set_data(std::string(payloadBytes, 'x'));
    return message;
}

void sendAndWait(nodes::Transport& from, nodes::Transport& to, const std::string& name, std::uint64_t count)
{
    const std::uint64_t before = to.counts().received;
    // Well below the queue length of 1000, because ZeroMQ returns credit only after half of the queue has been read.
    constexpr std::uint64_t window = 250;
    for (std::uint64_t index = 0; index < count; ++index) {
        while (index - (to.counts().received - before) >= window)
            std::this_thread::yield();
        from.send(makeMessage(name, to.address()));
    }
    while (to.counts().received - before < count)
        std::this_thread::yield();
}

} // namespace

int main()
{
    const auto keys = nodes::generateCurveKeyPair();
    const auto ignore = [](const std::string&, const nodes::wire::Envelope&) {};
    const auto a = startTransport(keys, ignore);
    const auto b = startTransport(keys, ignore);
    const auto c = startTransport(keys, ignore);
    sendAndWait(*a, *b, "a", 1);
    const auto started = core::monotonicNow();
    sendAndWait(*a, *b, "a", messages);
    const auto seconds = std::chrono::duration<double>(core::monotonicNow() - started).count();
    std::cout << "payload_bytes=" << payloadBytes << " messages_per_second=" << messages / seconds << "\n";
    sendAndWait(*b, *a, "b", 1);
    for (const auto* other : { &b, &c }) {
        sendAndWait(*a, **other, "a", 1);
        sendAndWait(**other, *a, *other == b ? "b" : "c", 1);
    }
    sendAndWait(*b, *c, "b", 1);
    sendAndWait(*c, *b, "c", 1);
    const auto before = tcpBytesSent();
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    std::cout << "nodes=3 peers=2 idle_bytes_sent_per_second_and_node="
              << static_cast<double>(tcpBytesSent() - before) / idleSeconds / 3 << "\n";
    return 0;
}
