// Late second responses on connections that are reused: which request a response is taken for.

#include "proto/gateway.pb.h"
#include "support/GatewayWorld.h"
#include "transport/SentIdentifiers.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::CallKind;
using std::chrono::milliseconds;
using Answer = ScriptedEndpoint::Answer;
using Then = Answer::Then;

gateway::Route routeOf(CallKind kind)
{
    gateway::Route route;
    route.name = "r";
    route.kind = kind;
    route.maxAttempts = 2;
    route.targetLatency = std::chrono::seconds(2);
    route.targetGap = std::chrono::seconds(2);
    route.timeout = std::chrono::seconds(4);
    return route;
}

/// \brief The answer, and copies of it until the connection is closed.
Answer repeating(const std::string& answer)
{
    return { answer, Then::Repeat, answer, milliseconds(60) };
}

/// \brief The answer after a run that takes longer than the first copy.
Answer slow(const std::string& answer)
{
    return { "", Then::Repeat, answer, milliseconds(200) };
}

struct LateCopyCase {
    std::string name;
    CallKind kind = CallKind::NonIdempotent;
    /// \brief Answer to the first attempt, copies of which come late.
    std::string first;
    std::string second;
    int status = 200;
    std::string body;
};

void PrintTo(const LateCopyCase& each, std::ostream* stream)
{
    *stream << each.name;
}

class LateCopyOfAnAttempt : public testing::TestWithParam<LateCopyCase> { };

const std::string notExecuted = "X-Not-Executed: 1\r\n";
const std::string done = wholeAnswer("a", 200, "done", signatureLine);
const std::string stream = streamHead("a") + event(1, "x") + event(2, "y") + std::string(transport::lastChunk);

} // namespace

// Guards against a late copy of the answer to an attempt that is taken for the answer to the next attempt of the call,
// at another process on the same address: a request that isn't idempotent would run twice (TWICE) or be refused
// although it ran (REFUSED), any other would get a wrong answer (MIXED).
TEST_P(LateCopyOfAnAttempt, IsNotTheAnswerToTheNextOne)
{
    const auto& each = GetParam();
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context, { repeating(each.first), slow(each.second) });
    ScriptedEndpoint other(world.context, std::vector<Answer> { { wholeAnswer("a", 200, "other", signatureLine) } });
    // Two ids at one address: a process that has crashed, and its successor.
    world.serve(routeOf(each.kind), { &endpoint, &endpoint });
    world.directory.upsert({ "i-3", "s", other.address(), "elsewhere", 4, false, 0 }, core::monotonicNow());
    const auto seen = world.ask("a");
    EXPECT_EQ(seen->status, each.status);
    EXPECT_NE(seen->body.find(each.body), std::string::npos) << seen->body;
    EXPECT_EQ(endpoint.requests.size(), 2U);
    EXPECT_TRUE(other.requests.empty()) << "the request runs at two endpoints";
}

INSTANTIATE_TEST_SUITE_P(Cases, LateCopyOfAnAttempt,
    testing::Values(
        LateCopyCase { "Misdirected", CallKind::NonIdempotent, wholeAnswer("a", 421, ""), done, 200, "done" },
        LateCopyCase { "Full", CallKind::NonIdempotent, wholeAnswer("a", 503, "", notExecuted), done, 200, "done" },
        LateCopyCase {
            "OverItsRate", CallKind::NonIdempotent, wholeAnswer("a", 429, "", notExecuted), done, 200, "done" },
        LateCopyCase { "MisdirectedRead", CallKind::Idempotent, wholeAnswer("a", 421, ""), done, 200, "done" },
        LateCopyCase {
            "FailedRead", CallKind::Idempotent, wholeAnswer("a", 500, "", signatureLine), done, 200, "done" },
        LateCopyCase { "MisdirectedStream", CallKind::Streaming, wholeAnswer("a", 421, ""), stream, 200, "data: y" },
        LateCopyCase { "BehindAnInterimResponse", CallKind::NonIdempotent, wholeAnswer("a", 421, ""),
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Request-Id: a\r\n\r\n" + done, 200, "done" }),
    [](const auto& info) { return info.param.name; });

// Guards against the answer to an earlier call with the same id (MIXED): callers may use an id again.
TEST(GatewayAttribution, ALateCopyIsNotTheAnswerToAnotherCallWithTheSameId)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context,
        { repeating(wholeAnswer("a", 200, "first", signatureLine)),
            slow(wholeAnswer("a", 200, "second", signatureLine)) });
    world.serve(routeOf(CallKind::NonIdempotent), { &endpoint });
    EXPECT_EQ(world.ask("a")->body, "first");
    EXPECT_EQ(world.ask("a")->body, "second");
}

// Guards against a late copy that arrives before a request without an identifier is sent, such as a store call, and
// that is read after it (MIXED).
TEST(GatewayAttribution, BytesFromBeforeTheRequestAreNotItsAnswer)
{
    asio::io_context context;
    transport::ClientPool pool(context);
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto answer = [](const std::string& body) {
        return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::string body;
    int ended = 0;
    const auto send = [&] {
        transport::ExchangeEvents events;
        events.head = [](transport::ResponseHead&&) {};
        events.body = [&body](std::string&& bytes) { body += bytes; };
        events.ended = [&ended](transport::ExchangeEnd) { ++ended; };
        pool.send(address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", {}, std::move(events));
    };
    send();
    asio::ip::tcp::socket first(context);
    acceptor.accept(first);
    asio::write(first, asio::buffer(answer("first")));
    ASSERT_TRUE(runUntil(context, [&ended] { return ended == 1; }));
    // The context doesn't run between the arrival of the copy and the next request.
    asio::write(first, asio::buffer(answer("first")));
    body.clear();
    send();
    acceptor.non_blocking(true);
    asio::ip::tcp::socket second(context);
    asio::error_code error;
    ASSERT_TRUE(runUntil(context, [&] {
        if (!second.is_open())
            acceptor.accept(second, error);
        return second.is_open() || ended == 2;
    }));
    ASSERT_TRUE(second.is_open()) << "the request was sent on a connection with unread bytes";
    asio::write(second, asio::buffer(answer("second")));
    ASSERT_TRUE(runUntil(context, [&ended] { return ended == 2; }));
    EXPECT_EQ(body, "second");
}

// Guards against a peer's late second response that answers the next message (MIXED): a reservation would count as
// granted, a relayed write as done.
TEST(GatewayAttribution, APeersLateResponseIsNotThatToTheNextMessage)
{
    asio::io_context context;
    transport::ClientPool pool(context);
    gateway::PeerClient client(pool);
    const auto answer = [](const std::string& exchange, gateway::wire::PeerResponse::BudgetAnswer budget) {
        gateway::wire::PeerResponse response;
        response.set_budget(budget);
        const auto body = response.SerializeAsString();
        return "HTTP/1.1 200 X\r\nExchange-Id: " + exchange + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    };
    const auto granted = answer("1", gateway::wire::PeerResponse::GRANTED);
    ScriptedEndpoint peer(context,
        std::vector<Answer> { { granted }, { granted + answer("2", gateway::wire::PeerResponse::EXHAUSTED) } });
    std::vector<int> answers;
    const auto ask = [&] {
        client.send(peer.address(), {}, [&answers](const gateway::wire::PeerResponse* response) {
            answers.push_back(response == nullptr ? -1 : static_cast<int>(response->budget()));
        });
        const auto count = answers.size() + 1;
        (void)runUntil(context, [&] { return answers.size() == count; });
    };
    ask();
    ask();
    EXPECT_EQ(
        answers, (std::vector<int> { gateway::wire::PeerResponse::GRANTED, gateway::wire::PeerResponse::EXHAUSTED }));
    EXPECT_EQ(peer.connections, 1) << "the connection was not reused";
}

// Guards against identifiers of a long-lived connection that take memory without a limit.
TEST(SentIdentifiers, AreRememberedUpToALimit)
{
    transport::SentIdentifiers identifiers;
    for (std::size_t number = 0; number < transport::SentIdentifiers::maxCount; ++number) {
        const auto identifier = std::to_string(number);
        EXPECT_FALSE(identifiers.full());
        EXPECT_FALSE(identifiers.contains(identifier));
        identifiers.add(identifier);
        EXPECT_TRUE(identifiers.contains("0"));
        EXPECT_TRUE(identifiers.contains(identifier));
    }
    EXPECT_TRUE(identifiers.full());
}

} // namespace lagoontiller::tests
