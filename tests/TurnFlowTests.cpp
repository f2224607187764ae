#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string customer = "workshop";
const core::ProgramKey program { customer, "east.p1" };

class TurnFlow : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->owner = this->world.ownerOf(program);
        this->entry = (this->owner + 1) % this->world.size();
    }

    Answer turn(int number, const std::string& message, bool stream = false, bool append = true)
    {
        return this->world.send(this->entry,
            turnRequest(customer, message, { .program = program.program, .turn = number, .append = append }, stream));
    }

    Answer fetch(std::size_t node, int number)
    {
        return this->world.send(node,
            plainRequest(customer, "GET", "/v1/programs/" + program.program + "/turns/" + std::to_string(number)));
    }

    [[nodiscard]] std::vector<std::string> messagesAtEngines() const
    {
        std::vector<std::string> result;
        for (const auto& run : this->world.endpoints.engineRuns)
            result.push_back(run.lastMessage);
        return result;
    }

    void expectComplete(const Answer& answer, const std::string& message)
    {
        EXPECT_TRUE(answer->ended);
        EXPECT_TRUE(answer->complete);
        EXPECT_EQ(200, answer->status) << answer->body;
        EXPECT_EQ(FakeEndpoints::textOf(message), answer->text()) << answer->body;
    }

    ControlWorld world;
    std::size_t owner = 0;
    std::size_t entry = 0;
};

} // namespace

// Guards against turns that reach the engines in arrival order instead of turn order.
TEST_F(TurnFlow, EarlyAndCrossedTurnsRunInOrder)
{
    const auto three = this->turn(3, "third");
    const auto two = this->turn(2, "second");
    this->world.advance(milliseconds(500));
    EXPECT_TRUE(this->world.endpoints.engineRuns.empty());
    const auto one = this->turn(1, "first");
    this->world.advance(seconds(5));
    this->expectComplete(one, "first");
    this->expectComplete(two, "second");
    this->expectComplete(three, "third");
    EXPECT_EQ((std::vector<std::string> { "first", "second", "third" }), this->messagesAtEngines());
    const auto messages = this->world.endpoints.engineRuns.back().body.at("messages");
    ASSERT_EQ(5U, messages.size());
    EXPECT_EQ(FakeEndpoints::textOf("second"), messages[3].at("content"));
}

// Guards against an early turn that waits indefinitely, or that runs without its predecessor.
TEST_F(TurnFlow, EarlyTurnIsRefusedWhenItsPredecessorDoesNotCome)
{
    const auto two = this->turn(2, "second");
    this->world.advance(seconds(11));
    ASSERT_TRUE(two->ended);
    EXPECT_EQ("turn_out_of_order", two->code());
    EXPECT_EQ("not run", two->ran());
    EXPECT_TRUE(this->world.endpoints.engineRuns.empty());
}

// Guards against executing a repeated turn again, and against a different request that reuses its number.
TEST_F(TurnFlow, AnsweredTurnIsRepeatedFromTheRecords)
{
    const auto first = this->turn(1, "first");
    this->world.advance(seconds(3));
    const auto again = this->turn(1, "first");
    const auto stream = this->turn(1, "first", true);
    const auto other = this->turn(1, "other");
    this->world.advance(seconds(3));
    EXPECT_EQ(first->body, again->body);
    this->expectComplete(stream, "first");
    EXPECT_EQ("committed", stream->commitState());
    EXPECT_EQ("turn_conflict", other->code());
    EXPECT_EQ("not run", other->ran());
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

// Guards against a request that joins a running turn and misses earlier text or starts a second generation.
TEST_F(TurnFlow, EqualTurnJoinsARunningOne)
{
    const auto first = this->turn(1, "first", true);
    ASSERT_TRUE(this->world.runUntil([&] { return first->text().size() > 10; }));
    const auto stream = this->turn(1, "first", true);
    const auto whole = this->turn(1, "first");
    this->world.advance(seconds(3));
    for (const auto& answer : { first, stream, whole }) {
        this->expectComplete(answer, "first");
        EXPECT_EQ("committed", answer->commitState());
    }
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

struct EngineFault {
    std::string name;
    EndpointFate fate;
    /// \brief Number of words that the second engine receives as resume text.
    std::size_t resumed;
};

std::ostream& operator<<(std::ostream& stream, const EngineFault& fault)
{
    return stream << fault.name;
}

class TurnFault : public TurnFlow, public testing::WithParamInterface<EngineFault> { };

// Guards against tokens that are lost or duplicated when another engine resumes the turn.
TEST_P(TurnFault, IsResumedWithoutLossOrDoubling)
{
    this->world.endpoints.enginePlans = { { GetParam().fate } };
    const auto stream = this->turn(1, "first", true);
    this->world.advance(seconds(15));
    this->expectComplete(stream, "first");
    this->world.endpoints.enginePlans = { { GetParam().fate } };
    const auto whole = this->turn(2, "second");
    this->world.advance(seconds(15));
    this->expectComplete(whole, "second");
    std::string expected;
    for (std::size_t index = 0; index < GetParam().resumed; ++index)
        expected += FakeEndpoints::answerTo("second")[index];
    EXPECT_EQ(expected, this->world.endpoints.engineRuns.back().resumeText);
}

INSTANTIATE_TEST_SUITE_P(Faults, TurnFault,
    testing::Values(EngineFault { "NotConnected", EndpointFate::NotConnected, 0 },
        EngineFault { "CrashBeforeRun", EndpointFate::CrashBeforeRun, 0 },
        EngineFault { "CrashBeforeAnswer", EndpointFate::CrashAfterRun, 0 },
        EngineFault { "CrashInStream", EndpointFate::CrashInStream, 2 },
        EngineFault { "SilentBeforeFirstByte", EndpointFate::Silent, 0 },
        EngineFault { "SilentInStream", EndpointFate::SilentInStream, 2 },
        EngineFault { "Refused429", EndpointFate::Refuse429, 0 },
        EngineFault { "Refused503", EndpointFate::Refuse503, 0 }),
    [](const auto& info) { return info.param.name; });

// Guards against the answer of an abandoned attempt that arrives after the next attempt was sent.
TEST_F(TurnFlow, AnswerOfAStaleAttemptIsDropped)
{
    std::vector<control::AttemptId> attempts;
    this->world.onEffect = [&](std::size_t, const control::Effect& effect) {
        if (const auto* generate = std::get_if<control::StartGeneration>(&effect))
            attempts.push_back(generate->attempt);
    };
    this->world.endpoints.enginePlans = { { EndpointFate::CrashInStream }, { EndpointFate::Late, seconds(1) } };
    const auto answer = this->turn(1, "first");
    ASSERT_TRUE(this->world.runUntil([&] { return attempts.size() == 2; }));
    this->world.inject(this->owner, control::GenerationFinished { attempts[0], "stale", {} });
    this->world.inject(this->owner, control::GenerationFailed { attempts[0], "stale", {} });
    this->world.advance(seconds(5));
    this->expectComplete(answer, "first");
    EXPECT_EQ(2U, attempts.size());
}

// Guards against an answer that is lost when the entry node fails: other entry nodes must return the stored turn.
TEST_F(TurnFlow, StoredTurnIsFetchedAtAnotherEntry)
{
    const auto lost = this->turn(1, "first", true);
    ASSERT_TRUE(this->world.runUntil([&] { return lost->begun; }));
    this->world.kill(this->entry);
    this->world.advance(seconds(5));
    EXPECT_FALSE(lost->complete);
    const auto other = (this->entry + 1) % this->world.size();
    const auto fetched = this->fetch(other, 1);
    this->world.advance(seconds(1));
    this->expectComplete(fetched, "first");
    EXPECT_EQ("committed", fetched->commitState());
    EXPECT_EQ(1U, this->world.endpoints.engineRuns.size());
}

// Guards against mixing the programs of two customers that chose the same id.
TEST_F(TurnFlow, EqualIdsOfTwoCustomersAreTwoPrograms)
{
    const auto ours = this->turn(1, "ours");
    const auto theirs = this->world.send(
        this->entry, turnRequest("office", "theirs", { .program = program.program, .turn = 1, .append = true }));
    this->world.advance(seconds(3));
    this->expectComplete(ours, "ours");
    this->expectComplete(theirs, "theirs");
    const auto second = this->turn(2, "more");
    const auto fetched
        = this->world.send(this->entry, plainRequest("office", "GET", "/v1/programs/" + program.program + "/turns/1"));
    this->world.advance(seconds(3));
    this->expectComplete(fetched, "theirs");
    EXPECT_EQ("ours", this->world.endpoints.engineRuns.back().body.at("messages")[0].at("content"));
    std::set<std::string> prefixes;
    for (const auto& run : this->world.endpoints.engineRuns)
        prefixes.insert(run.program);
    EXPECT_EQ(2U, prefixes.size());
}

// Guards against "committed" for a turn that is only in memory, and against "pending" that never becomes "committed".
TEST_F(TurnFlow, CommitStateIsPendingDuringAStoreOutage)
{
    const auto one = this->turn(1, "first");
    this->world.advance(seconds(3));
    EXPECT_EQ("committed", one->commitState());
    this->world.store.down = true;
    this->world.advance(seconds(2));
    const auto two = this->turn(2, "second", true);
    this->world.advance(seconds(8));
    this->expectComplete(two, "second");
    EXPECT_EQ("pending", two->commitState());
    const auto during = this->fetch(this->entry, 2);
    this->world.advance(seconds(1));
    EXPECT_EQ("pending", during->commitState());
    this->world.store.down = false;
    this->world.advance(seconds(10));
    const auto after = this->fetch(this->entry, 2);
    this->world.advance(seconds(1));
    EXPECT_EQ("committed", after->commitState());
}

// Guards against "committed" for an answer whose record is still waiting because the store went down in the meantime.
TEST_F(TurnFlow, CommitStateIsPendingWhenTheOutageBeginsDuringTheAnswer)
{
    const auto answer = this->turn(1, "first");
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    this->world.store.down = true;
    this->world.advance(seconds(8));
    this->expectComplete(answer, "first");
    EXPECT_EQ("pending", answer->commitState());
}

// Guards against a wrong commit state: a pending turn is lost when its owner fails, a committed one is not.
TEST_F(TurnFlow, CommittedTurnsSurviveTheOwner)
{
    const auto one = this->turn(1, "first");
    this->world.advance(seconds(3));
    this->world.store.down = true;
    this->world.advance(seconds(2));
    const auto two = this->turn(2, "second");
    this->world.advance(seconds(5));
    ASSERT_EQ("pending", two->commitState()) << two->body;
    this->world.kill(this->owner);
    this->world.store.down = false;
    ASSERT_TRUE(this->world.settle());
    this->world.advance(seconds(5));
    const auto first = this->fetch(this->entry, 1);
    const auto second = this->fetch(this->entry, 2);
    this->world.advance(seconds(1));
    EXPECT_EQ(one->text(), first->text());
    EXPECT_EQ("unknown_turn", second->code());
    const auto again = this->turn(2, "second");
    this->world.advance(seconds(3));
    this->expectComplete(again, "second");
    EXPECT_EQ("committed", again->commitState());
}

// Guards against an owner that was paused until after its takeover and reports its answer as committed.
TEST_F(TurnFlow, PausedOwnerDoesNotClaimACommit)
{
    const auto one = this->turn(1, "first");
    this->world.advance(seconds(3));
    const auto two = this->world.send(
        this->owner, turnRequest(customer, "second", { .program = program.program, .turn = 2, .append = true }));
    ASSERT_TRUE(this->world.runUntil([&] { return this->world.endpoints.engineRuns.size() == 2; }));
    this->world.pause(this->owner);
    this->world.advance(seconds(10));
    this->world.resume(this->owner);
    this->world.advance(seconds(10));
    ASSERT_TRUE(two->ended);
    EXPECT_NE("committed", two->commitState());
    EXPECT_NE("not run", two->ran()) << two->body;
    ASSERT_TRUE(this->world.settle());
    const auto again = this->turn(2, "second");
    this->world.advance(seconds(5));
    this->expectComplete(again, "second");
}

// Guards against "not run" after a first engine generated text and no other engine could resume.
TEST_F(TurnFlow, RefusalAfterAStartedAttemptDoesNotSayNotRun)
{
    this->world.endpoints.enginePlans = { { EndpointFate::CrashInStream } };
    const auto answer = this->turn(1, "first");
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    auto list = this->world.documentVms();
    std::erase_if(list.vms, [](const auto& vm) { return vm.service == "wording"; });
    this->world.setVmList(list);
    this->world.advance(seconds(20));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ("may have run", answer->ran()) << answer->body;
}

// Guards against "not run" from an entry whose request reached an owner that then failed without a successor.
TEST_F(TurnFlow, RefusalAfterTheOwnerDiedDoesNotSayNotRun)
{
    const auto answer = this->turn(1, "first");
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    this->world.store.down = true;
    this->world.kill(this->owner);
    this->world.advance(seconds(30));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ("may have run", answer->ran()) << answer->body;
}

// Guards against "not run" from the next owner after the first one ran the request and failed.
TEST_F(TurnFlow, RefusalOfTheNextOwnerDoesNotSayNotRun)
{
    const auto answer = this->turn(1, "first");
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    this->world.kill(this->owner);
    auto list = this->world.documentVms();
    std::erase_if(list.vms, [](const auto& vm) { return vm.service == "wording"; });
    this->world.setVmList(list);
    this->world.advance(seconds(40));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ("may have run", answer->ran()) << answer->body;
}

} // namespace lagoontiller::tests
