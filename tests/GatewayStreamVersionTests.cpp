// Streams that are resumed while endpoints of several software versions serve, on real sockets: all events come from
// the version that began the stream.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using Answer = ScriptedEndpoint::Answer;
using Then = Answer::Then;

gateway::Route resumableRoute()
{
    gateway::Route route;
    route.name = "r";
    route.kind = gateway::CallKind::Streaming;
    route.maxAttempts = 2;
    route.resumable = true;
    route.targetLatency = milliseconds(300);
    route.targetGap = milliseconds(250);
    return route;
}

std::string events(const std::string& version, int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id, version);
    return text;
}

/// \brief A stream that breaks off after two events; a request that resumes it gets the other two.
Answer brokenStream(const std::string& version, Then then = Then::Reset)
{
    return { streamHead("{id}") + events(version, 1, 2), then, {}, {},
        streamHead("{id}") + events(version, 3, 4) + std::string(transport::lastChunk) };
}

bool contains(const Seen& seen, const std::string& text)
{
    return seen.body.find(text) != std::string::npos;
}

std::string resumption(const std::string& stream)
{
    return "Last-Event-Id: 2\r\nResumes: " + stream + "\r\n";
}

} // namespace

// Guards against one response that joins events of two software versions.
TEST(GatewayStreamVersion, AStreamIsNotContinuedByAnotherVersion)
{
    GatewayWorld world;
    ScriptedEndpoint first(world.context, { brokenStream("v1", Then::Crash) });
    ScriptedEndpoint second(world.context, { brokenStream("v2", Then::Crash) });
    world.serve(resumableRoute(), { &first, &second }, { "v1", "v2" });
    const auto seen = world.ask("a");
    ASSERT_TRUE(seen->end.has_value());
    EXPECT_NE(*seen->end, transport::ExchangeEnd::Complete);
    EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
    EXPECT_NE(contains(*seen, "v1"), contains(*seen, "v2"));
}

// Guards against giving up streams that an endpoint of the same version can continue.
TEST(GatewayStreamVersion, AStreamIsContinuedByItsVersion)
{
    GatewayWorld world;
    ScriptedEndpoint first(world.context, { brokenStream("v1") });
    ScriptedEndpoint second(world.context, { brokenStream("v2") });
    ScriptedEndpoint third(world.context, { brokenStream("v1") });
    ScriptedEndpoint fourth(world.context, { brokenStream("v2") });
    world.serve(resumableRoute(), { &first, &second, &third, &fourth }, { "v1", "v2", "v1", "v2" });
    for (const std::string id : { "a", "b", "c", "d" }) {
        const auto seen = world.ask(id);
        EXPECT_EQ(*seen->end, transport::ExchangeEnd::Complete);
        EXPECT_NE(contains(*seen, "v1"), contains(*seen, "v2"));
        EXPECT_TRUE(contains(*seen, "id: 4"));
    }
}

// Guards against callers that take a stream up and get the rest of it from another version.
TEST(GatewayStreamVersion, ACallerResumesAtTheVersionThatBeganTheStream)
{
    GatewayWorld world;
    ScriptedEndpoint first(world.context, { brokenStream("v1") });
    ScriptedEndpoint second(world.context, { brokenStream("v2") });
    world.serve(resumableRoute(), { &first, &second }, { "v1", "v2" });
    const auto begun = world.ask("a");
    const std::string version = contains(*begun, "v1") ? "v1" : "v2";
    for (const std::string id : { "b", "c", "d" }) {
        const auto resumed = world.ask(id, resumption("a"));
        EXPECT_EQ(resumed->status, 200);
        EXPECT_TRUE(contains(*resumed, version));
        EXPECT_FALSE(contains(*resumed, version == "v1" ? "v2" : "v1"));
    }
}

} // namespace lagoontiller::tests
