#include "nodes/Transport.h"

#include <condition_variable>
#include <zmq.hpp>

namespace lagoontiller::nodes {

namespace {

/// \brief Time-out of a wait, far longer than any step needs, so that results do not depend on the machine's speed.
constexpr auto waitLimit = std::chrono::seconds(20);

const std::pair<std::string, std::string>& deploymentKeys()
{
    static const auto keys = generateCurveKeyPair();
    return keys;
}

/// \brief A transport that records the messages it receives.
class TransportFixture {
public:
    explicit TransportFixture(const std::string& address = "127.0.0.1:*",
        const std::pair<std::string, std::string>& keys = deploymentKeys(), int queueLength = 1000)
    {
        TransportSettings settings;
        settings.node = "self";
        settings.address = address;
        settings.publicKey = keys.first;
        settings.secretKey = keys.second;
        settings.maxQueuedMessages = queueLength;
        auto started = Transport::start(settings, [this](const std::string& sender, wire::Envelope envelope) {
            const std::lock_guard lock(this->mutex);
            this->received.emplace_back(sender, std::move(envelope));
            this->arrived.notify_all();
        });
        if (!started)
            throw std::runtime_error(started.error().message);
        this->transport = std::move(*started);
    }

    bool send(const std::string& address, std::uint64_t stream, const std::string& name = "a")
    {
        SendMessage message { "", address, {} };
        message.envelope.set_sender(name);
        message.envelope.mutable_forward_cancel()->set_stream(stream);
        return this->transport->send(std::move(message));
    }

    [[nodiscard]] bool waitForStream(std::uint64_t stream)
    {
        std::unique_lock lock(this->mutex);
        return this->arrived.wait_for(lock, waitLimit, [&] {
            return std::any_of(this->received.begin(), this->received.end(),
                [&](const auto& entry) { return entry.second.forward_cancel().stream() == stream; });
        });
    }

    [[nodiscard]] std::size_t receivedCount()
    {
        const std::lock_guard lock(this->mutex);
        return this->received.size();
    }

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::pair<std::string, wire::Envelope>> received;
    std::unique_ptr<Transport> transport;
};

bool waitFor(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// \brief Creates a client with the deployment's key that can send arbitrary frames.
zmq::socket_t makeRawClient(zmq::context_t& context, const std::string& address)
{
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, deploymentKeys().first);
    socket.set(zmq::sockopt::curve_publickey, deploymentKeys().first);
    socket.set(zmq::sockopt::curve_secretkey, deploymentKeys().second);
    socket.connect("tcp://" + address);
    return socket;
}

std::string frameOf(const std::string& sender, std::uint64_t stream)
{
    wire::Envelope envelope;
    envelope.set_sender(sender);
    envelope.mutable_forward_cancel()->set_stream(stream);
    return envelope.SerializeAsString();
}

} // namespace

// Guards against messages that are lost, reordered or attributed to another sender on a working connection.
TEST(Transport, DeliversInOrderInBothDirections)
{
    TransportFixture a;
    TransportFixture b;
    constexpr std::uint64_t count = 500;
    for (std::uint64_t stream = 1; stream <= count; ++stream)
        ASSERT_TRUE(a.send(b.transport->address(), stream, "a"));
    ASSERT_TRUE(b.waitForStream(count));
    ASSERT_TRUE(b.send(a.transport->address(), 7, "b"));
    ASSERT_TRUE(a.waitForStream(7));
    ASSERT_EQ(b.received.size(), count);
    for (std::uint64_t index = 0; index < count; ++index) {
        EXPECT_EQ(b.received[index].first, "a");
        EXPECT_EQ(b.received[index].second.forward_cancel().stream(), index + 1);
    }
}

// Guards against a process that joins the nodes without the deployment's key.
TEST(Transport, OtherKeyIsRefused)
{
    TransportFixture server;
    // The client knows the public key of the deployment but uses its own key pair.
    const auto keys = generateCurveKeyPair();
    zmq::context_t context;
    zmq::socket_t intruder(context, zmq::socket_type::dealer);
    intruder.set(zmq::sockopt::linger, 0);
    intruder.set(zmq::sockopt::curve_serverkey, deploymentKeys().first);
    intruder.set(zmq::sockopt::curve_publickey, keys.first);
    intruder.set(zmq::sockopt::curve_secretkey, keys.second);
    intruder.connect("tcp://" + server.transport->address());
    intruder.send(zmq::buffer(frameOf("intruder", 1)), zmq::send_flags::none);
    ASSERT_TRUE(waitFor([&] { return server.transport->counts().refusedKeys > 0; }));
    TransportFixture friendly;
    ASSERT_TRUE(friendly.send(server.transport->address(), 2));
    ASSERT_TRUE(server.waitForStream(2));
    EXPECT_EQ(server.receivedCount(), 1U);
}

// Guards against messages from a peer without CURVE that reach the receiver.
TEST(Transport, PlainConnectionIsRefused)
{
    TransportFixture server;
    zmq::context_t context;
    zmq::socket_t plain(context, zmq::socket_type::dealer);
    plain.set(zmq::sockopt::linger, 0);
    plain.connect("tcp://" + server.transport->address());
    plain.send(zmq::buffer(frameOf("plain", 1)), zmq::send_flags::none);
    TransportFixture friendly;
    ASSERT_TRUE(friendly.send(server.transport->address(), 2));
    ASSERT_TRUE(server.waitForStream(2));
    EXPECT_EQ(server.receivedCount(), 1U);
}

// Guards against malformed frames that stop the traffic thread or reach the receiver.
TEST(Transport, MalformedFramesAreCountedAndDropped)
{
    TransportFixture server;
    zmq::context_t context;
    auto client = makeRawClient(context, server.transport->address());
    const std::vector<std::string> frames { "", "\xff\xff\xff", std::string(1000, 'x'), frameOf("", 3) };
    for (const auto& frame : frames)
        client.send(zmq::buffer(frame), zmq::send_flags::none);
    client.send(zmq::buffer(std::string("first part")), zmq::send_flags::sndmore);
    client.send(zmq::buffer(frameOf("a", 4)), zmq::send_flags::none);
    client.send(zmq::buffer(frameOf("a", 5)), zmq::send_flags::none);
    ASSERT_TRUE(server.waitForStream(5));
    EXPECT_EQ(server.transport->counts().malformed, frames.size() + 1);
    EXPECT_EQ(server.receivedCount(), 1U);
}

// Guards against receiving a frame over the size limit, and against sending one, which would close the connection.
TEST(Transport, FramesOverTheLimitAreDropped)
{
    TransportFixture server;
    TransportFixture sender;
    SendMessage large { "", server.transport->address(), {} };
    large.envelope.set_sender("a");
    large.envelope.mutable_forward_data()->set_data(std::string(maxFrameBytes, 'x'));
    EXPECT_FALSE(sender.transport->send(std::move(large)));
    EXPECT_EQ(sender.transport->counts().droppedOther, 1U);
    zmq::context_t context;
    auto client = makeRawClient(context, server.transport->address());
    wire::Envelope oversized;
    oversized.set_sender("raw");
    oversized.mutable_forward_data()->set_data(std::string(maxFrameBytes, 'x'));
    client.send(zmq::buffer(oversized.SerializeAsString()), zmq::send_flags::none);
    client.send(zmq::buffer(frameOf("raw", 9)), zmq::send_flags::none);
    ASSERT_TRUE(server.waitForStream(9));
    EXPECT_EQ(server.transport->counts().malformed, 1U);
    EXPECT_EQ(server.receivedCount(), 1U);
    // ZeroMQ closes the connection on an even larger frame, and the client reconnects.
    client.send(zmq::buffer(std::string(3 * maxFrameBytes, 'x')), zmq::send_flags::none);
    ASSERT_TRUE(waitFor([&] {
        client.send(zmq::buffer(frameOf("raw", 10)), zmq::send_flags::dontwait);
        return server.receivedCount() > 1;
    }));
    EXPECT_EQ(server.transport->counts().malformed, 1U);
}

// Guards against a connection that sends as several nodes, and against a client-chosen routing id that takes over
// another connection.
TEST(Transport, ConnectionKeepsTheNameOfItsFirstMessage)
{
    TransportFixture server;
    zmq::context_t context;
    auto client = makeRawClient(context, server.transport->address());
    client.send(zmq::buffer(frameOf("a", 1)), zmq::send_flags::none);
    client.send(zmq::buffer(frameOf("b", 2)), zmq::send_flags::none);
    client.send(zmq::buffer(frameOf("a", 3)), zmq::send_flags::none);
    ASSERT_TRUE(server.waitForStream(3));
    EXPECT_EQ(server.transport->counts().senderMismatches, 1U);
    EXPECT_EQ(server.receivedCount(), 2U);
    auto mirror = makeRawClient(context, server.transport->address());
    mirror.send(zmq::buffer(frameOf("self", 4)), zmq::send_flags::none);
    mirror.send(zmq::buffer(frameOf("c", 5)), zmq::send_flags::none);
    ASSERT_TRUE(server.waitForStream(5));
    EXPECT_EQ(server.transport->counts().senderMismatches, 2U);
}

// Guards against a connection that is not restored after the peer's process was replaced at the same address.
TEST(Transport, ReconnectsAfterRestartOfThePeer)
{
    TransportFixture a;
    auto b = std::make_unique<TransportFixture>();
    const std::string address = b->transport->address();
    ASSERT_TRUE(a.send(address, 1));
    ASSERT_TRUE(b->waitForStream(1));
    b.reset();
    b = std::make_unique<TransportFixture>(address);
    // Messages sent while the peer was down may be lost; later ones must arrive.
    ASSERT_TRUE(waitFor([&] {
        a.send(address, 2);
        return b->receivedCount() > 0;
    }));
}

// Guards against an unresponsive connection that cannot be replaced.
TEST(Transport, ReconnectOpensANewLink)
{
    TransportFixture a;
    TransportFixture b;
    ASSERT_TRUE(a.send(b.transport->address(), 1));
    ASSERT_TRUE(b.waitForStream(1));
    a.transport->reconnect(b.transport->address());
    // The new connection may use another sender name; the old one may not.
    ASSERT_TRUE(a.send(b.transport->address(), 2, "c"));
    ASSERT_TRUE(b.waitForStream(2));
    EXPECT_EQ(b.transport->counts().senderMismatches, 0U);
}

// Guards against a send queue to an unreachable peer that grows without bound or blocks the sender.
TEST(Transport, QueueToAnAbsentPeerIsBounded)
{
    TransportFixture a("127.0.0.1:*", deploymentKeys(), 10);
    std::string absent;
    {
        TransportFixture gone;
        absent = gone.transport->address();
    }
    constexpr std::uint64_t count = 200;
    for (std::uint64_t stream = 0; stream < count; ++stream)
        a.send(absent, stream);
    ASSERT_TRUE(waitFor([&] {
        const auto& counts = a.transport->counts();
        return counts.sent + counts.droppedOther == count;
    }));
    EXPECT_LE(a.transport->counts().sent, 10U);
}

// Guards against settings faults that show only as connections that are never established.
TEST(Transport, BadSettingsAreRefused)
{
    TransportSettings settings;
    settings.address = "127.0.0.1:*";
    settings.publicKey = deploymentKeys().first;
    settings.secretKey = generateCurveKeyPair().second;
    EXPECT_EQ(Transport::start(settings, {}).error().code, core::ResultCode::SettingsFault);
    settings.secretKey = deploymentKeys().second;
    settings.address = "no address";
    EXPECT_EQ(Transport::start(settings, {}).error().code, core::ResultCode::SettingsFault);
}

} // namespace lagoontiller::nodes
