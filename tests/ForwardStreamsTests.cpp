#include "nodes/ForwardStreams.h"

namespace lagoontiller::nodes {

namespace {

constexpr core::TimePoint start { std::chrono::seconds(100) };

/// Two nodes "a" (opens) and "b" (serves) joined by an ordered link, with the events of both sides as text.
class StreamPair {
public:
    explicit StreamPair(ForwardSettings settings = {})
        : a(1000, settings)
        , b(5000, settings)
    {
    }

    StreamKey open()
    {
        ForwardEffects effects;
        wire::ForwardOpen request;
        request.set_method("POST");
        const auto key = this->a.open("b", request, this->now, effects);
        this->perform("a", std::move(effects));
        return key;
    }

    [[nodiscard]] static StreamKey serverKey(const StreamKey& key) { return { "a", key.stream }; }

    void perform(const std::string& node, ForwardEffects effects)
    {
        for (auto& effect : effects)
            std::visit([&](auto& value) { this->record(node, value); }, effect);
    }

    /// Delivers all messages in flight; `lost` gives the positions that are dropped.
    void deliver(const std::set<std::size_t>& lost = {})
    {
        std::size_t position = 0;
        while (!this->inFlight.empty()) {
            auto [from, message] = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            if (lost.contains(position++))
                continue;
            message.envelope.set_sender(from);
            auto& target = message.node == "a" ? this->a : this->b;
            this->perform(message.node, target.handle(message.envelope, this->now));
        }
    }

    [[nodiscard]] std::size_t count(const std::string& event) const
    {
        return static_cast<std::size_t>(std::count(this->events.begin(), this->events.end(), event));
    }

    ForwardStreams a;
    ForwardStreams b;
    core::TimePoint now = start;
    std::deque<std::pair<std::string, SendMessage>> inFlight;
    std::vector<std::string> events;

private:
    void record(const std::string& node, SendMessage& message) { this->inFlight.emplace_back(node, message); }
    void record(const std::string& node, const ResponseHeadReceived& head) { this->add(node, "head", head.status); }
    void record(const std::string& node, const ResponseDataReceived& data)
    {
        this->events.push_back(node + " data " + data.data);
    }
    void record(const std::string& node, const ResponseEnded& end)
    {
        this->add(node, "end", static_cast<int>(end.reason));
    }
    void record(const std::string& node, const RequestReceived&) { this->events.push_back(node + " request"); }
    void record(const std::string& node, const RequestCancelled& end)
    {
        this->add(node, "abandoned", static_cast<int>(end.reason));
    }
    void add(const std::string& node, const std::string& what, std::uint64_t value)
    {
        this->events.push_back(node + " " + what + " " + std::to_string(value));
    }
};

std::string endEvent(StreamEndReason end)
{
    return "a end " + std::to_string(static_cast<int>(end));
}

std::string cancelledEvent(StreamEndReason end)
{
    return "b abandoned " + std::to_string(static_cast<int>(end));
}

void answer(StreamPair& pair, const StreamKey& key, const std::vector<std::string>& parts)
{
    const auto served = StreamPair::serverKey(key);
    pair.perform("b", pair.b.sendHead(served, 200, {}, pair.now));
    for (const auto& part : parts)
        pair.perform("b", pair.b.sendData(served, part, pair.now));
    pair.perform("b", pair.b.sendEnd(served, true));
}

} // namespace

// Guards against an answer that is reordered, cut or attributed to another stream.
TEST(ForwardStreams, WholeAnswerArrivesInOrder)
{
    StreamPair pair;
    const auto key = pair.open();
    pair.deliver();
    answer(pair, key, { "x", "y" });
    pair.deliver();
    const std::vector<std::string> expected { "b request", "a head 200", "a data x", "a data y",
        endEvent(StreamEndReason::Complete) };
    EXPECT_EQ(pair.events, expected);
    EXPECT_EQ(pair.a.openedCount() + pair.b.servedCount(), 0U);
}

// Guards against an answer with a gap that is reported as complete (condition C5). Positions: head 0, data 1 to 3,
// end 4.
RC_GTEST_PROP(ForwardStreams, LostMessagesNeverGiveACompleteAnswer, ())
{
    StreamPair pair;
    const auto key = pair.open();
    pair.deliver();
    answer(pair, key, { "x", "y", "z" });
    const auto lost = *rc::gen::container<std::set<std::size_t>>(rc::gen::inRange<std::size_t>(0, 5));
    pair.deliver(lost);
    if (lost.empty()) {
        RC_ASSERT(pair.count(endEvent(StreamEndReason::Complete)) == 1U);
        return;
    }
    RC_ASSERT(pair.count(endEvent(StreamEndReason::Complete)) == 0U);
    // No data after a gap may reach the caller, who reads while the answer streams.
    RC_ASSERT(pair.count("a data y") <= pair.count("a data x"));
    RC_ASSERT(pair.count("a data z") <= pair.count("a data y"));
    pair.perform("a", pair.a.handlePeerLost("b"));
    RC_ASSERT(pair.a.openedCount() == 0U);
}

// Guards against an answer with a repeated or reordered part, and against one that is reported as complete without all
// of its parts.
RC_GTEST_PROP(ForwardStreams, RepeatedAndReorderedMessagesNeverChangeTheAnswer, ())
{
    StreamPair pair;
    const auto key = pair.open();
    pair.deliver();
    answer(pair, key, { "x", "y", "z" });
    const auto sent = pair.inFlight;
    pair.inFlight.clear();
    const auto positions = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, sent.size()));
    for (const auto position : positions)
        pair.inFlight.push_back(sent[position]);
    pair.deliver();
    std::string received;
    for (const auto& event : pair.events) {
        if (event.starts_with("a data "))
            received += event.substr(std::string_view("a data ").size());
    }
    RC_ASSERT(std::string("xyz").starts_with(received));
    if (pair.count(endEvent(StreamEndReason::Complete)) > 0)
        RC_ASSERT(received == "xyz");
}

// Guards against callers that wait indefinitely for a dead owner, and owners that run calls for a dead entry node.
TEST(ForwardStreams, LostPeerEndsItsStreamsOnly)
{
    StreamPair pair;
    const auto first = pair.open();
    pair.open();
    ForwardEffects effects;
    const auto other = pair.a.open("c", {}, pair.now, effects);
    pair.deliver();
    pair.perform("b", pair.b.sendHead(StreamPair::serverKey(first), 200, {}, pair.now));
    pair.deliver();
    pair.perform("a", pair.a.handlePeerLost("b"));
    EXPECT_EQ(pair.count(endEvent(StreamEndReason::PeerLost)), 2U);
    EXPECT_EQ(pair.a.openedCount(), 1U);
    EXPECT_FALSE(pair.a.cancel(other).empty());
    pair.perform("b", pair.b.handlePeerLost("a"));
    EXPECT_EQ(pair.count(cancelledEvent(StreamEndReason::PeerLost)), 2U);
    EXPECT_EQ(pair.b.servedCount(), 0U);
}

// Guards against an owner that continues a call after its caller disconnected, and against effects after cancellation.
TEST(ForwardStreams, CancelledStreamEndsOnBothSides)
{
    StreamPair pair;
    const auto key = pair.open();
    pair.deliver();
    pair.perform("b", pair.b.sendHead(StreamPair::serverKey(key), 200, {}, pair.now));
    pair.perform("a", pair.a.cancel(key));
    pair.deliver();
    EXPECT_EQ(pair.count(cancelledEvent(StreamEndReason::Cancelled)), 1U);
    EXPECT_EQ(pair.count("a head 200"), 0U);
    EXPECT_TRUE(pair.b.sendData(StreamPair::serverKey(key), "late", pair.now).empty());
    EXPECT_TRUE(pair.a.cancel(key).empty());
}

// Guards against streams that are never removed from memory when both sides stop sending.
TEST(ForwardStreams, IdleStreamsEnd)
{
    ForwardSettings settings;
    settings.idleTimeout = std::chrono::seconds(10);
    StreamPair pair(settings);
    const auto idle = pair.open();
    const auto active = pair.open();
    pair.deliver();
    pair.now += std::chrono::seconds(6);
    pair.perform("b", pair.b.sendHead(StreamPair::serverKey(active), 200, {}, pair.now));
    pair.deliver();
    pair.now += std::chrono::seconds(5);
    pair.perform("a", pair.a.tick(pair.now));
    pair.perform("b", pair.b.tick(pair.now));
    EXPECT_EQ(pair.count(endEvent(StreamEndReason::IdleTimeout)), 1U);
    EXPECT_EQ(pair.count(cancelledEvent(StreamEndReason::IdleTimeout)), 1U);
    EXPECT_EQ(pair.a.openedCount(), 1U);
    EXPECT_EQ(pair.b.servedCount(), 1U);
    EXPECT_TRUE(pair.a.cancel(idle).empty());
}

// Guards against an owner that streams to a restarted node, which knows nothing of the stream.
TEST(ForwardStreams, AnswerToAnUnknownStreamIsCancelled)
{
    StreamPair pair;
    const auto key = pair.open();
    pair.deliver();
    pair.a = ForwardStreams(900'000, {});
    pair.perform("b", pair.b.sendHead(StreamPair::serverKey(key), 200, {}, pair.now));
    pair.deliver();
    EXPECT_EQ(pair.a.unknownStreamCount(), 1U);
    EXPECT_EQ(pair.count(cancelledEvent(StreamEndReason::Cancelled)), 1U);
}

// Guards against a request that runs twice, and against unbounded memory use by one peer.
TEST(ForwardStreams, RepeatedAndExcessiveOpensAreRefused)
{
    ForwardSettings settings;
    settings.maxServedStreamsPerPeer = 2;
    StreamPair pair(settings);
    wire::Envelope envelope;
    envelope.set_sender("a");
    for (const std::uint64_t stream : { 1, 1, 2, 3 }) {
        envelope.mutable_forward_open()->set_stream(stream);
        pair.perform("b", pair.b.handle(envelope, pair.now));
    }
    EXPECT_EQ(pair.count("b request"), 2U);
    ASSERT_EQ(pair.inFlight.size(), 1U);
    EXPECT_EQ(pair.inFlight.front().second.envelope.forward_end().stream(), 3U);
    EXPECT_FALSE(pair.inFlight.front().second.envelope.forward_end().complete());
    // Room is free again after one has ended.
    pair.perform("b", pair.b.sendEnd({ "a", 1 }, true));
    envelope.mutable_forward_open()->set_stream(4);
    pair.perform("b", pair.b.handle(envelope, pair.now));
    EXPECT_EQ(pair.count("b request"), 3U);
}

// Guards against a peer that ends or writes to a stream opened to another node.
TEST(ForwardStreams, OtherPeersCannotTouchAStream)
{
    StreamPair pair;
    const auto key = pair.open();
    wire::Envelope envelope;
    envelope.set_sender("c");
    envelope.mutable_forward_head()->set_stream(key.stream);
    pair.perform("a", pair.a.handle(envelope, pair.now));
    envelope.mutable_forward_end()->set_stream(key.stream);
    pair.perform("a", pair.a.handle(envelope, pair.now));
    EXPECT_EQ(pair.a.openedCount(), 1U);
    EXPECT_TRUE(pair.events.empty());
}

} // namespace lagoontiller::nodes
