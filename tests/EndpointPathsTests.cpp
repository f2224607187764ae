// Whether a node reaches endpoints at all, as it decides from its connections. No network; the time is an argument.

#include "gateway/EndpointPaths.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::EndpointPaths;
using std::chrono::milliseconds;
using transport::PoolActivity;

const core::TimePoint start { std::chrono::hours(1) };

core::TimePoint at(int sinceStartMs)
{
    return start + milliseconds(sinceStartMs);
}

/// \brief What the connections show at `nowMs`; times in milliseconds, negative for none.
struct CheckCase {
    std::string name;
    int heardMs = 0;
    int waitingMs = -1;
    int connectingMs = -1;
    bool connectionFailed = false;
    int nowMs = 0;
    std::size_t endpoints = 9;
    std::size_t probes = 0;
};

void PrintTo(const CheckCase& check, std::ostream* stream)
{
    *stream << check.name;
}

PoolActivity activity(const CheckCase& check)
{
    PoolActivity result;
    result.heardAt = at(check.heardMs);
    if (check.waitingMs >= 0)
        result.waitingSince = at(check.waitingMs);
    if (check.connectingMs >= 0)
        result.connectingSince = at(check.connectingMs);
    return result;
}

class PathCheck : public testing::TestWithParam<CheckCase> { };

/// \brief Paths that a check of `probes` endpoints, none of which accepted, has found lost at `nowMs`.
EndpointPaths lostPaths(int nowMs)
{
    EndpointPaths paths;
    paths.connectionFailed();
    const auto probes = paths.startProbes({}, 9, at(nowMs));
    for (std::size_t probe = 0; probe < probes; ++probe)
        paths.probeEnded(false, at(nowMs));
    return paths;
}

} // namespace

// Guards against lost paths that are noticed one call and one endpoint at a time, and against checks without a reason.
TEST_P(PathCheck, StartsForEvidenceThatOneEndpointCannotExplain)
{
    const auto& check = GetParam();
    EndpointPaths paths;
    if (check.connectionFailed)
        paths.connectionFailed();
    EXPECT_EQ(paths.startProbes(activity(check), check.endpoints, at(check.nowMs)), check.probes);
    EXPECT_FALSE(paths.areLost());
}

INSTANTIATE_TEST_SUITE_P(Evidence, PathCheck,
    testing::Values(CheckCase { .name = "idle", .nowMs = 5'000 },
        CheckCase { .name = "all silent", .waitingMs = 0, .nowMs = 300, .probes = 3 },
        CheckCase { .name = "silent for a moment", .waitingMs = 0, .nowMs = 250 },
        CheckCase { .name = "one silent, others heard", .heardMs = 900, .waitingMs = 0, .nowMs = 1'000 },
        CheckCase { .name = "new request on a silent node", .heardMs = 0, .waitingMs = 4'900, .nowMs = 5'000 },
        CheckCase { .name = "connection refused", .connectionFailed = true, .nowMs = 10, .probes = 3 },
        CheckCase { .name = "connection not answered", .heardMs = 140, .connectingMs = 0, .nowMs = 150, .probes = 3 },
        CheckCase { .name = "connection to another region", .connectingMs = 0, .nowMs = 100 },
        CheckCase { .name = "two endpoints", .connectionFailed = true, .nowMs = 10, .endpoints = 2, .probes = 2 },
        CheckCase { .name = "no endpoint", .connectionFailed = true, .nowMs = 10, .endpoints = 0 }));

// Guards against one endpoint that refuses, hangs or is silent for a second being taken for a lost path.
TEST(EndpointPaths, OneEndpointThatAcceptsProvesThatPathsAreOpen)
{
    EndpointPaths paths;
    paths.connectionFailed();
    ASSERT_EQ(paths.startProbes({}, 9, at(0)), 3U);
    EXPECT_TRUE(paths.areChecked());
    paths.probeEnded(false, at(5));
    EXPECT_TRUE(paths.areChecked());
    paths.probeEnded(true, at(6));
    EXPECT_FALSE(paths.areChecked());
    EXPECT_TRUE(paths.areProven(at(100)));
    paths.probeEnded(false, at(250));
    EXPECT_FALSE(paths.areLost());
    // The next check has to wait, so that failures of endpoints cost few connections.
    paths.connectionFailed();
    EXPECT_EQ(paths.startProbes({}, 9, at(400)), 0U);
    EXPECT_EQ(paths.startProbes({}, 9, at(506)), 3U);
}

// Guards against a node that goes back to paths of which one endpoint's connection was let through.
TEST(EndpointPaths, LostPathsOpenAgainWhenMostOfAGroupAccept)
{
    auto paths = lostPaths(0);
    ASSERT_TRUE(paths.areLost());
    EXPECT_EQ(paths.startProbes({}, 9, at(100)), 0U);
    ASSERT_EQ(paths.startProbes({}, 9, at(250)), 1U);
    paths.probeEnded(true, at(260));
    EXPECT_TRUE(paths.areLost());
    ASSERT_EQ(paths.startProbes({}, 9, at(260)), 3U);
    for (const bool accepted : { false, true, false })
        paths.probeEnded(accepted, at(270));
    EXPECT_TRUE(paths.areLost());
    ASSERT_EQ(paths.startProbes({}, 9, at(520)), 1U);
    paths.probeEnded(true, at(530));
    ASSERT_EQ(paths.startProbes({}, 9, at(530)), 3U);
    for (const bool accepted : { true, false, true })
        paths.probeEnded(accepted, at(540));
    EXPECT_FALSE(paths.areLost());
    EXPECT_TRUE(paths.wereLostWithin(milliseconds(1'000), at(1'500)));
    EXPECT_FALSE(paths.wereLostWithin(milliseconds(1'000), at(1'600)));
}

// Guards against cuts in series of which only the first is noticed.
TEST(EndpointPaths, ASecondLossIsNoticed)
{
    auto paths = lostPaths(0);
    ASSERT_EQ(paths.startProbes({}, 9, at(250)), 1U);
    paths.probeEnded(true, at(260));
    ASSERT_EQ(paths.startProbes({}, 9, at(260)), 3U);
    for (int probe = 0; probe < 3; ++probe)
        paths.probeEnded(true, at(270));
    ASSERT_FALSE(paths.areLost());
    paths.connectionFailed();
    ASSERT_EQ(paths.startProbes({}, 9, at(770)), 3U);
    for (int probe = 0; probe < 3; ++probe)
        paths.probeEnded(false, at(780));
    EXPECT_TRUE(paths.areLost());
}

// Guards against a process that was paused and takes its own pause for the silence of the endpoints.
TEST(EndpointPaths, APauseOfTheProcessIsNoSilence)
{
    EndpointPaths paths;
    PoolActivity activity;
    activity.heardAt = at(0);
    activity.waitingSince = at(0);
    paths.restart(at(3'000));
    EXPECT_EQ(paths.startProbes(activity, 9, at(3'050)), 0U);
    EXPECT_EQ(paths.startProbes(activity, 9, at(3'300)), 3U);
}

} // namespace lagoontiller::tests
