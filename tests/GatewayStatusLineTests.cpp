// Endpoints whose status lines are outside the protocol (RFC 9110, section 15), on real sockets: what callers get.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::CallKind;
using std::chrono::milliseconds;
using Answer = ScriptedEndpoint::Answer;
using Then = Answer::Then;

/// \brief Status lines without the end of the line.
const std::vector<std::string> invalidLines { "HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X",
    "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2 X", "HTTP/1.1 0200 X", "HTTP/1.1 2000 X",
    "HTTP/1.1  200 X", "HTTP/1.1 -20 X", "HTTP/1.1 20x X", "HTTP/2.0 200 X", "HTTP/0.9 200 X", "HTTP/1.10 200 X" };

struct RouteCase {
    std::string name;
    CallKind kind = CallKind::Idempotent;
    bool resumable = false;
};

void PrintTo(const RouteCase& route, std::ostream* stream)
{
    *stream << route.name;
}

class InvalidStatusLine : public testing::TestWithParam<RouteCase> {
protected:
    static gateway::Route route()
    {
        gateway::Route route;
        route.name = "r";
        route.kind = GetParam().kind;
        route.resumable = GetParam().resumable;
        route.maxAttempts = 2;
        route.targetLatency = milliseconds(300);
        route.targetGap = milliseconds(250);
        return route;
    }

    static bool streams() { return GetParam().kind == CallKind::Streaming; }

    static std::string sound() { return streams() ? soundStream : wholeAnswer("a", 200, "sound", signatureLine); }

    static inline const std::string soundStream
        = streamHead("a") + event(1, "sound") + std::string(transport::lastChunk);
};

const std::string answerHead = "\r\nX-Request-Id: a\r\n" + signatureLine + "Content-Length: 5\r\n\r\n";

} // namespace

// Guards against a status outside the protocol that reaches the caller as an answer, or with bytes behind it that pass
// as the answer, or that holds the call until its deadline.
TEST_P(InvalidStatusLine, IsAFailureOfTheEndpoint)
{
    for (const auto& line : invalidLines) {
        for (const auto& rest : { answerHead + "wrong", answerHead + "wrong" + sound(), "\r\n\r\n" + sound() }) {
            GatewayWorld world;
            ScriptedEndpoint endpoint(world.context, { { line + rest, Then::Keep } });
            world.serve(route(), { &endpoint });
            const auto sentAt = core::monotonicNow();
            const auto seen = world.ask("a");
            EXPECT_EQ(seen->status, 502) << line;
            EXPECT_EQ(seen->body, "") << line;
            EXPECT_LT(core::monotonicNow() - sentAt, milliseconds(1'000)) << line;
        }
    }
}

// Guards against the same on the connection that a call before has used, and in place of a final response.
TEST_P(InvalidStatusLine, IsAFailureOnAKeptConnectionAndAfterAnInterimResponse)
{
    for (const auto& line : invalidLines) {
        GatewayWorld world;
        const std::string interim = "HTTP/1.1 103 Early Hints\r\nX-Request-Id: a\r\nLink: y\r\n\r\n";
        ScriptedEndpoint endpoint(world.context,
            { { wholeAnswer("{id}", 404, "first", signatureLine) }, { interim + line + answerHead + "wrong" } });
        world.serve(route(), { &endpoint });
        EXPECT_EQ(world.ask("first")->status, 404);
        const auto seen = world.ask("a");
        EXPECT_EQ(seen->status, 502) << line;
        EXPECT_EQ(seen->body, "") << line;
    }
}

// Guards against calls that run again although they may not, or not although they may.
TEST_P(InvalidStatusLine, RunsAgainOnlyWhereTheCallMay)
{
    const bool repeatable = GetParam().kind == CallKind::Idempotent || GetParam().resumable;
    GatewayWorld world;
    const Answer wrong { "HTTP/1.1 000 X" + answerHead + "wrong" };
    ScriptedEndpoint first(world.context, { wrong, { sound() } });
    ScriptedEndpoint second(world.context, { wrong, { sound() } });
    world.serve(route(), { &first, &second });
    EXPECT_EQ(world.ask("a")->status, 502);
    const auto runs = first.requests.size() + second.requests.size();
    EXPECT_EQ(runs, repeatable ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Routes, InvalidStatusLine,
    testing::Values(RouteCase { "idempotent", CallKind::Idempotent },
        RouteCase { "not repeatable", CallKind::NonIdempotent }, RouteCase { "stream", CallKind::Streaming },
        RouteCase { "resumable stream", CallKind::Streaming, true }));

// Guards against sound status lines that are refused, whatever the segments in which they arrive.
TEST(StatusLine, SoundOnesAreAccepted)
{
    for (const std::string line : { "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 599 X",
             "HTTP/1.1 418 X", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 P\r\nA: b\r\n\r\nHTTP/1.1 204 None",
             "\r\nHTTP/1.1 200 OK" }) {
        const auto text = line + "\r\nContent-Length: 0\r\n\r\n";
        transport::Parser whole(transport::Parser::Kind::Response, {});
        (void)whole.feed(text);
        EXPECT_EQ(whole.state(), transport::ParserState::Complete) << line;
        transport::Parser bytes(transport::Parser::Kind::Response, {});
        for (const char byte : text)
            (void)bytes.feed(std::string_view(&byte, 1));
        EXPECT_EQ(bytes.state(), transport::ParserState::Complete) << line;
    }
}

} // namespace lagoontiller::tests
