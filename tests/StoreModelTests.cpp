#include "bench/fakes/ServiceModel.h"
#include "bench/fakes/SideEffectCheck.h"
#include "bench/fakes/TableModel.h"
#include "bench/fakes/VmListModel.h"
#include "bench/fakes/WeightModel.h"

namespace lagoontiller::fakes {

namespace {

core::TimePoint at(std::int64_t milliseconds)
{
    return core::TimePoint(std::chrono::milliseconds(milliseconds));
}

struct ConditionCase {
    std::string name;
    std::vector<tables::Condition> conditions;
    std::vector<std::string> failed;
};

class TableConditions : public testing::TestWithParam<ConditionCase> { };

} // namespace

// Guards against writes of a transaction with a failed condition. Row `a` has version 1, row `b` does not exist.
TEST_P(TableConditions, AllHoldOrNothingIsWritten)
{
    TableModel table;
    (void)table.apply({ "first", {}, { { "a", "old" } }, {} });
    const auto reply = table.apply({ "second", GetParam().conditions, { { "b", "new" } }, { "a" } });
    const bool committed = GetParam().failed.empty();
    EXPECT_EQ(reply.committed, committed);
    EXPECT_EQ(reply.failed, GetParam().failed);
    EXPECT_EQ(table.read("a").has_value(), !committed);
    EXPECT_EQ(table.read("b").has_value(), committed);
    EXPECT_EQ(table.counters(), (TableCounters { 2, 2, committed ? 0U : 1U }));
}

INSTANTIATE_TEST_SUITE_P(Cases, TableConditions,
    testing::Values(ConditionCase { "none", {}, {} }, ConditionCase { "present", { { "a", 1 } }, {} },
        ConditionCase { "absent", { { "b", 0 } }, {} }, ConditionCase { "both", { { "a", 1 }, { "b", 0 } }, {} },
        ConditionCase { "oldVersion", { { "a", 2 } }, { "a" } },
        ConditionCase { "notAbsent", { { "a", 0 }, { "b", 0 } }, { "a" } },
        ConditionCase { "twoFail", { { "a", 7 }, { "b", 1 } }, { "a", "b" } }),
    [](const auto& info) { return info.param.name; });

// Guards against reuse of a version after a row was deleted, with which an outdated condition would succeed.
TEST(TableModel, VersionsAreNeverReused)
{
    TableModel table;
    const auto first = table.apply({ "", {}, { { "a", "1" } }, {} }).versions.at("a");
    (void)table.apply({ "", {}, {}, { "a" } });
    const auto second = table.apply({ "", { { "a", 0 } }, { { "a", "2" } }, {} }).versions.at("a");
    EXPECT_GT(second, first);
    EXPECT_FALSE(table.apply({ "", { { "a", first } }, { { "a", "3" } }, {} }).committed);
}

// Guards against scans that skip rows between pages, return rows outside the prefix or count too few reads.
TEST(TableModel, ScansInPages)
{
    TableModel table;
    for (int index = 100; index < 350; ++index)
        (void)table.apply({ "", {}, { { "log/" + std::to_string(index), "x" } }, {} });
    (void)table.apply({ "", {}, { { "loh", "x" }, { "lo", "x" } }, {} });
    std::vector<std::string> keys;
    std::string after;
    for (auto rows = table.scan("log/", after, 0); !rows.empty(); rows = table.scan("log/", after, 0)) {
        EXPECT_LE(rows.size(), scanPageRows);
        for (const auto& row : rows)
            keys.push_back(row.key);
        after = keys.back();
    }
    EXPECT_EQ(keys.size(), 250U);
    EXPECT_TRUE(std::is_sorted(keys.begin(), keys.end()));
    EXPECT_EQ(table.counters().reads, 4U);
    (void)table.scan("log/", "", 250);
    EXPECT_EQ(table.counters().reads, 7U);
}

// Guards against large rows that count as a single read: a page ends after 1 MB.
TEST(TableModel, PageEndsAfterItsByteLimit)
{
    TableModel table;
    for (const auto* key : { "a1", "a2", "a3" })
        (void)table.apply({ "", {}, { { key, std::string(600'000, 'x') } }, {} });
    EXPECT_EQ(table.scan("a", "", 100).size(), 2U);
}

// Guards against a ledger that omits repeated executions, which would hide violations of at-most-once execution.
TEST(ServiceModel, LedgerListsEveryExecution)
{
    ServiceModel service;
    (void)service.execute("r1", "k", "/v1/charges", "{}");
    (void)service.execute("r2", "k", "/v1/charges", "{}");
    ASSERT_EQ(service.ledger().size(), 2U);
    EXPECT_EQ(service.ledger()[0].digest, service.ledger()[1].digest);
    EXPECT_EQ(service.ledger()[1].requestId, "r2");
}

// Guards against changes that become visible before the lag has passed, or out of order when the lag is shortened.
TEST(VmListModel, ChangesBecomeVisibleAfterTheLagInOrder)
{
    VmListModel list(std::chrono::milliseconds(1'000));
    list.set({ { { "name", "entry-1" }, { "state", "live" } } }, at(0));
    EXPECT_EQ(list.list(at(999))["version"], 0);
    EXPECT_EQ(list.list(at(1'000))["version"], 1);
    EXPECT_TRUE(list.setState("entry-1", "leaving", at(2'000)));
    list.setLag(std::chrono::milliseconds(0));
    EXPECT_TRUE(list.setState("entry-1", "gone", at(2'100)));
    EXPECT_EQ(list.list(at(2'999))["vms"][0]["state"], "live");
    EXPECT_EQ(list.list(at(3'000))["vms"].size(), 0U);
    EXPECT_FALSE(list.setState("entry-1", "live", at(4'000)));
}

// Guards against concurrent leases that each get the full rate: the rate applies to all leases together, and an idle
// store adds no delay.
TEST(WeightModel, LeasesWaitForEarlierTransfers)
{
    WeightModel store(1'000);
    EXPECT_EQ(store.lease(500, at(10'000)), core::Duration(0));
    EXPECT_EQ(store.lease(500, at(10'000)), std::chrono::milliseconds(500));
    EXPECT_EQ(store.lease(500, at(10'250)), std::chrono::milliseconds(750));
    EXPECT_EQ(store.lease(500, at(20'000)), core::Duration(0));
}

namespace {

struct EffectCase {
    std::string name;
    CallerResult knowledge;
    bool repeatable;
    bool refusalStated;
    std::uint64_t executions;
    std::string expected;
};

class SideEffects : public testing::TestWithParam<EffectCase> { };

} // namespace

// Guards against a replay that accepts a lost or duplicated side effect.
TEST_P(SideEffects, AreJudgedByTheLedger)
{
    const auto& values = GetParam();
    const auto check = checkSideEffect(values.knowledge, values.repeatable, values.refusalStated, values.executions);
    EXPECT_TRUE(check.starts_with(values.expected)) << check;
    EXPECT_EQ(check.starts_with("fault"), values.expected == "fault");
}

INSTANTIATE_TEST_SUITE_P(Cases, SideEffects,
    testing::Values(EffectCase { "answeredOnce", CallerResult::Answered, false, false, 1, "once" },
        EffectCase { "answeredNever", CallerResult::Answered, false, false, 0, "fault" },
        EffectCase { "answeredTwice", CallerResult::Answered, false, false, 2, "fault" },
        EffectCase { "repeatableTwice", CallerResult::Answered, true, false, 2, "repeated" },
        EffectCase { "mayHaveRunOnce", CallerResult::MayHaveRun, false, false, 1, "once" },
        EffectCase { "mayHaveRunNever", CallerResult::MayHaveRun, false, false, 0, "unknown" },
        EffectCase { "mayHaveRunTwice", CallerResult::MayHaveRun, false, false, 2, "fault" },
        EffectCase { "refusedButRan", CallerResult::RefusedNotRun, false, true, 1, "fault" },
        EffectCase { "refusedAsStated", CallerResult::RefusedNotRun, false, true, 0, "not run" },
        EffectCase { "refusedUnstated", CallerResult::RefusedNotRun, false, false, 0, "fault" },
        EffectCase { "lost", CallerResult::Lost, false, false, 0, "fault" }),
    [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::fakes
