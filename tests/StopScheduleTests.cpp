// Which calls a stopping node takes, and when it stops accepting connections.

#include "support/GatewayWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::CallKind;
using gateway::StopSchedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint start { seconds(100) };

struct ScheduleCase {
    std::string name;
    core::Duration grace;
    /// \brief Time since SIGTERM.
    core::Duration elapsed;
    core::Duration remaining;
    bool admitted = false;
    bool idle = false;
    bool stopsAccepting = false;
    core::Duration longestCall = seconds(1);
};

class StopScheduleTable : public testing::TestWithParam<ScheduleCase> { };

struct StopCase {
    std::string name;
    CallKind kind = CallKind::NonIdempotent;
    core::Duration grace;
    std::string deadlineMs;
    int status = 0;
    std::size_t requests = 0;
    /// \brief Whether a call of the route has ended soon before.
    bool afterShortCall = false;
};

class CallAtStoppingNode : public testing::TestWithParam<StopCase> { };

} // namespace

// Guards against calls that a planned stop cuts off: they were accepted although the process ends before their
// deadline.
TEST_P(StopScheduleTable, AdmitsWhatCanEnd)
{
    const auto& each = GetParam();
    const StopSchedule schedule(start, each.grace);
    const auto now = start + each.elapsed;
    EXPECT_EQ(schedule.admits(now + each.remaining), each.admitted);
    EXPECT_EQ(schedule.mayStopAccepting(each.idle, each.longestCall, now), each.stopsAccepting);
    EXPECT_LT(schedule.endsAt(), start + std::max<core::Duration>(each.grace, milliseconds(1)));
}

INSTANTIATE_TEST_SUITE_P(Table, StopScheduleTable,
    testing::Values(ScheduleCase { "AtSigterm", seconds(8), seconds(0), seconds(6), true, true, false },
        ScheduleCase { "LongCallLate", seconds(8), seconds(3), seconds(6), false, false, false },
        ScheduleCase { "ShortCallLate", seconds(8), seconds(3), milliseconds(1'500), true, false, false },
        ScheduleCase { "LastCallThatEndsInTime", seconds(8), seconds(3), milliseconds(4'600), true, false, false },
        ScheduleCase { "FirstCallThatMayNot", seconds(8), seconds(3), milliseconds(4'601), false, false, false },
        ScheduleCase { "DeadlineWithinTheGrace", seconds(8), seconds(3), seconds(4), true, false, false },
        ScheduleCase { "IdleAfterMostCallersHaveLeft", seconds(8), milliseconds(3'050), seconds(1), true, true, true },
        ScheduleCase { "BusyNode", seconds(8), seconds(6), milliseconds(1'500), true, false, false },
        ScheduleCase { "BusyNodeNearTheEnd", seconds(8), milliseconds(6'150), milliseconds(1'500), false, false, true },
        ScheduleCase {
            "LongestCallsJustAdmitted", seconds(8), milliseconds(1'600), seconds(6), true, false, false, seconds(6) },
        ScheduleCase {
            "LongestCallsRefused", seconds(8), milliseconds(1'601), seconds(6), false, false, true, seconds(6) },
        ScheduleCase {
            "LongestCallsNeverAdmitted", seconds(8), milliseconds(1'000), seconds(1), true, false, false, seconds(20) },
        ScheduleCase { "LongestCallsNeverAdmittedLater", seconds(8), milliseconds(1'001), seconds(1), true, false, true,
            seconds(20) },
        ScheduleCase { "TimeoutBeyondTheGrace", seconds(8), seconds(0), seconds(10), false, false, false },
        ScheduleCase { "ShortGrace", seconds(2), seconds(0), seconds(1), true, false, false },
        ScheduleCase { "NoGrace", seconds(0), seconds(0), milliseconds(1), false, false, true }),
    [](const auto& info) { return info.param.name; });

// Guards against a stopping node that passes on a request which it will cut off (LOST), also because calls before it
// were short, and against refusing it late.
TEST_P(CallAtStoppingNode, IsServedWholeOrRefusedAtOnce)
{
    const auto& each = GetParam();
    GatewayWorld world;
    const auto whole = each.kind == CallKind::Streaming
        ? streamHead("{id}") + event(1, "a") + std::string(transport::lastChunk)
        : "HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\n" + signatureLine + "Content-Length: 2\r\n\r\nok";
    ScriptedEndpoint endpoint(world.context, std::vector<ScriptedEndpoint::Answer> { { whole } });
    gateway::Route route;
    route.name = "r";
    route.kind = each.kind;
    route.timeout = seconds(6);
    world.serve(route, { &endpoint });
    if (each.afterShortCall) {
        EXPECT_EQ(world.ask("before")->status, 200);
        endpoint.requests.clear();
    }
    world.gateway.startDraining(StopSchedule(core::monotonicNow(), each.grace));
    const auto sentAt = core::monotonicNow();
    const auto head = each.deadlineMs.empty() ? std::string() : "X-Deadline-Ms: " + each.deadlineMs + "\r\n";
    const auto seen = world.ask("a", head);
    EXPECT_EQ(seen->status, each.status);
    EXPECT_EQ(endpoint.requests.size(), each.requests);
    if (each.status == 503) {
        EXPECT_LT(core::monotonicNow() - sentAt, milliseconds(500));
        EXPECT_FALSE(seen->fields.find("Retry-After")) << "another node serves the call now";
    }
}

INSTANTIATE_TEST_SUITE_P(Table, CallAtStoppingNode,
    testing::Values(StopCase { "NonIdempotent", CallKind::NonIdempotent, seconds(5), {}, 503, 0 },
        StopCase { "Idempotent", CallKind::Idempotent, seconds(5), {}, 503, 0 },
        StopCase { "Stream", CallKind::Streaming, seconds(5), {}, 503, 0 },
        StopCase { "NonIdempotentInTime", CallKind::NonIdempotent, seconds(5), "1500", 200, 1 },
        StopCase { "StreamInTime", CallKind::Streaming, seconds(5), "1500", 200, 1 },
        StopCase { "NonIdempotentAfterShortOnes", CallKind::NonIdempotent, seconds(5), {}, 503, 0, true },
        StopCase { "IdempotentAfterShortOnes", CallKind::Idempotent, seconds(5), {}, 503, 0, true },
        StopCase { "StreamAfterShortOnes", CallKind::Streaming, seconds(5), {}, 503, 0, true },
        StopCase { "StreamInTimeAfterShortOnes", CallKind::Streaming, seconds(5), "1500", 200, 1, true },
        StopCase { "NoTimeLeftAfterShortOnes", CallKind::NonIdempotent, milliseconds(450), {}, 503, 0, true },
        StopCase { "TimeoutInTime", CallKind::NonIdempotent, seconds(8), {}, 200, 1 }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::tests
