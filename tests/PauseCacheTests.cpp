#include "policy/PauseCachePolicy.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };

struct PauseCase {
    std::string name;
    PausedCache cache;
    CacheAction expected;
};

struct MoveCase {
    std::string name;
    KvMove move;
    bool expected;
};

} // namespace

class PauseTable : public testing::TestWithParam<PauseCase> { };

// Guards against dropping a cache that is needed again shortly, and against holding engine memory during long pauses.
TEST_P(PauseTable, TakesTheCheapest)
{
    EXPECT_EQ(decidePausedCache(GetParam().cache, {}), GetParam().expected);
}

// 80,000 tokens take 10 s to recompute; 1 GB takes 1 s to export and 1 s to import.
INSTANTIATE_TEST_SUITE_P(Table, PauseTable,
    testing::Values(PauseCase { "ShortPause", { seconds(2), 80'000, 1'000'000'000, 0.9, 1, true }, CacheAction::Keep },
        PauseCase { "NoPressure", { minutes(9), 80'000, 1'000'000'000, 0.5, 1, true }, CacheAction::Keep },
        PauseCase { "NoPressureButTooLong", { minutes(11), 80'000, 1'000'000'000, 0.5, 1, true }, CacheAction::Export },
        PauseCase { "LongPauseUnderPressure", { minutes(2), 80'000, 1'000'000'000, 1, 1, true }, CacheAction::Export },
        PauseCase { "ExportDearerThanRecompute", { minutes(2), 800, 1'000'000'000, 1, 0.9, true }, CacheAction::Drop },
        PauseCase { "NoExport", { minutes(2), 80'000, 1'000'000'000, 1, 0.9, false }, CacheAction::Drop },
        PauseCase { "RarelyReturns", { minutes(2), 80'000, 1'000'000'000, 1, 0.05, true }, CacheAction::Drop }),
    [](const auto& info) { return info.param.name; });

class MoveTable : public testing::TestWithParam<MoveCase> { };

// Guards against moving KV data over billed links where recomputing is cheaper.
TEST_P(MoveTable, IsCheaperThanRecomputing)
{
    EXPECT_EQ(shouldMoveKv(GetParam().move, {}), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, MoveTable,
    testing::Values(MoveCase { "SameRegion", { 80'000, 1'000'000'000, false, 1, 1 }, true },
        MoveCase { "CrossRegion", { 80'000, 1'000'000'000, true, 1, 1 }, false },
        MoveCase { "CrossRegionSmall", { 80'000, 10'000'000, true, 1, 1 }, true },
        MoveCase { "BilledBytesDecide", { 8'000, 10'000'000, true, 0, 1 }, false },
        MoveCase { "ShortPrefix", { 100, 1'000'000'000, false, 1, 1 }, false }),
    [](const auto& info) { return info.param.name; });

// Guards against one pause estimate for all tools, and against an overdue pause that is expected to end immediately.
TEST(PauseLearning, IsPerToolAndGrowsWhenOverdue)
{
    PauseEstimator estimator(2);
    EXPECT_EQ(estimator.expected("new"), seconds(5));
    for (int i = 0; i < 30; ++i) {
        estimator.observe("fast", seconds(1), start);
        estimator.observe("slow", seconds(100), start + seconds(1));
    }
    EXPECT_NEAR(microseconds(estimator.expected("fast")), 1e6, 10);
    EXPECT_NEAR(microseconds(estimator.expected("slow", seconds(40))), 6e7, 1'000);
    EXPECT_EQ(estimator.expected("slow", seconds(200)), seconds(200));
    estimator.observe("third", seconds(1), start + seconds(2));
    EXPECT_EQ(estimator.size(), 2U);
    EXPECT_EQ(estimator.expected("fast"), seconds(5)) << "the tool observed longest ago is dropped";
}

} // namespace lagoontiller::policy
