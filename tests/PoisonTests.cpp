#include "policy/PoisonDetector.h"

#include <array>
#include <random>

namespace lagoontiller::policy {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const core::TimePoint start { std::chrono::hours(10) };

struct Loss {
    int second;
    std::string endpoint;
    std::vector<std::string> digests;
};

struct PoisonCase {
    std::string name;
    std::vector<Loss> losses;
    std::map<std::string, PoisonVerdict> expected;
};

} // namespace

class PoisonTable : public testing::TestWithParam<PoisonCase> { };

// Guards against a poison request that crashes a third endpoint, and against isolating requests that ran with it.
// Every second loss arrives as a notice from another node and must have the same effect as a local one.
TEST_P(PoisonTable, IsolatesTheCause)
{
    PoisonDetector detector;
    bool local = true;
    for (const Loss& loss : GetParam().losses) {
        const core::TimePoint at = start + seconds(loss.second);
        if (local) {
            detector.endpointLost(loss.endpoint, loss.digests, at);
        } else {
            detector.merge({ loss.endpoint, loss.digests, seconds(1) }, at + seconds(1));
        }
        local = !local;
    }
    const core::TimePoint now = start + seconds(GetParam().losses.back().second + 2);
    for (const auto& [digest, verdict] : GetParam().expected) {
        EXPECT_EQ(detector.verdict(digest, now), verdict) << digest;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PoisonTable,
    testing::Values(
        PoisonCase { "OneLoss", { { 0, "e1", { "p", "b" } } },
            { { "p", PoisonVerdict::Suspect }, { "b", PoisonVerdict::Suspect }, { "x", PoisonVerdict::Clear } } },
        PoisonCase { "TwoLosses", { { 0, "e1", { "p", "b" } }, { 20, "e2", { "p", "c" } } },
            { { "p", PoisonVerdict::Isolated }, { "b", PoisonVerdict::Suspect }, { "c", PoisonVerdict::Suspect } } },
        PoisonCase { "OneLossSeenByTwoNodes", { { 0, "e1", { "p" } }, { 3, "e1", { "p" } } },
            { { "p", PoisonVerdict::Suspect } } },
        PoisonCase { "SameEndpointLostAgainAfterRestart", { { 0, "e1", { "p" } }, { 60, "e1", { "p" } } },
            { { "p", PoisonVerdict::Isolated } } },
        PoisonCase {
            "OutsideTheWindow", { { 0, "e1", { "p" } }, { 601, "e2", { "p" } } }, { { "p", PoisonVerdict::Suspect } } },
        PoisonCase { "BystanderTwiceExplainedByMoreLosses",
            { { 0, "e1", { "p", "b" } }, { 20, "e2", { "p", "b" } }, { 21, "e3", { "p", "c" } } },
            { { "p", PoisonVerdict::Isolated }, { "b", PoisonVerdict::Suspect }, { "c", PoisonVerdict::Suspect } } },
        PoisonCase { "BystanderTwiceExplainedByLossAlone",
            { { 0, "e1", { "p", "b" } }, { 20, "e2", { "b", "c" } }, { 40, "e3", { "p" } } },
            { { "p", PoisonVerdict::Isolated }, { "b", PoisonVerdict::Suspect }, { "c", PoisonVerdict::Suspect } } },
        PoisonCase { "ZoneFailureIsNotPoison",
            { { 0, "e1", { "a" } }, { 0, "e2", { "b" } }, { 1, "e3", { "a" } }, { 1, "e4", { "c" } },
                { 2, "e5", { "d" } } },
            { { "a", PoisonVerdict::Suspect }, { "b", PoisonVerdict::Suspect } } },
        PoisonCase { "PoisonSentByManyCallersAtOnce",
            { { 0, "e1", { "p", "a" } }, { 0, "e2", { "p", "b" } }, { 1, "e3", { "p", "c" } }, { 1, "e4", { "p" } },
                { 2, "e5", { "p", "a" } } },
            { { "p", PoisonVerdict::Isolated }, { "a", PoisonVerdict::Suspect }, { "b", PoisonVerdict::Suspect } } }),
    [](const auto& info) { return info.param.name; });

// Guards against a suspect that runs on two endpoints at once, and against two suspects on one endpoint, whose loss
// could not be attributed to one of them.
TEST(PoisonSuspect, RunsOnOneEndpointApartFromOtherSuspects)
{
    PoisonDetector detector;
    const std::vector<std::string> present { "p", "b" };
    const PoisonNotice notice = detector.endpointLost("e1", present, start);
    EXPECT_EQ(notice, (PoisonNotice { "e1", present, seconds(0) }));
    EXPECT_TRUE(detector.mayRun("p", "e2", start));
    detector.suspectStarted("p", "e2");
    EXPECT_FALSE(detector.mayRun("p", "e3", start));
    EXPECT_TRUE(detector.mayRun("p", "e2", start));
    EXPECT_FALSE(detector.mayRun("b", "e2", start));
    EXPECT_TRUE(detector.mayRun("b", "e3", start));
    EXPECT_TRUE(detector.mayRun("other", "e2", start));
    detector.suspectEnded("p", "e2");
    EXPECT_TRUE(detector.mayRun("p", "e3", start));
    detector.succeeded("b", start);
    EXPECT_EQ(detector.verdict("b", start), PoisonVerdict::Clear);
    detector.endpointLost("e2", std::vector<std::string> { "p" }, start + seconds(30));
    detector.succeeded("p", start + seconds(31));
    EXPECT_FALSE(detector.mayRun("p", "e3", start + seconds(31))) << "an isolated digest stays isolated";
}

// Guards against suspicion and isolation that never expire.
TEST(PoisonExpiry, EndsSuspicionAndIsolation)
{
    PoisonDetector detector;
    detector.endpointLost("e1", std::vector<std::string> { "p", "b" }, start);
    detector.endpointLost("e2", std::vector<std::string> { "p" }, start + minutes(1));
    detector.tick(start + minutes(11));
    EXPECT_EQ(detector.verdict("b", start + minutes(11)), PoisonVerdict::Clear);
    EXPECT_EQ(detector.verdict("p", start + minutes(59)), PoisonVerdict::Isolated);
    EXPECT_EQ(detector.verdict("p", start + minutes(61)), PoisonVerdict::Clear);
    detector.tick(start + minutes(61));
    EXPECT_EQ(detector.size(), 0U);
}

// Guards against a third endpoint lost to one digest, whatever ran with it, provided that its losses are neither shared
// with other suspects nor part of a platform failure.
RC_GTEST_PROP(Poison, IsIsolatedAfterTwoLossesAndBystandersAreNot, ())
{
    PoisonDetector detector;
    core::TimePoint now = start;
    int fresh = 0;
    for (int loss = 0; loss < 2; ++loss) {
        RC_ASSERT(detector.verdict("poison", now) != PoisonVerdict::Isolated);
        std::vector<std::string> present { "poison" };
        for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
            present.push_back("bystander" + std::to_string(fresh++));
        }
        detector.endpointLost("e" + std::to_string(loss), present, now);
        now += seconds(*rc::gen::inRange(0, 600));
    }
    RC_ASSERT(detector.verdict("poison", now) == PoisonVerdict::Isolated);
    for (int i = 0; i < fresh; ++i) {
        RC_ASSERT(detector.verdict("bystander" + std::to_string(i), now) != PoisonVerdict::Isolated);
    }
}

// Guards against unbounded memory and against inconsistent references between losses and digests.
RC_GTEST_PROP(Poison, StaysBounded, (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& events))
{
    PoisonOptions options;
    options.maxDigests = 12;
    options.maxLosses = 6;
    options.maxDigestsPerLoss = 4;
    PoisonDetector detector(options);
    core::TimePoint now = start;
    for (const auto& [endpoint, digest, count] : events) {
        now += seconds(count);
        std::vector<std::string> present;
        for (int i = 0; i < count % 7; ++i) {
            present.push_back(std::to_string((digest + i * i) % 40));
        }
        detector.endpointLost(std::to_string(endpoint % 9), present, now);
        if (count % 3 == 0) {
            detector.succeeded(std::to_string(digest % 40), now);
            detector.tick(now);
        }
        RC_ASSERT(detector.size() <= 12U);
    }
    detector.tick(now + std::chrono::hours(2));
    RC_ASSERT(detector.size() == 0U);
}

namespace {

PoisonOptions threeLosses()
{
    PoisonOptions options;
    options.isolatingLosses = 3;
    return options;
}

struct CallerCase {
    std::string name;
    std::vector<Loss> losses;
    /// \brief Digests that complete, each before the losses of its second.
    std::vector<std::pair<int, std::string>> successes;
    std::map<std::string, PoisonVerdict> expected;
};

/// \brief Losses of `requests` that crash four endpoints each at the same time, and of `others` endpoints beside them.
std::vector<Loss> simultaneousCrashes(int requests, int others)
{
    std::vector<Loss> losses;
    for (int request = 0; request < requests; ++request) {
        for (int run = 0; run < 4; ++run) {
            const auto number = std::to_string(request) + "." + std::to_string(run);
            losses.push_back({ 0, "e" + number, { "p" + std::to_string(request) + "/a", "sound" + number + "/b" } });
        }
    }
    for (int other = 0; other < others; ++other) {
        losses.push_back({ 1, "zone" + std::to_string(other), { "zone" + std::to_string(other) + "/b" } });
    }
    return losses;
}

std::vector<Loss> withLater(std::vector<Loss> losses, const Loss& later)
{
    losses.push_back(later);
    return losses;
}

} // namespace

class PoisonOfCallers : public testing::TestWithParam<CallerCase> { };

// Guards against refusing callers for the losses of others who sent the same words, and against requests that crash
// their endpoints at the same time and excuse each other.
TEST_P(PoisonOfCallers, IsolatesThoseWhoseRequestsCrash)
{
    PoisonDetector detector(threeLosses());
    auto success = GetParam().successes.begin();
    for (const Loss& loss : GetParam().losses) {
        for (; success != GetParam().successes.end() && success->first <= loss.second; ++success) {
            detector.succeeded(success->second, start + seconds(success->first));
        }
        detector.endpointLost(loss.endpoint, loss.digests, start + seconds(loss.second));
    }
    const core::TimePoint now = start + seconds(GetParam().losses.back().second + 2);
    for (const auto& [digest, verdict] : GetParam().expected) {
        EXPECT_EQ(detector.verdict(digest, now), verdict) << digest;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PoisonOfCallers,
    testing::Values(
        CallerCase { "TwoEndpointsWithACommonInput", { { 0, "e1", { "c/1", "c/2" } }, { 0, "e2", { "c/3", "c/4" } } },
            {}, { { "c/1", PoisonVerdict::Suspect }, { "c/5", PoisonVerdict::Clear } } },
        CallerCase { "FiveEndpointsWithACommonInput",
            { { 0, "e1", { "c/1" } }, { 0, "e2", { "c/2" } }, { 0, "e3", { "c/3" } }, { 1, "e4", { "c/4" } },
                { 1, "e5", { "c/5" } } },
            {}, { { "c/1", PoisonVerdict::Suspect }, { "c/6", PoisonVerdict::Clear } } },
        CallerCase { "CommonInputThatCompletesIsLostAgain",
            { { 1, "e1", { "c/1" } }, { 1, "e2", { "c/2" } }, { 20, "e3", { "c/3" } }, { 40, "e4", { "c/4" } } },
            { { 0, "c/0" } }, { { "c/1", PoisonVerdict::Suspect }, { "c/5", PoisonVerdict::Clear } } },
        CallerCase { "OneCallerCrashesWhatOthersComplete",
            { { 0, "e1", { "c/1" } }, { 0, "e2", { "c/1" } }, { 8, "e3", { "c/1" } } }, { { 0, "c/2" }, { 8, "c/2" } },
            { { "c/1", PoisonVerdict::Isolated }, { "c/2", PoisonVerdict::Clear }, { "c/3", PoisonVerdict::Clear } } },
        CallerCase { "OneCallerCrashesBeforeOthersTry",
            { { 0, "e1", { "c/1" } }, { 0, "e2", { "c/1" } }, { 8, "e3", { "c/1" } } }, {},
            { { "c/1", PoisonVerdict::Isolated }, { "c/2", PoisonVerdict::Clear } } },
        CallerCase { "ANewCallerEachTime", { { 0, "e1", { "c/1" } }, { 0, "e2", { "c/1" } }, { 8, "e3", { "c/2" } } },
            {}, { { "c/3", PoisonVerdict::Isolated }, { "d/3", PoisonVerdict::Clear } } },
        CallerCase { "OneCrashingRequest", simultaneousCrashes(1, 0), {},
            { { "p0/a", PoisonVerdict::Isolated }, { "sound0.0/b", PoisonVerdict::Suspect } } },
        CallerCase { "ThreeCrashingRequestsAtOnce", simultaneousCrashes(3, 0), {},
            { { "p0/a", PoisonVerdict::Isolated }, { "p1/a", PoisonVerdict::Isolated },
                { "p2/a", PoisonVerdict::Isolated }, { "sound0.0/b", PoisonVerdict::Suspect },
                { "sound2.3/b", PoisonVerdict::Suspect } } },
        CallerCase { "TenCrashingRequestsAtOnce", simultaneousCrashes(10, 0), {},
            { { "p0/a", PoisonVerdict::Isolated }, { "p9/a", PoisonVerdict::Isolated },
                { "sound5.1/b", PoisonVerdict::Suspect } } },
        CallerCase { "CrashingRequestBesideTheLossOfAZone", simultaneousCrashes(1, 6), {},
            { { "p0/a", PoisonVerdict::Suspect }, { "zone0/b", PoisonVerdict::Suspect } } },
        CallerCase { "CrashingRequestComesAgainAfterTheLossOfAZone",
            withLater(simultaneousCrashes(1, 6), { 9, "e9", { "p0/a", "zone0/b" } }), {},
            { { "p0/a", PoisonVerdict::Isolated }, { "zone0/b", PoisonVerdict::Suspect } } },
        CallerCase { "LossOfAZoneAlone", simultaneousCrashes(0, 8), {},
            { { "zone0/b", PoisonVerdict::Suspect }, { "zone7/b", PoisonVerdict::Suspect } } }),
    [](const auto& info) { return info.param.name; });

namespace {

struct CrashScenario {
    std::string name;
    int crashing = 1;
    bool zoneLost = false;
    /// \brief Time until a node knows the loss that another one has confirmed.
    core::Duration lag {};
};

/// \brief Nodes with a detector each before endpoints that crashing requests take down for three seconds.
class CrashingRequests {
public:
    CrashingRequests(const CrashScenario& scenario, unsigned seed)
        : scenario(scenario)
        , random(seed)
        , detectors(nodeCount, PoisonDetector(threeLosses()))
        , upAgainAt(endpointCount, start)
        , runs(static_cast<std::size_t>(scenario.crashing))
    {
    }

    /// \brief The crashing requests arrive, each at two nodes in turn that try two endpoints each.
    void playRound(core::TimePoint at, bool zoneLost)
    {
        for (auto& each : this->soundByEndpoint) {
            each = { std::to_string(++this->lastSound), this->random() % nodeCount };
        }
        for (std::size_t endpoint = 0; zoneLost && endpoint < endpointCount; endpoint += 3) {
            this->lose(endpoint, "", 0, at);
        }
        std::vector<std::set<std::size_t>> tried(this->runs.size());
        for (std::size_t attempt = 0; attempt < 4; ++attempt) {
            const auto now = at + std::chrono::milliseconds(60) * static_cast<int>(attempt);
            this->deliver(now);
            for (std::size_t request = 0; request < this->runs.size(); ++request) {
                const auto node = (request + attempt / 2 * 2) % nodeCount;
                const auto digest = "p" + std::to_string(request) + "/a";
                const bool repeats = attempt % 2 == 1;
                if (this->detectors[node].verdict(digest, now) == PoisonVerdict::Isolated
                    || (repeats && this->detectors[node].isIsolatedByNextLoss(digest, now))) {
                    continue;
                }
                this->run(request, node, tried[request], now);
            }
        }
    }

    [[nodiscard]] std::size_t lateRuns(std::size_t request) const
    {
        const auto& times = this->runs[request];
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(),
            [&times](core::TimePoint at) { return times.size() >= 3 && at > times[2] + seconds(4); }));
    }

    [[nodiscard]] bool isolatesSound(core::TimePoint now)
    {
        this->deliver(now);
        for (const auto& detector : this->detectors) {
            for (int sound = 1; sound <= this->lastSound; ++sound) {
                if (detector.verdict("s" + std::to_string(sound) + "/b", now) == PoisonVerdict::Isolated) {
                    return true;
                }
            }
        }
        return false;
    }

private:
    struct Sound {
        std::string name;
        std::size_t node = 0;
    };
    struct Notice {
        core::TimePoint at;
        std::size_t node = 0;
        std::string endpoint;
        std::string digest;
        core::TimePoint lostAt;
    };

    void run(std::size_t request, std::size_t node, std::set<std::size_t>& tried, core::TimePoint now)
    {
        std::vector<std::size_t> up;
        for (std::size_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            if (this->upAgainAt[endpoint] <= now && !tried.contains(endpoint)) {
                up.push_back(endpoint);
            }
        }
        if (up.empty()) {
            return;
        }
        const auto endpoint = up[this->random() % up.size()];
        tried.insert(endpoint);
        this->runs[request].push_back(now);
        this->lose(endpoint, "p" + std::to_string(request) + "/a", node, now);
    }

    void lose(std::size_t endpoint, const std::string& digest, std::size_t node, core::TimePoint now)
    {
        this->upAgainAt[endpoint] = now + seconds(3);
        const auto name = std::to_string(endpoint) + "." + std::to_string(++this->incarnation);
        this->report(name, digest, node, now);
        const auto& sound = this->soundByEndpoint[endpoint];
        this->report(name, "s" + sound.name + "/b", sound.node, now);
    }

    void report(const std::string& endpoint, const std::string& digest, std::size_t reporter, core::TimePoint now)
    {
        const auto confirmedAt = now + std::chrono::milliseconds(150);
        for (std::size_t node = 0; !digest.empty() && node < nodeCount; ++node) {
            this->notices.push_back({ confirmedAt + (node == reporter ? core::Duration::zero() : this->scenario.lag),
                node, endpoint, digest, confirmedAt });
        }
    }

    void deliver(core::TimePoint now)
    {
        std::erase_if(this->notices, [this, now](const Notice& notice) {
            if (notice.at > now) {
                return false;
            }
            this->detectors[notice.node].merge(
                { notice.endpoint, { notice.digest }, notice.at - notice.lostAt }, notice.at);
            return true;
        });
    }

    static constexpr std::size_t nodeCount = 4;
    static constexpr std::size_t endpointCount = 14;

    CrashScenario scenario;
    std::minstd_rand random;
    std::vector<PoisonDetector> detectors;
    std::vector<core::TimePoint> upAgainAt;
    std::vector<std::vector<core::TimePoint>> runs;
    std::array<Sound, endpointCount> soundByEndpoint;
    std::vector<Notice> notices;
    int lastSound = 0;
    int incarnation = 0;
};

} // namespace

class PoisonAtSeveralNodes : public testing::TestWithParam<CrashScenario> { };

// Guards against more than three runs later than four seconds after the third crash, the bound of the platform, and
// against refusing the sound requests beside them.
TEST_P(PoisonAtSeveralNodes, IsRefusedAfterItsThirdCrash)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CrashingRequests world(GetParam(), seed);
        for (int round = 0; round < 6; ++round) {
            world.playRound(start + seconds(8 * round), GetParam().zoneLost && round == 0);
            ASSERT_FALSE(world.isolatesSound(start + seconds(8 * round + 5))) << "seed " << seed << " round " << round;
        }
        for (std::size_t request = 0; request < static_cast<std::size_t>(GetParam().crashing); ++request) {
            ASSERT_LE(world.lateRuns(request), 3U) << "seed " << seed << " request " << request;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PoisonAtSeveralNodes,
    testing::Values(CrashScenario { "One", 1, false, std::chrono::milliseconds(10) },
        CrashScenario { "Three", 3, false, std::chrono::milliseconds(10) },
        CrashScenario { "Ten", 10, false, std::chrono::milliseconds(10) },
        CrashScenario { "OneBesideAZone", 1, true, std::chrono::milliseconds(10) },
        CrashScenario { "ThreeBesideAZone", 3, true, std::chrono::milliseconds(10) },
        CrashScenario { "TenBesideAZone", 10, true, std::chrono::milliseconds(10) },
        CrashScenario { "OneWithLateNotices", 1, false, seconds(3) },
        CrashScenario { "ThreeWithLateNotices", 3, true, seconds(3) },
        CrashScenario { "TenWithLateNotices", 10, true, seconds(3) }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::policy
