// Order of turns. Guards against turns that run out of order, lost answers and accepted answers of stale attempts.
#include "state/TurnOrder.h"

#include <gtest/gtest.h>

namespace lagoontiller::state {
namespace {

using std::chrono::seconds;

const core::ProgramKey program { "c", "p" };
const core::TimePoint start { seconds(100) };

TurnRequest requestOf(std::uint32_t turn, const std::string& digest = "d", const std::string& requestId = "r")
{
    return { program, turn, digest, requestId };
}

ProgramState answered(std::uint32_t turns, bool ended = false)
{
    ProgramState state;
    for (std::uint32_t turn = 1; turn <= turns; ++turn) {
        state.turns[turn].turn = turn;
        state.turns[turn].digest = "d";
        state.turns[turn].answer = "answer " + std::to_string(turn);
    }
    state.ended = ended;
    return state;
}

struct TurnCase {
    std::string name;
    std::uint32_t turn;
    std::string digest;
    bool ended;
    std::size_t decision; // Index of the alternative in TurnDecision.
    core::ResultCode code = core::ResultCode::Ok;
};

class TurnDecisions : public testing::TestWithParam<TurnCase> { };

TEST_P(TurnDecisions, FollowTheTableAfterTwoTurns)
{
    const auto& testCase = this->GetParam();
    const auto state = answered(2, testCase.ended);
    TurnOrder order;
    const auto decision = order.decide(requestOf(testCase.turn, testCase.digest), &state, start);
    ASSERT_EQ(decision.index(), testCase.decision);
    if (const auto* refused = std::get_if<RefuseTurn>(&decision)) {
        EXPECT_EQ(refused->error.code, testCase.code);
        EXPECT_EQ(refused->error.ran, core::RunState::NotRun);
    }
    if (const auto* replay = std::get_if<ReplayTurn>(&decision)) {
        EXPECT_EQ(replay->turn.answer, "answer " + std::to_string(testCase.turn));
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TurnDecisions,
    testing::Values(TurnCase { "Next", 3, "d", false, 0 }, TurnCase { "Early", 4, "d", false, 1 },
        TurnCase { "Answered", 1, "d", false, 3 }, TurnCase { "AnsweredAndEnded", 2, "d", true, 3 },
        TurnCase { "OtherDigest", 2, "x", false, 4, core::ResultCode::TurnConflict },
        TurnCase { "Ended", 3, "d", true, 4, core::ResultCode::ProgramEnded },
        TurnCase { "Zero", 0, "d", false, 4, core::ResultCode::InvalidField }),
    [](const auto& info) { return info.param.name; });

TEST(TurnOrder, EarlyTurnRunsAfterItsPredecessor)
{
    TurnOrder order;
    ASSERT_TRUE(std::holds_alternative<RunTurn>(order.decide(requestOf(1), nullptr, start)));
    ASSERT_TRUE(std::holds_alternative<WaitTurn>(order.decide(requestOf(2), nullptr, start)));
    ASSERT_TRUE(std::holds_alternative<WaitTurn>(order.decide(requestOf(3), nullptr, start)));
    EXPECT_EQ(order.onAnswered(program, 1), (std::vector<TurnEvent> { TurnReady { requestOf(2) } }));
    EXPECT_EQ(order.waitingCount(), 1U);
    const auto state = answered(1);
    EXPECT_TRUE(std::holds_alternative<RunTurn>(order.decide(requestOf(2), &state, start)));
}

TEST(TurnOrder, WaitEndsAfterTenSeconds)
{
    TurnOrder order;
    const auto decision = order.decide(requestOf(2), nullptr, start);
    ASSERT_EQ(std::get<WaitTurn>(decision).deadline, start + seconds(10));
    EXPECT_TRUE(order.tick(start + seconds(10) - core::Duration(1)).empty());
    const auto events = order.tick(start + seconds(10));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(std::get<TurnTimedOut>(events[0]).error.code, core::ResultCode::TurnOutOfOrder);
    EXPECT_EQ(order.waitingCount(), 0U);
}

TEST(TurnOrder, WaitingTurnsAreBounded)
{
    TurnOrder order({ seconds(10), 2, 3 });
    EXPECT_TRUE(std::holds_alternative<WaitTurn>(order.decide(requestOf(2), nullptr, start)));
    EXPECT_TRUE(std::holds_alternative<WaitTurn>(order.decide(requestOf(3), nullptr, start)));
    EXPECT_TRUE(std::holds_alternative<RefuseTurn>(order.decide(requestOf(4), nullptr, start)));
    auto other = requestOf(2);
    other.program.customer = "other";
    EXPECT_TRUE(std::holds_alternative<WaitTurn>(order.decide(other, nullptr, start)));
    other.program.customer = "third";
    EXPECT_TRUE(std::holds_alternative<RefuseTurn>(order.decide(other, nullptr, start)));
    order.cancelWait(requestOf(3));
    EXPECT_TRUE(std::holds_alternative<WaitTurn>(order.decide(other, nullptr, start)));
    EXPECT_EQ(order.removeProgram(program, core::Error(core::ResultCode::OwnerChanged, "")).size(), 1U);
}

TEST(TurnOrder, StaleAttemptIsDropped)
{
    TurnOrder order;
    EXPECT_EQ(std::get<RunTurn>(order.decide(requestOf(1), nullptr, start)).attempt, 1U);
    EXPECT_TRUE(order.isCurrentAttempt(program, 1, 1, "r"));
    EXPECT_EQ(order.startAttempt(program, 1), 2U);
    EXPECT_FALSE(order.isCurrentAttempt(program, 1, 1, "r"));
    EXPECT_TRUE(order.isCurrentAttempt(program, 1, 2, "r"));
    EXPECT_FALSE(order.isCurrentAttempt(program, 1, 2, "other"));
    EXPECT_FALSE(order.isCurrentAttempt(program, 2, 2, "r"));
    order.onFailed(program, 1);
    EXPECT_FALSE(order.isCurrentAttempt(program, 1, 2, "r"));
    EXPECT_EQ(std::get<RunTurn>(order.decide(requestOf(1), nullptr, start)).attempt, 3U);
    EXPECT_EQ(order.startAttempt(program, 2), 0U);
}

TEST(TurnOrder, RepeatedRequestJoinsAndAnotherBodyConflicts)
{
    TurnOrder order;
    (void)order.decide(requestOf(1, "d", "r1"), nullptr, start);
    EXPECT_EQ(order.decide(requestOf(1, "d", "r2"), nullptr, start), TurnDecision(JoinTurn { "r1" }));
    EXPECT_TRUE(std::holds_alternative<RefuseTurn>(order.decide(requestOf(1, "x"), nullptr, start)));
}

} // namespace
} // namespace lagoontiller::state
