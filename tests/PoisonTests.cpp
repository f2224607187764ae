#include "policy/PoisonDetector.h"

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

} // namespace lagoontiller::policy
