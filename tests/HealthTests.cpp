#include "policy/HealthTracker.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };
const core::TimePoint warm = start + seconds(60);

/// \brief A service of `size` healthy endpoints at `warm`.
HealthTracker healthy(EndpointId size)
{
    HealthTracker tracker;
    for (EndpointId id = 0; id < size; ++id) {
        tracker.upsert(id, 0, EndpointState::Live, start);
    }
    tracker.tick(warm);
    return tracker;
}

struct FailureCase {
    std::string name;
    FailureKind kind;
    int times;
    HealthState expected;
};

} // namespace

class EndpointFailure : public testing::TestWithParam<FailureCase> { };

// Guards against ejection after one timeout, and against keeping an endpoint that crashed or stopped responding.
TEST_P(EndpointFailure, EjectsAfterTheStatedNumber)
{
    HealthTracker tracker = healthy(4);
    for (int i = 0; i < GetParam().times; ++i) {
        tracker.failed(1, GetParam().kind, warm);
    }
    EXPECT_EQ(tracker.state(1), GetParam().expected);
    EXPECT_EQ(tracker.traffic(1, warm).share, GetParam().expected == HealthState::Ejected ? 0 : 1);
}

INSTANTIATE_TEST_SUITE_P(Table, EndpointFailure,
    testing::Values(FailureCase { "Crash", FailureKind::Crashed, 1, HealthState::Ejected },
        FailureCase { "Refused", FailureKind::ConnectionRefused, 1, HealthState::Ejected },
        FailureCase { "OneSilence", FailureKind::Silent, 1, HealthState::Healthy },
        FailureCase { "TwoSilences", FailureKind::Silent, 2, HealthState::Ejected },
        FailureCase { "ThreeTimeouts", FailureKind::TimedOut, 3, HealthState::Healthy },
        FailureCase { "FourErrors", FailureKind::ServerError, 4, HealthState::Ejected },
        FailureCase { "Overload", FailureKind::Overloaded, 50, HealthState::Healthy },
        FailureCase { "Cancelled", FailureKind::Cancelled, 50, HealthState::Healthy }),
    [](const auto& info) { return info.param.name; });

// Guards against a grey failure without any error, and against ejection when the whole service is slow.
TEST(SlowEndpoint, IsComparedWithTheMedianOfItsService)
{
    HealthTracker tracker = healthy(5);
    for (int sample = 0; sample < 8; ++sample) {
        for (EndpointId id = 0; id < 5; ++id) {
            tracker.succeeded(id, id == 3 ? 40 : 10, warm);
        }
    }
    tracker.tick(warm);
    for (EndpointId id = 0; id < 5; ++id) {
        EXPECT_EQ(tracker.state(id), id == 3 ? HealthState::Ejected : HealthState::Healthy) << id;
    }
}

// Guards against a return without a probe, a second request beside the probe, and an ejection time that does not grow.
TEST(ReturningEndpoint, IsProbedThenStartsSlowly)
{
    HealthTracker tracker = healthy(4);
    tracker.failed(1, FailureKind::Crashed, warm);
    tracker.tick(warm + seconds(4));
    EXPECT_EQ(tracker.state(1), HealthState::Ejected);
    EXPECT_EQ(tracker.tick(warm + seconds(5)), (std::vector<HealthChange> { { 1, { 0.1, true } } }));
    EXPECT_EQ(tracker.sent(1, warm + seconds(6)), (std::vector<HealthChange> { { 1, { 0, false } } }));
    tracker.failed(1, FailureKind::TimedOut, warm + seconds(7));
    tracker.tick(warm + seconds(16));
    EXPECT_EQ(tracker.state(1), HealthState::Ejected) << "the second ejection lasts 10 s";
    tracker.tick(warm + seconds(17));
    tracker.sent(1, warm + seconds(18));
    tracker.succeeded(1, 1, warm + seconds(20));
    EXPECT_EQ(tracker.state(1), HealthState::SlowStart);
    EXPECT_DOUBLE_EQ(tracker.traffic(1, warm + seconds(35)).share, 0.5);
    tracker.tick(warm + seconds(50));
    EXPECT_EQ(tracker.state(1), HealthState::Healthy);
}

// Guards against full traffic for a cold endpoint that returns, and against a slow start of endpoints when they are
// first listed.
TEST(ReturningEndpoint, StartsSlowlyAfterLeaving)
{
    HealthTracker tracker;
    EXPECT_EQ(tracker.upsert(1, 0, EndpointState::Live, start), (std::vector<HealthChange> { { 1, { 1, false } } }));
    tracker.upsert(1, 0, EndpointState::Leaving, start);
    EXPECT_EQ(tracker.traffic(1, start).share, 0);
    EXPECT_EQ(tracker.upsert(1, 0, EndpointState::Live, start), (std::vector<HealthChange> { { 1, { 0.1, false } } }));
}

// Guards against an ejection wave that takes more than half of a service, also while endpoints leave it.
RC_GTEST_PROP(Ejection, NeverMoreThanHalf, (const std::vector<std::tuple<std::uint8_t, std::uint8_t>>& events))
{
    HealthTracker tracker;
    core::TimePoint now = start;
    const auto size = *rc::gen::inRange<EndpointId>(1, 12);
    for (EndpointId id = 0; id < size; ++id) {
        tracker.upsert(id, 0, EndpointState::Live, now);
    }
    for (const auto& [kind, target] : events) {
        const EndpointId id = target % size;
        now += std::chrono::milliseconds(target * 20);
        switch (kind % 8) {
        case 0:
            tracker.upsert(id, 0, EndpointState::Leaving, now);
            break;
        case 1:
            tracker.upsert(id, 0, EndpointState::Live, now);
            break;
        case 2:
            tracker.tick(now);
            break;
        case 3:
            tracker.sent(id, now);
            break;
        case 4:
            tracker.succeeded(id, target, now);
            break;
        default:
            tracker.failed(id, kind % 2 == 0 ? FailureKind::Silent : FailureKind::Crashed, now);
        }
        const auto [ejected, live] = tracker.countEjected(0);
        RC_ASSERT(ejected <= live / 2);
        std::size_t withoutTraffic = 0;
        for (EndpointId each = 0; each < size; ++each) {
            withoutTraffic += tracker.traffic(each, now).share == 0 ? 1 : 0;
        }
        RC_ASSERT(withoutTraffic - (size - live) == ejected);
    }
}

} // namespace lagoontiller::policy
