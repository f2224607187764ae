#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string customer = "workshop";
const core::ProgramKey program { customer, "east.p1" };

class ProgramEnd : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->owner = this->world.ownerOf(program);
        this->entry = (this->owner + 1) % this->world.size();
    }

    Answer turn(int number, const std::string& message, const std::string& programClass = "standard",
        const std::string& suffix = "")
    {
        return this->world.send(this->entry,
            turnRequest(customer, message,
                { .program = program.program + suffix, .turn = number, .programClass = programClass, .append = true }));
    }

    Answer end()
    {
        return this->world.send(
            this->entry, plainRequest(customer, "POST", "/v1/programs/" + program.program + "/end"));
    }

    /// \brief Runs two turns and a sub-agent, so that at least one engine holds memory.
    void runProgram(const std::string& programClass = "standard")
    {
        static_cast<void>(this->turn(1, "first", programClass));
        this->world.advance(seconds(1));
        static_cast<void>(this->turn(1, "sub", programClass, "~sub"));
        static_cast<void>(this->turn(2, "second", programClass));
        this->world.advance(seconds(1));
        ASSERT_EQ(3U, this->world.endpoints.engineRuns.size());
        ASSERT_FALSE(this->world.endpoints.held().empty());
    }

    ControlWorld world;
    std::size_t owner = 0;
    std::size_t entry = 0;
};

} // namespace

// Guards against memory that stays allocated for an ended program or its sub-agents.
TEST_F(ProgramEnd, ReleasesTheMemoryOfTheWholeTree)
{
    this->runProgram();
    const auto ended = this->end();
    this->world.advance(seconds(2));
    EXPECT_EQ(200, ended->status) << ended->body;
    EXPECT_EQ("committed", ended->commitState());
    EXPECT_TRUE(this->world.endpoints.held().empty());
    const auto late = this->turn(3, "third");
    const auto sub = this->turn(2, "sub", "standard", "~sub");
    this->world.advance(seconds(2));
    EXPECT_EQ("program_ended", late->code());
    EXPECT_EQ("not run", late->ran());
    EXPECT_EQ("program_ended", sub->code());
    EXPECT_EQ(3U, this->world.endpoints.engineRuns.size());
}

// Guards against a release that is abandoned when the engine does not respond.
TEST_F(ProgramEnd, IsRetriedUntilTheEngineConfirms)
{
    this->runProgram();
    for (const auto& [endpoint, key] : this->world.endpoints.held())
        this->world.endpoints.unreachable.insert(endpoint);
    static_cast<void>(this->end());
    this->world.advance(seconds(60));
    EXPECT_FALSE(this->world.endpoints.held().empty());
    this->world.endpoints.unreachable.clear();
    this->world.advance(seconds(40));
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against releases that are lost when the owner that recorded the program end fails.
TEST_F(ProgramEnd, IsContinuedByTheNextOwner)
{
    this->runProgram();
    for (const auto& [endpoint, key] : this->world.endpoints.held())
        this->world.endpoints.unreachable.insert(endpoint);
    const auto ended = this->end();
    this->world.advance(seconds(2));
    EXPECT_EQ(200, ended->status);
    this->world.kill(this->owner);
    this->world.endpoints.unreachable.clear();
    ASSERT_TRUE(this->world.settle());
    this->world.advance(seconds(10));
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against a program end that is reported as committed although its record is lost when the owner fails.
TEST_F(ProgramEnd, IsNotAnnouncedAsCommittedDuringAnOutage)
{
    this->runProgram();
    this->world.store.down = true;
    this->world.advance(seconds(2));
    const auto ended = this->end();
    this->world.advance(seconds(8));
    ASSERT_TRUE(ended->ended);
    EXPECT_EQ("pending", ended->commitState()) << ended->body;
    this->world.store.down = false;
    this->world.advance(seconds(10));
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against memory held for a program whose caller never returns: the wall time limit of its class must free it.
TEST_F(ProgramEnd, ComesWithTheWallTime)
{
    this->runProgram("short");
    this->world.advance(seconds(10));
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against releases that are retried without end for an engine that the platform has removed.
TEST_F(ProgramEnd, StopsForAnEndpointThatIsGone)
{
    this->runProgram();
    std::set<std::string> holders;
    for (const auto& [endpoint, key] : this->world.endpoints.held())
        holders.insert(endpoint);
    this->world.endpoints.unreachable = holders;
    auto list = this->world.documentVms();
    std::erase_if(list.vms, [&](const auto& vm) { return holders.contains(vm.address); });
    this->world.setVmList(list);
    static_cast<void>(this->end());
    this->world.advance(seconds(5));
    int releases = 0;
    this->world.onEffect = [&](std::size_t, const control::Effect& effect) {
        releases += std::holds_alternative<control::ReleaseCache>(effect) ? 1 : 0;
    };
    this->world.advance(seconds(60));
    EXPECT_EQ(0, releases);
    const auto shown = this->world.send(this->entry, plainRequest(customer, "GET", "/v1/programs/" + program.program));
    this->world.advance(seconds(1));
    EXPECT_NE(std::string::npos, shown->body.find("\"releases_open\":0")) << shown->body;
}

// Guards against memory that a turn allocates after the release because its generation continues after the program end.
TEST_F(ProgramEnd, StopsARunningTurn)
{
    this->runProgram();
    this->world.endpoints.enginePlans = { { EndpointFate::Late, seconds(2) } };
    const auto running = this->turn(3, "third");
    this->world.advance(milliseconds(500));
    ASSERT_EQ(4U, this->world.endpoints.engineRuns.size());
    const auto ended = this->end();
    this->world.advance(seconds(20));
    EXPECT_EQ(200, ended->status);
    EXPECT_TRUE(running->ended);
    EXPECT_NE("not run", running->ran()) << running->body;
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against a retry of a turn whose program ended between two attempts.
TEST_F(ProgramEnd, StopsATurnBetweenTwoAttempts)
{
    this->runProgram();
    this->world.endpoints.enginePlans = { { EndpointFate::CrashInStream } };
    const auto running = this->turn(3, "third");
    ASSERT_TRUE(this->world.runUntil([&] { return this->world.endpoints.engineRuns.size() == 4; }));
    static_cast<void>(this->end());
    this->world.advance(seconds(20));
    EXPECT_TRUE(running->ended);
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

// Guards against a turn that runs after the program ended while the turn waited for its predecessor.
TEST_F(ProgramEnd, RefusesAWaitingTurn)
{
    this->runProgram();
    const auto waiting = this->turn(4, "fourth");
    this->world.advance(milliseconds(500));
    static_cast<void>(this->end());
    this->world.advance(seconds(15));
    EXPECT_TRUE(waiting->ended);
    EXPECT_EQ("not run", waiting->ran());
    EXPECT_EQ(3U, this->world.endpoints.engineRuns.size());
}

// Guards against memory that stays allocated on an engine because the store was down when the engine was first used and
// the owner then failed.
TEST_F(ProgramEnd, EngineUsedDuringAnOutageIsReleased)
{
    const auto turn = [&](int number) {
        return this->world.send(this->entry,
            turnRequest(customer, "m" + std::to_string(number),
                { .program = program.program, .turn = number, .append = true }));
    };
    static_cast<void>(turn(1));
    this->world.advance(seconds(3));
    ASSERT_EQ(1U, this->world.endpoints.engineRuns.size());
    auto list = this->world.documentVms();
    for (auto& vm : list.vms) {
        if (vm.address == this->world.endpoints.engineRuns.front().endpoint)
            vm.state = vmlist::VmState::Leaving;
    }
    this->world.setVmList(list);
    this->world.store.down = true;
    this->world.advance(seconds(1));
    static_cast<void>(turn(2));
    this->world.advance(milliseconds(2500));
    ASSERT_EQ(2U, this->world.endpoints.engineRuns.size());
    this->world.kill(this->owner);
    this->world.store.down = false;
    ASSERT_TRUE(this->world.settle());
    this->world.advance(seconds(3));
    static_cast<void>(
        this->world.send(this->entry, plainRequest(customer, "POST", "/v1/programs/" + program.program + "/end")));
    this->world.advance(seconds(10));
    EXPECT_TRUE(this->world.endpoints.held().empty());
}

} // namespace lagoontiller::tests
