// How nodes share the rate limit of an endpoint without asking each other, with views that differ and lag.

#include "gateway/EndpointRateLimits.h"
#include "gateway/RetrySchedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace lagoontiller::tests {

namespace {

using gateway::EndpointRateLimits;
using gateway::RateLimitReport;
using gateway::RetrySchedule;
using gateway::ZoneMembers;
using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint start { seconds(1'000) };

gateway::Endpoint endpointAt(std::int64_t startedAt = 1)
{
    return { "i-1", "s", "10.0.0.1:80", "z", 4, false, startedAt };
}

std::vector<std::string> nodeNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
        names.push_back("node-" + std::to_string(number));
    return names;
}

ZoneMembers membersOf(const std::string& self, const std::vector<std::string>& names)
{
    return { self, { { "z", names } } };
}

struct FleetCase {
    std::string name;
    std::size_t nodes = 1;
    double perSecond = 1;
    /// \brief Time after which a node knows that another one has joined or failed.
    milliseconds viewLag {};
    /// \brief Interval between changes of the membership; 0 for none.
    milliseconds changeInterval {};
};

void PrintTo(const FleetCase& fleet, std::ostream* stream)
{
    *stream << fleet.name;
}

class FleetUnderRateLimit : public testing::TestWithParam<FleetCase> { };

/// \brief Nodes that always have a call for one endpoint. One node at a time is missing, in turn.
class Fleet {
public:
    explicit Fleet(const FleetCase& fleet)
        : fleet(fleet)
        , names(nodeNames(fleet.nodes))
        , limits(fleet.nodes)
        , views(fleet.nodes)
    {
    }

    /// \brief Times of all calls within `time`.
    std::vector<core::TimePoint> run(core::Duration time)
    {
        const auto endpoint = endpointAt();
        for (std::size_t node = 0; node < this->limits.size(); ++node) {
            this->updateView(node, start);
            this->limits[node].observe(endpoint, this->fleet.perSecond, start, 1, start);
        }
        std::vector<core::TimePoint> sent;
        for (auto now = start; now < start + time; now += milliseconds(10)) {
            for (std::size_t node = 0; node < this->limits.size(); ++node) {
                if (this->missing(now) == node)
                    continue;
                this->updateView(node, now);
                auto& limit = this->limits[node];
                if (limit.earliestSend(endpoint, now) != now)
                    continue;
                limit.reserve(endpoint, now);
                sent.push_back(now);
                limit.observe(endpoint, this->fleet.perSecond, now, 1, now);
            }
        }
        return sent;
    }

private:
    /// \brief The node that is missing at this time; a number beyond the nodes if none is.
    [[nodiscard]] std::size_t missing(core::TimePoint now) const
    {
        if (this->fleet.changeInterval.count() == 0)
            return this->names.size();
        return static_cast<std::size_t>((now - start) / this->fleet.changeInterval) % (this->names.size() + 1);
    }

    void updateView(std::size_t node, core::TimePoint now)
    {
        const auto missingNode = this->missing(std::max(start, now - this->fleet.viewLag));
        if (this->views[node] == missingNode)
            return;
        this->views[node] = missingNode;
        auto known = this->names;
        if (missingNode < known.size() && missingNode != node)
            known.erase(known.begin() + static_cast<std::ptrdiff_t>(missingNode));
        this->limits[node].setMembers(membersOf(this->names[node], known), now);
    }

    FleetCase fleet;
    std::vector<std::string> names;
    std::vector<EndpointRateLimits> limits;
    /// \brief The node that is missing in each node's view.
    std::vector<std::optional<std::size_t>> views;
};

std::size_t mostInWindow(const std::vector<core::TimePoint>& sent, core::Duration window)
{
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto last = std::lower_bound(first, sent.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

// Guards against nodes that together send an endpoint far more calls than it accepts, whatever their number.
TEST_P(FleetUnderRateLimit, SendsLittleMoreThanTheLimit)
{
    const auto& fleet = GetParam();
    const auto sent = Fleet(fleet).run(seconds(50));
    const double allowed = 1.5 * fleet.perSecond * 4 + 5;
    EXPECT_LE(static_cast<double>(mostInWindow(sent, seconds(4))), allowed);
    EXPECT_GE(static_cast<double>(sent.size()), 0.8 * fleet.perSecond * 50 - 10);
}

INSTANTIATE_TEST_SUITE_P(Cases, FleetUnderRateLimit,
    testing::Values(FleetCase { "OneNode", 1, 3 }, FleetCase { "ZoneOfFour", 4, 4.5 },
        FleetCase { "LowLimit", 12, 0.15 }, FleetCase { "LowLimitInAFleet", 300, 0.7 },
        FleetCase { "FleetOfHundreds", 300, 20 }, FleetCase { "HighLimit", 300, 250 },
        FleetCase { "RestartsInTurn", 4, 4.5, seconds(3), seconds(5) },
        FleetCase { "RestartsInAFleet", 49, 2, seconds(3), seconds(5) },
        FleetCase { "MembershipChangesFasterThanViews", 49, 2, seconds(4), seconds(1) }),
    [](const auto& info) { return info.param.name; });

TEST(RateLimitShare, FallsToAllZonesIfThatOfTheEndpointHasNoNodes)
{
    const ZoneMembers members { "a", { { "other", { "a" } }, { "z", {} } } };
    EXPECT_EQ(gateway::rateLimitShare("i-1", "z", 2, members), 2);
    const ZoneMembers outside { "a", { { "other", { "a" } }, { "z", { "b" } } } };
    EXPECT_EQ(gateway::rateLimitShare("i-1", "z", 2, outside), 0);
}

// Guards against a limit that a late response of a call from before it removes.
TEST(EndpointRateLimits, EndsWithAResponseToALaterCallOnly)
{
    EndpointRateLimits limits;
    limits.observe(endpointAt(), 2.0, start, 1'000, start);
    limits.observe(endpointAt(), std::nullopt, start - milliseconds(1), 1'001, start + milliseconds(1));
    EXPECT_TRUE(limits.isLimited(endpointAt(), start + milliseconds(1)));
    limits.observe(endpointAt(), std::nullopt, start + milliseconds(2), 1'010, start + milliseconds(10));
    EXPECT_FALSE(limits.isLimited(endpointAt(), start + milliseconds(10)));
}

struct MergeCase {
    std::string name;
    RateLimitReport report;
    bool limited = false;
};

void PrintTo(const MergeCase& merge, std::ostream* stream)
{
    *stream << merge.name;
}

class MergedRateLimit : public testing::TestWithParam<MergeCase> { };

// Guards against old reports of other nodes that replace what is known.
TEST_P(MergedRateLimit, TakesTheLatestObservation)
{
    EndpointRateLimits limits;
    limits.observe(endpointAt(), 2.0, start, 50'000, start);
    limits.merge(endpointAt(), GetParam().report, 52'000, start + seconds(2));
    EXPECT_EQ(limits.isLimited(endpointAt(), start + seconds(2)), GetParam().limited);
}

INSTANTIATE_TEST_SUITE_P(Cases, MergedRateLimit,
    testing::Values(MergeCase { "NewerEnd", { "i-1", 1, std::nullopt, 51'000 }, false },
        MergeCase { "OlderEnd", { "i-1", 1, std::nullopt, 49'000 }, true },
        MergeCase { "EndOfAnotherProcess", { "i-1", 2, std::nullopt, 51'000 }, true }),
    [](const auto& info) { return info.param.name; });

// Guards against a limit that holds for a process that never stated it.
TEST(EndpointRateLimits, ConcernsOneProcessAndExpires)
{
    EndpointRateLimits limits;
    limits.observe(endpointAt(), 2.0, start, 1'000, start);
    EXPECT_FALSE(limits.isLimited(endpointAt(2), start));
    EXPECT_TRUE(limits.isLimited(endpointAt(), start + gateway::rateLimitRetention));
    EXPECT_FALSE(limits.isLimited(endpointAt(), start + gateway::rateLimitRetention + milliseconds(1)));
}

// Guards against refused callers that return together, and against new programs that return before those under way.
TEST(RetrySchedule, SpacesCallersAndPutsNewProgramsLast)
{
    RetrySchedule schedule;
    const auto assign
        = [&schedule](bool newProgram) { return schedule.assign(newProgram, start + milliseconds(200), 4, start); };
    EXPECT_EQ(assign(false), milliseconds(200));
    EXPECT_EQ(assign(false), milliseconds(450));
    EXPECT_EQ(assign(true), milliseconds(700));
    EXPECT_EQ(assign(false), milliseconds(700));
    EXPECT_EQ(assign(true), milliseconds(950));
    for (int call = 0; call < 100; ++call)
        EXPECT_LE(assign(true), seconds(5));
}

} // namespace lagoontiller::tests
