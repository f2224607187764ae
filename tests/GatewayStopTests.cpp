// What a stopping node does with calls whose first or further attempt would begin after its SIGTERM.

#include "core/SignalTime.h"
#include "support/GatewayWorld.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace lagoontiller::tests {

namespace {

using gateway::CallKind;
using gateway::StopSchedule;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Answer = ScriptedEndpoint::Answer;
using Then = Answer::Then;

constexpr seconds grace { 5 };

gateway::Route routeOf(CallKind kind, bool resumable = false)
{
    gateway::Route route;
    route.name = "r";
    route.kind = kind;
    route.maxAttempts = 3;
    route.resumable = resumable;
    route.targetLatency = seconds(2);
    route.targetGap = seconds(2);
    route.timeout = seconds(6);
    return route;
}

/// \brief Sends the bytes after a pause, in which the node begins to stop.
Answer later(const std::string& bytes)
{
    return { "", Then::Repeat, bytes, milliseconds(100) };
}

const std::string refusalBytes = wholeAnswer("a", 503, "", "X-Not-Executed: 1\r\n");
const std::string garbage = "no answer\r\n\r\n";

struct FurtherAttemptCase {
    std::string name;
    gateway::Route route;
    /// \brief What the first endpoint does while the node begins to stop.
    Answer first;
    /// \brief Further head lines of the request.
    std::string head;
    /// \brief What the caller gets; status 200 with an incomplete response for a stream that is broken off.
    int status = 0;
    bool whole = true;
    std::size_t furtherAttempts = 0;
};

void PrintTo(const FurtherAttemptCase& each, std::ostream* stream)
{
    *stream << each.name;
}

class FurtherAttemptWhileStopping : public testing::TestWithParam<FurtherAttemptCase> { };

const std::string inTime = "X-Deadline-Ms: 3000\r\n";

/// \brief The first event of a stream, then garbage in place of a chunk.
Answer brokenStream()
{
    return { streamHead("{id}") + event(1, "a"), Then::Repeat, "no chunk\r\n", milliseconds(100) };
}

} // namespace

// Guards against an attempt that begins after SIGTERM and that the end of the node cuts off (LOST).
TEST_P(FurtherAttemptWhileStopping, BeginsOnlyIfItCanEnd)
{
    const auto& each = GetParam();
    GatewayWorld world;
    ScriptedEndpoint first(world.context, { each.first });
    const auto whole = each.route.kind == CallKind::Streaming
        ? streamHead("{id}") + event(2, "b") + std::string(transport::lastChunk)
        : wholeAnswer("{id}", 200, "second", signatureLine);
    ScriptedEndpoint second(world.context, std::vector<Answer> { { whole } });
    world.serve(each.route, { &first });
    world.gateway.updateServiceVersions(core::monotonicNow());
    const auto seen = world.call("a", each.head);
    ASSERT_TRUE(runUntil(world.context, [&first] { return first.requests.size() == 1; }));
    world.addEndpoint("s", second);
    world.gateway.startDraining(StopSchedule(core::monotonicNow(), grace));
    const auto stoppedAt = core::monotonicNow();
    ASSERT_TRUE(runUntil(world.context, [&seen] { return seen->end.has_value(); }));
    EXPECT_LT(core::monotonicNow() - stoppedAt, milliseconds(1'000)) << "the caller must be told at once";
    EXPECT_EQ(seen->status, each.status);
    EXPECT_EQ(*seen->end == transport::ExchangeEnd::Complete, each.whole);
    EXPECT_EQ(second.requests.size(), each.furtherAttempts);
}

INSTANTIATE_TEST_SUITE_P(Cases, FurtherAttemptWhileStopping,
    testing::Values(
        FurtherAttemptCase { "AfterARefusal", routeOf(CallKind::NonIdempotent), later(refusalBytes), {}, 503 },
        FurtherAttemptCase {
            "AfterAMisdirection", routeOf(CallKind::NonIdempotent), later(wholeAnswer("a", 421, "")), {}, 503 },
        FurtherAttemptCase { "AfterARefusedStream", routeOf(CallKind::Streaming), later(refusalBytes), {}, 503 },
        FurtherAttemptCase { "AfterARunThatFailed", routeOf(CallKind::Idempotent), later(garbage), {}, 502 },
        FurtherAttemptCase { "AfterABrokenStream", routeOf(CallKind::Streaming, true), brokenStream(), {}, 200, false },
        FurtherAttemptCase {
            "AfterARefusalInTime", routeOf(CallKind::NonIdempotent), later(refusalBytes), inTime, 200, true, 1 },
        FurtherAttemptCase {
            "AfterARunThatFailedInTime", routeOf(CallKind::Idempotent), later(garbage), inTime, 200, true, 1 },
        FurtherAttemptCase {
            "AfterABrokenStreamInTime", routeOf(CallKind::Streaming, true), brokenStream(), inTime, 200, true, 1 }),
    [](const auto& info) { return info.param.name; });

// Guards against a call that waits while the node stops, and that is refused only when what it waits for is there
// (LOST, if it is then sent to an endpoint).
TEST(CallThatWaitsAtSigterm, IsRefusedAtOnceIfItCannotEnd)
{
    GatewayWorld world;
    ScriptedEndpoint endpoint(world.context, std::vector<Answer> { { wholeAnswer("{id}", 200, "x", signatureLine) } });
    world.store.fault = StoreFault::Silent;
    auto route = routeOf(CallKind::Streaming);
    world.serve(route, { &endpoint });
    const std::string program
        = "X-Program-Id: p\r\nX-Session-Id: s\r\nX-Token-Budget: 1088\r\nX-Token-Usage: 10,136\r\n";
    const auto late = world.call("late", program);
    const auto inTimeCall = world.call("intime", program + inTime);
    ASSERT_TRUE(runUntil(world.context, [&world] { return world.gateway.callsInProgress() == 2; }));
    world.gateway.startDraining(StopSchedule(core::monotonicNow(), grace));
    ASSERT_TRUE(runUntil(
        world.context, [&late] { return late->end.has_value(); }, milliseconds(50)));
    EXPECT_EQ(late->status, 503);
    EXPECT_FALSE(late->fields.find("Retry-After")) << "another node serves the call now";
    EXPECT_FALSE(inTimeCall->end.has_value()) << "a call that can end in time goes on";
    EXPECT_TRUE(endpoint.requests.empty());
}

// Guards against a node that stops while it starts and sends callers away for a time, as if it would serve them then.
TEST(CallThatWaitsAtSigterm, IsNotToldToReturnToANodeWithoutConfiguration)
{
    GatewayWorld world;
    EXPECT_TRUE(world.ask("starting")->fields.find("Retry-After"));
    world.gateway.startDraining(StopSchedule(core::monotonicNow(), grace));
    const auto seen = world.ask("stopping");
    EXPECT_EQ(seen->status, 503);
    EXPECT_FALSE(seen->fields.find("Retry-After"));
}

// Guards against a grace that is counted from the moment at which a busy event loop handles SIGTERM: the node would
// take calls that SIGKILL cuts off (LOST).
TEST(SignalTime, IsThatOfTheDeliveryNotOfTheHandler)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGUSR1);
    core::recordSignalTime(SIGUSR1);
    EXPECT_FALSE(core::signalTime(SIGUSR1));
    core::TimePoint handledAt;
    signals.async_wait([&handledAt](asio::error_code, int) { handledAt = core::monotonicNow(); });
    const auto before = core::monotonicNow();
    std::raise(SIGUSR1);
    const auto after = core::monotonicNow();
    std::this_thread::sleep_for(milliseconds(100));
    context.run();
    const auto delivered = core::signalTime(SIGUSR1);
    ASSERT_TRUE(delivered);
    EXPECT_GE(*delivered, before);
    EXPECT_LE(*delivered, after);
    EXPECT_GE(handledAt - *delivered, milliseconds(100)) << "the handler of the event loop must run as well";
    // A second SIGTERM doesn't begin the grace anew.
    std::raise(SIGUSR1);
    EXPECT_EQ(core::signalTime(SIGUSR1), delivered);
}

} // namespace lagoontiller::tests
