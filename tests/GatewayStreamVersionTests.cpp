// Streams that are resumed while endpoints of several software versions serve, on real sockets: all events come from
// the version that began the stream.

#include "proto/gateway.pb.h"
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

void listVersions(GatewayWorld& world, const std::vector<std::pair<std::string, std::uint64_t>>& versions)
{
    gateway::wire::ServiceVersionsRecord record;
    for (const auto& [version, goneAtMs] : versions) {
        auto* const added = record.add_versions();
        added->set_version(version);
        added->set_gone_at_ms(goneAtMs);
    }
    world.store.put({ gateway::ServiceVersions::table, "", "s" }, record.SerializeAsString());
}

/// \brief The same on a route that permits to repeat calls, but not to resume streams.
gateway::Route idempotentRoute()
{
    auto route = resumableRoute();
    route.kind = gateway::CallKind::Idempotent;
    route.resumable = false;
    route.timeout = milliseconds(1'000);
    return route;
}

} // namespace

// Guards against one response that joins events of two software versions on a route without resumption.
TEST(GatewayStreamVersion, AStreamOfAnIdempotentRouteIsNotContinued)
{
    GatewayWorld world;
    ScriptedEndpoint first(world.context, { brokenStream("v1") });
    ScriptedEndpoint second(world.context, { brokenStream("v2") });
    world.serve(idempotentRoute(), { &first, &second }, { "v1", "v2" });
    const auto seen = world.ask("a");
    ASSERT_TRUE(seen->end.has_value());
    EXPECT_EQ(*seen->end, transport::ExchangeEnd::Broken);
    EXPECT_FALSE(contains(*seen, "v1") && contains(*seen, "v2"));
    EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
}

// Guards against a pause that ends such a stream, which no other endpoint may continue.
TEST(GatewayStreamVersion, AStreamOfAnIdempotentRouteIsNotCutForAPause)
{
    GatewayWorld world;
    const Answer slow { streamHead("{id}") + event(1, "v1"), Then::Repeat,
        event(2, "v1") + std::string(transport::lastChunk), milliseconds(700) };
    ScriptedEndpoint endpoint(world.context, { slow });
    world.serve(idempotentRoute(), { &endpoint });
    const auto seen = world.ask("a");
    ASSERT_TRUE(seen->end.has_value());
    EXPECT_EQ(*seen->end, transport::ExchangeEnd::Complete);
    EXPECT_TRUE(contains(*seen, "id: 2"));
    EXPECT_EQ(endpoint.requests.size(), 1U);
}

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

struct ResumptionCase {
    std::string name;
    /// \brief Versions in the row of the service, with the time at which they left.
    std::vector<std::pair<std::string, std::uint64_t>> listed;
    std::vector<std::string> inService;
    int status = 200;
};

void PrintTo(const ResumptionCase& resumption, std::ostream* stream)
{
    *stream << resumption.name;
}

class ResumptionOfAnUnknownStream : public testing::TestWithParam<ResumptionCase> { };

// Guards against joined versions when all nodes lost their memory and callers resume streams from before: the version
// that began the stream may be any that was in service then.
TEST_P(ResumptionOfAnUnknownStream, GoesOnOnlyIfOneVersionCanHaveBegunIt)
{
    GatewayWorld world;
    world.store.now = 100'000;
    listVersions(world, GetParam().listed);
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    std::vector<ScriptedEndpoint*> pointers;
    for (const auto& version : GetParam().inService) {
        endpoints.push_back(
            std::make_unique<ScriptedEndpoint>(world.context, std::vector<Answer> { brokenStream(version) }));
        pointers.push_back(endpoints.back().get());
    }
    world.serve(resumableRoute(), pointers, GetParam().inService);
    const auto seen = world.ask("b", resumption("lost"));
    EXPECT_EQ(seen->status, GetParam().status);
    std::size_t requests = 0;
    for (const auto& endpoint : endpoints)
        requests += endpoint->requests.size();
    EXPECT_EQ(requests, seen->status == 200 ? 1U : 0U);
    EXPECT_EQ(contains(*seen, GetParam().inService.front()), seen->status == 200);
}

INSTANTIATE_TEST_SUITE_P(Cases, ResumptionOfAnUnknownStream,
    testing::Values(ResumptionCase { "OnlyVersion", { { "v1", 0 } }, { "v1", "v1" }, 200 },
        ResumptionCase { "TwoVersions", { { "v1", 0 }, { "v2", 0 } }, { "v1", "v2" }, 503 },
        // No stream begins at a version before it is listed.
        ResumptionCase { "NewVersionInViewOnly", { { "v1", 0 } }, { "v1", "v2" }, 200 },
        ResumptionCase { "NothingListed", {}, { "v1" }, 200 },
        ResumptionCase { "NothingListedAndTwoVersions", {}, { "v1", "v2" }, 503 },
        ResumptionCase { "OldVersionMissing", { { "v1", 0 }, { "v2", 0 } }, { "v2" }, 503 },
        ResumptionCase { "OldVersionJustGone", { { "v1", 99'000 }, { "v2", 0 } }, { "v2" }, 503 },
        ResumptionCase { "OldVersionLongGone", { { "v1", 50'000 }, { "v2", 0 } }, { "v2" }, 200 }),
    [](const auto& info) { return info.param.name; });

struct OutOfStepCase {
    std::string name;
    /// \brief Whether a peer has stated that it cannot reach the store either.
    bool outageConfirmed = false;
    int status = 0;
};

class NodeWithoutStore : public testing::TestWithParam<OutOfStepCase> { };

// Guards against joined versions at a node that was cut off while endpoints of a new version joined: the list of
// versions that it last read does not contain the one that began the stream.
TEST_P(NodeWithoutStore, ResumesAStreamOnlyIfNoVersionCanHaveJoined)
{
    GatewayWorld world;
    world.store.now = 100'000;
    listVersions(world, { { "v1", 0 } });
    ScriptedEndpoint endpoint(world.context, { brokenStream("v1") });
    world.serve(resumableRoute(), { &endpoint }, { "v1" });
    ASSERT_TRUE(runUntil(world.context, [&world] { return world.versions.listed("s").size() == 1; }));
    world.store.fault = StoreFault::Down;
    (void)world.ask("before", resumption("lost"));
    endpoint.requests.clear();
    if (GetParam().outageConfirmed)
        world.contact.notePeerWithoutStore(core::monotonicNow());
    const auto seen = world.ask("b", resumption("lost"));
    EXPECT_EQ(seen->status, GetParam().status);
    EXPECT_EQ(endpoint.requests.size(), seen->status == 200 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Cases, NodeWithoutStore,
    testing::Values(OutOfStepCase { "CutOff", false, 503 }, OutOfStepCase { "OutageForAll", true, 200 }),
    [](const auto& info) { return info.param.name; });

// Guards against streams that begin at a version which no row lists: a node that knows only the other version would
// resume them there.
TEST(GatewayStreamVersion, NoStreamBeginsBeforeItsVersionIsListed)
{
    GatewayWorld world;
    world.store.fault = StoreFault::Down;
    ScriptedEndpoint first(world.context, { brokenStream("v1") });
    ScriptedEndpoint second(world.context, { brokenStream("v2") });
    world.serve(resumableRoute(), { &first, &second }, { "v1", "v2" });
    const auto refused = world.ask("a");
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(first.requests.empty() && second.requests.empty());

    const auto waiting = world.call("b");
    world.store.fault = StoreFault::None;
    ASSERT_TRUE(runUntil(world.context, [&waiting] { return waiting->end.has_value(); }));
    EXPECT_EQ(waiting->status, 200);
    EXPECT_EQ(world.versions.listed("s"), (std::set<std::string> { "v1", "v2" }));
}

// Guards against joined versions when the endpoint that a resumption waits for is replaced by another version.
TEST(GatewayStreamVersion, AResumptionThatWaitsForARateLimitDoesNotReachAnotherVersion)
{
    GatewayWorld world;
    auto answer = brokenStream("v1");
    answer.bytes.insert(answer.bytes.find("\r\n") + 2, "Server-Limit: 50\r\n");
    ScriptedEndpoint endpoint(world.context, { answer });
    world.serve(resumableRoute(), { &endpoint }, { "v1" });
    EXPECT_TRUE(contains(*world.ask("a"), "v1"));
    const auto resumed = world.call("b", resumption("a"));
    ASSERT_TRUE(runUntil(world.context, [&world] { return world.gateway.callsInProgress() == 1; }));
    world.directory.upsert({ "i-1", "s", endpoint.address(), "z", 4, false, 1, "v2" }, core::monotonicNow());
    ASSERT_TRUE(runUntil(world.context, [&resumed] { return resumed->end.has_value(); }));
    EXPECT_EQ(resumed->status, 503);
    EXPECT_TRUE(std::none_of(endpoint.requests.begin(), endpoint.requests.end(),
        [](const auto& request) { return request.find("Last-Event-Id") != std::string::npos; }));
}

// Guards against refusing streams of a version that still serves when the memory of all nodes is lost.
TEST(GatewayStreamVersion, AStreamIsResumedAfterTheLossOfAllNodesByItsRow)
{
    GatewayWorld before;
    before.store.now = 100'000;
    listVersions(before, { { "v1", 0 }, { "v2", 0 } });
    ScriptedEndpoint first(before.context, { brokenStream("v1", Then::Crash) });
    before.serve(resumableRoute(), { &first }, { "v1" });
    ASSERT_TRUE(runUntil(before.context, [&before] { return before.versions.severalInService("s"); }));
    EXPECT_TRUE(contains(*before.ask("a"), "v1"));
    const auto isWritten = [&before] {
        return std::any_of(before.store.rows.begin(), before.store.rows.end(),
            [](const auto& row) { return row.first.table == gateway::StreamVersionRows::table; });
    };
    ASSERT_TRUE(runUntil(before.context, isWritten));

    GatewayWorld after;
    after.store.now = 101'000;
    for (const auto& [key, row] : before.store.rows)
        after.store.put(key, row.value);
    ScriptedEndpoint second(after.context, { brokenStream("v2") });
    ScriptedEndpoint third(after.context, { brokenStream("v1") });
    after.serve(resumableRoute(), { &second, &third }, { "v2", "v1" });
    const auto resumed = after.ask("b", resumption("a"));
    EXPECT_EQ(resumed->status, 200);
    EXPECT_TRUE(contains(*resumed, "v1"));
    EXPECT_TRUE(second.requests.empty());
}

} // namespace lagoontiller::tests
