#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::seconds;

const std::string customer = "workshop";
const core::ProgramKey program { customer, "east.p1" };

class ProgramBudget : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->owner = this->world.ownerOf(program);
        this->entry = (this->owner + 1) % this->world.size();
    }

    Answer turn(const std::string& id, int number, const std::string& message, int maximumTokens = 100,
        const std::string& programClass = "small")
    {
        return this->world.send(this->entry,
            turnRequest(customer, message,
                { .program = id, .turn = number, .programClass = programClass, .append = true }, false, maximumTokens));
    }

    Answer call(const std::string& key)
    {
        return this->world.send(this->entry,
            serviceRequest(
                customer, "/stock", "{}", { .program = program.program, .key = key, .programClass = "small" }));
    }

    /// \brief Exhausted turns, calls and wall time give program_limit_reached; exhausted tokens give budget_exhausted.
    static void expectExhausted(const Answer& answer, const std::string& code = "program_limit_reached")
    {
        EXPECT_TRUE(answer->ended);
        EXPECT_EQ(code, answer->code()) << answer->body;
        EXPECT_EQ("not run", answer->ran());
    }

    void replaceOwner()
    {
        this->world.kill(this->owner);
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
    }

    ControlWorld world;
    std::size_t owner = 0;
    std::size_t entry = 0;
};

} // namespace

// Guards against concurrent sub-agents that together exceed the tokens of their root program.
TEST_F(ProgramBudget, ConcurrentSubAgentsShareTheTokens)
{
    const auto root = this->turn(program.program, 1, "root");
    this->world.advance(seconds(2));
    ASSERT_EQ(200, root->status) << root->body;
    std::vector<Answer> answers;
    for (int index = 0; index < 2; ++index)
        answers.push_back(this->turn(program.program + "~a" + std::to_string(index), 1, "sub", 2500));
    this->world.advance(seconds(3));
    const auto refused = std::count_if(
        answers.begin(), answers.end(), [](const Answer& answer) { return answer->code() == "budget_exhausted"; });
    // A budget of 4,000 tokens covers one answer of 2,500 tokens, not two.
    EXPECT_EQ(1, refused);
    EXPECT_EQ(2U, this->world.endpoints.engineRuns.size());
}

// Guards against a program that never ends: the turn limit of its class applies to it and all its sub-agents together.
TEST_F(ProgramBudget, TurnsOfTheTreeEnd)
{
    for (int number = 1; number <= 2; ++number)
        static_cast<void>(this->turn(program.program, number, "t" + std::to_string(number)));
    this->world.advance(seconds(3));
    const auto third = this->turn(program.program + "~sub", 1, "s");
    this->world.advance(seconds(3));
    EXPECT_EQ(200, third->status) << third->body;
    const auto fourth = this->turn(program.program, 3, "t3");
    this->world.advance(seconds(3));
    expectExhausted(fourth);
    EXPECT_EQ(3U, this->world.endpoints.engineRuns.size());
}

// Guards against turn and call counts that restart at zero at a new owner.
TEST_F(ProgramBudget, CountsSurviveATakeover)
{
    for (int number = 1; number <= 3; ++number)
        static_cast<void>(this->turn(program.program, number, "t" + std::to_string(number)));
    static_cast<void>(this->call("k1"));
    static_cast<void>(this->call("k2"));
    this->world.advance(seconds(5));
    ASSERT_EQ(3U, this->world.endpoints.engineRuns.size());
    ASSERT_EQ(1, this->world.endpoints.runsOf("k2"));
    this->replaceOwner();
    const auto turnAnswer = this->turn(program.program, 4, "t4");
    const auto callAnswer = this->call("k3");
    this->world.advance(seconds(5));
    expectExhausted(turnAnswer);
    expectExhausted(callAnswer);
    EXPECT_EQ(0, this->world.endpoints.runsOf("k3"));
}

// Guards against a successor that spends tokens again that the previous owner spent before it failed.
TEST_F(ProgramBudget, ReservedTokensCountAsSpentAfterATakeover)
{
    const auto one = this->turn(program.program, 1, "first", 3000);
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    this->world.kill(this->owner);
    this->world.advance(seconds(20));
    // The reserved 4,000 tokens may have been spent, so none remain for the retried turn.
    ASSERT_TRUE(one->ended);
    EXPECT_EQ("budget_exhausted", one->code()) << one->body;
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

// Guards against a new program that runs although its budget cannot be recorded.
TEST_F(ProgramBudget, NewProgramIsRefusedDuringAStoreOutage)
{
    this->world.store.down = true;
    this->world.advance(seconds(2));
    const auto answer = this->turn(program.program, 1, "first");
    this->world.advance(seconds(15));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ("store_unavailable", answer->code()) << answer->body;
    EXPECT_EQ("not run", answer->ran());
    EXPECT_TRUE(this->world.endpoints.engineRuns.empty());
    EXPECT_FALSE(http::headerValue(answer->headers, "Retry-After").empty());
}

// Guards against an outage that stops a known program although it still has reserved tokens.
TEST_F(ProgramBudget, KnownProgramContinuesWithinItsChunk)
{
    const auto one = this->turn(program.program, 1, "first");
    this->world.advance(seconds(3));
    this->world.store.down = true;
    this->world.advance(seconds(2));
    const auto two = this->turn(program.program, 2, "second");
    this->world.advance(seconds(10));
    EXPECT_EQ(200, two->status) << two->body;
}

// Guards against a program that runs longer than the wall time limit of its class.
TEST_F(ProgramBudget, WallTimeEndsAProgram)
{
    const auto one = this->turn(program.program, 1, "first", 100, "short");
    this->world.advance(seconds(3));
    EXPECT_EQ(200, one->status) << one->body;
    this->world.advance(seconds(5));
    const auto two = this->turn(program.program, 2, "second", 100, "short");
    this->world.advance(seconds(3));
    EXPECT_EQ("not run", two->ran()) << two->body;
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

// Guards against wall time that restarts at zero at a new owner.
TEST_F(ProgramBudget, WallTimeSurvivesATakeover)
{
    static_cast<void>(this->turn(program.program, 1, "first", 100, "short"));
    this->world.advance(seconds(3));
    this->replaceOwner();
    this->world.advance(seconds(3));
    const auto two = this->turn(program.program, 2, "second", 100, "short");
    this->world.advance(seconds(3));
    EXPECT_EQ("not run", two->ran()) << two->body;
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

// Guards against budgets that do not follow document updates after the program was opened.
TEST_F(ProgramBudget, FollowsTheDocumentInForce)
{
    for (int number = 1; number <= 3; ++number)
        static_cast<void>(this->turn(program.program, number, "t" + std::to_string(number)));
    this->world.advance(seconds(3));
    this->world.setDocument(controlDocument({ .smallTurns = 4 }));
    this->world.advance(seconds(1));
    const auto four = this->turn(program.program, 4, "t4");
    this->world.advance(seconds(3));
    EXPECT_EQ(200, four->status) << four->body;
    this->world.setDocument(controlDocument({ .smallTurns = 2 }));
    this->world.advance(seconds(1));
    const auto five = this->turn(program.program, 5, "t5");
    this->world.advance(seconds(3));
    expectExhausted(five);
}

// Guards against a refused turn that blocks the program: callers may send it again.
TEST_F(ProgramBudget, RefusedTurnRunsUnderALargerBudget)
{
    const auto refused = this->turn(program.program, 1, "first", 5000);
    this->world.advance(seconds(2));
    expectExhausted(refused, "budget_exhausted");
    this->world.setDocument(controlDocument({ .smallTokens = 20000 }));
    this->world.advance(seconds(1));
    const auto answer = this->turn(program.program, 1, "first", 5000);
    this->world.advance(seconds(3));
    EXPECT_EQ(200, answer->status) << answer->body;
}

} // namespace lagoontiller::tests
