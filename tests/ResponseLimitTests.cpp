// Limits of what endpoints send: memory of incomplete responses, and progress of attempts. No network.

#include "gateway/AttemptProgress.h"
#include "gateway/EndpointDirectory.h"
#include "gateway/ResponseMemory.h"

#include <gtest/gtest.h>

namespace lagoontiller::gateway {

namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint start {};

/// \brief What an endpoint sends every `interval`, and whether the attempt counts as in progress.
struct ArrivalCase {
    std::string name;
    std::size_t bytes = 0;
    bool completesEvent = false;
    milliseconds interval {};
    bool inProgress = false;
};

void PrintTo(const ArrivalCase& arrival, std::ostream* stream)
{
    *stream << arrival.name;
}

class AttemptArrival : public testing::TestWithParam<ArrivalCase> { };

/// \brief A route and the time without progress after which an attempt with 4 s is given up; empty for never.
struct LimitCase {
    std::string name;
    CallKind kind = CallKind::Streaming;
    bool resumable = true;
    milliseconds targetLatency { 300 };
    milliseconds targetGap { 250 };
    std::optional<milliseconds> limit;
};

void PrintTo(const LimitCase& limit, std::ostream* stream)
{
    *stream << limit.name;
}

class InactivityLimit : public testing::TestWithParam<LimitCase> { };

} // namespace

// Guards against cutting a slow but sound response, and against a stalled one that a byte now and then keeps alive.
TEST_P(AttemptArrival, CountsAsProgressWhereTheCallerGains)
{
    const auto& arrival = GetParam();
    AttemptProgress progress(start);
    auto now = start;
    core::Duration longest {};
    while (now < start + std::chrono::seconds(10)) {
        now += arrival.interval;
        longest = std::max(longest, progress.timeWithoutProgress(now));
        if (arrival.completesEvent)
            progress.eventsReceived(now);
        else
            progress.bodyReceived(arrival.bytes, now);
    }
    EXPECT_EQ(longest < milliseconds(1'200), arrival.inProgress);
}

INSTANTIATE_TEST_SUITE_P(Cases, AttemptArrival,
    testing::Values(ArrivalCase { "OneByteASecond", 1, false, milliseconds(1'000), false },
        ArrivalCase { "TenBytesTenTimesASecond", 10, false, milliseconds(100), false },
        ArrivalCase { "SlowBody", 512, false, milliseconds(500), true },
        ArrivalCase { "SlowEvents", 0, true, milliseconds(1'100), true },
        ArrivalCase { "RareEvents", 0, true, milliseconds(2'000), false }),
    [](const auto& info) { return info.param.name; });

// Guards against giving up a stream that its caller still waits for, and against a second run where none is allowed.
TEST_P(InactivityLimit, FollowsFromTheRoute)
{
    const auto& expected = GetParam();
    Route route;
    route.kind = expected.kind;
    route.resumable = expected.resumable;
    route.targetLatency = expected.targetLatency;
    route.targetGap = expected.targetGap;
    const auto limit = inactivityLimit(route, std::chrono::seconds(4));
    EXPECT_EQ(limit, expected.limit ? std::optional<core::Duration>(*expected.limit) : std::nullopt);
    if (limit && route.kind == CallKind::Streaming)
        EXPECT_LT(*limit, callerPatience(route));
}

INSTANTIATE_TEST_SUITE_P(Cases, InactivityLimit,
    testing::Values(LimitCase { "ShortPauses", CallKind::Streaming, true, milliseconds(300), milliseconds(250),
                        milliseconds(1'200) },
        LimitCase {
            "LongPauses", CallKind::Streaming, true, milliseconds(300), milliseconds(500), milliseconds(2'400) },
        LimitCase {
            "LongObjective", CallKind::Streaming, true, milliseconds(1'000), milliseconds(100), milliseconds(2'400) },
        LimitCase { "NotResumable", CallKind::Streaming, false, milliseconds(300), milliseconds(250), std::nullopt },
        LimitCase { "Idempotent", CallKind::Idempotent, false, milliseconds(300), {}, milliseconds(2'000) },
        LimitCase { "NonIdempotent", CallKind::NonIdempotent, true, milliseconds(300), {}, std::nullopt }),
    [](const auto& info) { return info.param.name; });

// Guards against an endless response that takes the memory of the process or ends the sound calls beside it.
TEST(ResponseMemory, TheLargestHolderGivesWay)
{
    constexpr std::size_t limit = 1'000;
    ResponseMemory memory(limit);
    for (std::uint64_t call = 1; call <= 5; ++call)
        EXPECT_FALSE(memory.hold(call, 100));
    EXPECT_FALSE(memory.hold(9, 500));
    EXPECT_EQ(memory.hold(2, 150), std::optional<std::uint64_t>(9));
    memory.release(9);
    EXPECT_EQ(memory.heldBytes(), 550U);
    EXPECT_FALSE(memory.hold(2, 100));
    EXPECT_EQ(memory.heldBytes(), 500U);
}

// Guards against new calls to a process that said that it is leaving, and against a mark that outlives the process.
TEST(EndpointDirectoryLeaving, LastsAsLongAsTheProcess)
{
    EndpointDirectory directory({});
    const Endpoint entry { "i-1", "s", "127.0.0.1:80", "z", 4, false, 17 };
    const auto serving = [&directory] { return directory.servingEndpoints("s").size(); };
    directory.upsert(entry, start);
    directory.markLeaving("i-1", 16, start);
    EXPECT_EQ(serving(), 1U) << "the mark was for the process before";
    directory.markLeaving("i-1", 17, start);
    EXPECT_EQ(serving(), 0U);
    auto changed = entry;
    changed.slots = 5;
    directory.upsert(changed, start);
    EXPECT_EQ(serving(), 0U) << "the entry is behind the response";
    changed.startedAt = 18;
    directory.upsert(changed, start);
    EXPECT_EQ(serving(), 1U);
}

} // namespace lagoontiller::gateway
