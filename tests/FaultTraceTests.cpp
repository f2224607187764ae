#include "bench/policy/Simulation.h"

namespace lagoontiller::bench {

namespace {

using std::chrono::seconds;

struct FaultTrace {
    std::string name;
    std::string deployment;
    std::vector<Fault> faults;
    /// \brief Whether calls that must not be repeated may be lost without a known result.
    bool mayFail = false;
};

std::string word(FaultKind kind)
{
    std::string name = nameOf(kind);
    std::erase(name, ' ');
    return name;
}

std::vector<FaultTrace> traces()
{
    std::vector<FaultTrace> list;
    constexpr int kinds = static_cast<int>(FaultKind::LeavingWave) + 1;
    // Only these faults hit the tool services, whose calls may be lost on the way.
    const auto hitsTools = [](FaultKind kind) { return kind == FaultKind::RegionCut || kind == FaultKind::ZoneLost; };
    for (const char* deployment : { "nilavilakku", "minningarskjoldur" }) {
        for (int i = 0; i < kinds; ++i) {
            const auto kind = static_cast<FaultKind>(i);
            const auto other = static_cast<FaultKind>((i + 1) % kinds);
            const std::string prefix = std::string(deployment) + "_" + word(kind);
            list.push_back({ prefix + "_once", deployment, { { kind, seconds(10) } }, hitsTools(kind) });
            list.push_back(
                { prefix + "_twice", deployment, { { kind, seconds(10) }, { kind, seconds(35) } }, hitsTools(kind) });
            list.push_back({ prefix + "_with_" + word(other), deployment,
                { { kind, seconds(10) }, { other, seconds(12) } }, hitsTools(kind) || hitsTools(other) });
        }
    }
    return list;
}

} // namespace

class FaultTraces : public testing::TestWithParam<FaultTrace> { };

// Guards against a fault, repeated or joined with another, after which a program hangs, runs out of order, repeats a
// call that must not be repeated, or costs more than two endpoints.
TEST_P(FaultTraces, EndEveryProgramWithoutViolation)
{
    const Deployment deployment = readDeployment(std::string(TEST_DATA) + "/traces", GetParam().deployment);
    RunSettings settings;
    settings.load = 0.6;
    settings.length = seconds(60);
    settings.seed = 5;
    settings.faults = GetParam().faults;
    const RunResult result = Simulation(deployment, settings).run();
    EXPECT_EQ(result.unfinished, 0U);
    EXPECT_EQ(result.violations, (std::map<std::string, std::uint64_t> {}));
    EXPECT_LE(result.poisonLosses, 2U);
    EXPECT_EQ(result.programs.size() + result.refused + result.failed, result.arrived);
    EXPECT_GT(result.programs.size(), result.arrived * 9 / 10);
    if (!GetParam().mayFail) {
        EXPECT_EQ(result.failed, 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, FaultTraces, testing::ValuesIn(traces()), [](const auto& info) { return info.param.name; });

// Guards against checks that cannot fail: the baselines do not isolate crashing requests and lose a third endpoint.
TEST(FaultTraceChecks, DetectCrashingRequestsWithoutIsolation)
{
    const Deployment deployment = readDeployment(std::string(TEST_DATA) + "/traces", "nilavilakku");
    RunSettings settings;
    settings.policy = PolicyKind::RoundRobin;
    settings.length = seconds(60);
    settings.faults = { { FaultKind::PoisonRequest, seconds(10) } };
    EXPECT_GT(Simulation(deployment, settings).run().violations.size(), 0U);
}

} // namespace lagoontiller::bench
