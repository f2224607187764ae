// Reservations of root programs. Guards against spending more than the budget or more than is durably reserved.
#include "state/BudgetLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lagoontiller::state {
namespace {

const core::ProgramKey root { "c", "p" };
const core::ProgramKey child { "c", "p~s" };
const core::TimePoint start { std::chrono::seconds(100) };
constexpr BudgetLimits limits { 1000, 5, 3, std::chrono::seconds(60) };

struct BudgetCase {
    std::string name;
    RootBudget durable;
    OwnershipOrigin arrival;
    std::uint64_t tokens;
    WorkKind kind;
    int afterSeconds;
    std::optional<std::uint64_t> commitTotal; // Empty: refused. 0: spend now.
    core::ResultCode refusal = core::ResultCode::Ok;
};

class Reservations : public testing::TestWithParam<BudgetCase> { };

TEST_P(Reservations, FollowTheTable)
{
    const auto& given = this->GetParam();
    BudgetLedger ledger(200);
    ledger.open(root, limits, given.durable, given.arrival, start);
    const auto decision
        = ledger.reserve(child, given.tokens, given.kind, start + std::chrono::seconds(given.afterSeconds));
    if (!given.commitTotal) {
        ASSERT_TRUE(std::holds_alternative<BudgetRefused>(decision));
        // Guards against an error that names the token budget when another limit was reached.
        EXPECT_EQ(std::get<BudgetRefused>(decision).error.code, given.refusal);
    } else if (*given.commitTotal == 0) {
        EXPECT_TRUE(std::holds_alternative<BudgetGranted>(decision));
    } else {
        ASSERT_TRUE(std::holds_alternative<CommitChunk>(decision));
        EXPECT_EQ(std::get<CommitChunk>(decision).totalTokens, *given.commitTotal);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, Reservations,
    testing::Values(BudgetCase { "New", {}, OwnershipOrigin::HandOver, 50, WorkKind::Turn, 0, 200 },
        BudgetCase { "LargerThanAChunk", {}, OwnershipOrigin::HandOver, 250, WorkKind::Turn, 0, 250 },
        BudgetCase { "WithinTheChunk", { 200, 100, 1, 0 }, OwnershipOrigin::HandOver, 100, WorkKind::Turn, 0, 0 },
        BudgetCase {
            "TakeoverCountsAllReserved", { 200, 100, 1, 0 }, OwnershipOrigin::Takeover, 100, WorkKind::Turn, 0, 400 },
        BudgetCase {
            "ChunkEndsAtTheLimit", { 900, 900, 1, 0 }, OwnershipOrigin::Takeover, 50, WorkKind::Turn, 0, 1000 },
        BudgetCase { "ExactRest", { 900, 900, 1, 0 }, OwnershipOrigin::Takeover, 100, WorkKind::Turn, 0, 1000 },
        BudgetCase { "OverTheLimit", { 900, 900, 1, 0 }, OwnershipOrigin::Takeover, 101, WorkKind::Turn, 0, {},
            core::ResultCode::BudgetExhausted },
        BudgetCase { "Turns", { 200, 0, 5, 0 }, OwnershipOrigin::HandOver, 1, WorkKind::Turn, 0, {},
            core::ResultCode::ProgramLimitReached },
        BudgetCase { "TurnsDoNotLimitCalls", { 200, 0, 5, 0 }, OwnershipOrigin::HandOver, 0, WorkKind::Call, 0, 0 },
        BudgetCase { "Calls", { 200, 0, 0, 3 }, OwnershipOrigin::HandOver, 0, WorkKind::Call, 0, {},
            core::ResultCode::ProgramLimitReached },
        BudgetCase { "WallTimeReached", {}, OwnershipOrigin::HandOver, 1, WorkKind::Turn, 60, 200 },
        BudgetCase { "WallTimeOver", {}, OwnershipOrigin::HandOver, 1, WorkKind::Turn, 61, {},
            core::ResultCode::ProgramLimitReached }),
    [](const auto& info) { return info.param.name; });

// Guards against a first chunk that reserves a small budget completely, so that a takeover ends the program.
TEST(BudgetLedger, SmallBudgetSurvivesATakeover)
{
    const BudgetLimits small { 1500, 20, 20, std::chrono::hours(1) };
    BudgetLedger first;
    first.open(root, small, {}, OwnershipOrigin::HandOver, start);
    const auto reserved = std::get<CommitChunk>(first.reserve(root, 100, WorkKind::Turn, start)).totalTokens;
    BudgetLedger second;
    second.open(root, small, { reserved, 0, 0, 0 }, OwnershipOrigin::Takeover, start);
    EXPECT_FALSE(std::holds_alternative<BudgetRefused>(second.reserve(root, 100, WorkKind::Turn, start)));
}

TEST(BudgetLedger, UnknownRootIsRefused)
{
    EXPECT_TRUE(std::holds_alternative<BudgetRefused>(BudgetLedger().reserve(root, 1, WorkKind::Turn, start)));
}

// Concurrent sub-agents with reservations, commits, settlements and losses of the owner in any order.
RC_GTEST_PROP(BudgetLedger, NeverSpendsMoreThanTheBudget, ())
{
    const BudgetLimits wide { 1000, 10'000, 10'000, std::chrono::hours(24) };
    std::uint64_t durable = 0;
    std::uint64_t used = 0;
    std::map<ReservationId, std::uint64_t> spendable;
    std::map<ReservationId, std::pair<std::uint64_t, std::uint64_t>> committing;
    std::optional<BudgetLedger> ledger(100);
    ledger->open(root, wide, {}, OwnershipOrigin::HandOver, start);
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 8)) {
        case 0: { // The owner fails: work that it started may have used its whole reservation.
            for (const auto& [reservation, tokens] : spendable) {
                used += tokens;
            }
            spendable.clear();
            committing.clear();
            ledger.emplace(100);
            ledger->open(root, wide, { durable, 0, 0, 0 }, OwnershipOrigin::Takeover, start);
            break;
        }
        case 1:
        case 2:
            if (!committing.empty()) {
                const auto [reservation, chunk] = *committing.begin();
                committing.erase(committing.begin());
                if (*rc::gen::arbitrary<bool>()) {
                    durable = std::max(durable, chunk.first);
                    ledger->onChunkCommitted(child, chunk.first);
                    spendable[reservation] = chunk.second;
                } else {
                    ledger->cancel(child, reservation);
                }
            }
            break;
        case 3:
            if (!spendable.empty()) {
                const auto [reservation, most] = *spendable.begin();
                const auto real = *rc::gen::inRange<std::uint64_t>(0, most + 1);
                used += real;
                ledger->settle(child, reservation, real);
                spendable.erase(spendable.begin());
            }
            break;
        default: {
            const auto tokens = *rc::gen::inRange<std::uint64_t>(1, 150);
            const auto program = *rc::gen::element(root, child);
            const auto decision = ledger->reserve(program, tokens, WorkKind::Turn, start);
            if (const auto* now = std::get_if<BudgetGranted>(&decision)) {
                spendable[now->reservation] = tokens;
            } else if (const auto* chunk = std::get_if<CommitChunk>(&decision)) {
                committing[chunk->reservation] = { chunk->totalTokens, tokens };
            }
        }
        }
        std::uint64_t most = used;
        for (const auto& [reservation, tokens] : spendable) {
            most += tokens;
        }
        RC_ASSERT(most <= durable);
        RC_ASSERT(durable <= wide.tokens);
    }
}

} // namespace
} // namespace lagoontiller::state
