#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string customer = "workshop";

struct Caller {
    std::string program;
    int turn = 0;
    std::string message {};
    Answer answer {};
};

class Drain : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
    }

    /// \brief Sends the next turn of each program whose last one is answered, and checks that one.
    void sendNextTurns(std::size_t entryNode)
    {
        for (auto& caller : this->callers) {
            if (caller.answer && !caller.answer->ended)
                continue;
            if (caller.answer)
                this->checkAnswer(caller);
            caller.turn += 1;
            caller.message = caller.program + "-" + std::to_string(caller.turn);
            caller.answer = this->world.send(entryNode,
                turnRequest(customer, caller.message,
                    { .program = caller.program, .turn = caller.turn, .append = true }, caller.turn % 2 == 0));
        }
    }

    void checkAnswer(const Caller& caller)
    {
        EXPECT_TRUE(caller.answer->complete) << caller.message;
        EXPECT_EQ(200, caller.answer->status) << caller.message << ' ' << caller.answer->body;
        EXPECT_EQ(FakeEndpoints::textOf(caller.message), caller.answer->text()) << caller.answer->body;
    }

    ControlWorld world;
    std::vector<Caller> callers;
};

vmlist::VmList withLeaving(vmlist::VmList list, const std::string& address)
{
    for (auto& vm : list.vms) {
        if (vm.address == address)
            vm.state = vmlist::VmState::Leaving;
    }
    return list;
}

} // namespace

// Guards against a drain that interrupts calls, keeps partitions or never finishes.
TEST_F(Drain, UnderLoadHandsOverWithoutInterruptingCalls)
{
    for (int index = 0; index < 12; ++index)
        this->callers.push_back({ (index % 2 == 0 ? "east.p" : "west.p") + std::to_string(index) });
    const std::size_t leaving = this->world.ownerOf({ customer, "east.p0" });
    const auto entry = (leaving + 1) % this->world.size();
    for (int index = 0; index < 300; ++index) {
        this->sendNextTurns(entry);
        this->world.advance(milliseconds(10));
    }
    this->world.drain(leaving);
    ASSERT_TRUE(this->world.runUntil(
        [&] {
            this->sendNextTurns(entry);
            return this->world.drained(leaving);
        },
        seconds(60)));
    EXPECT_TRUE(this->world.controller(leaving).state().durable.servedPartitions().empty());
    this->world.kill(leaving);
    for (int index = 0; index < 600; ++index) {
        this->sendNextTurns(entry);
        this->world.advance(milliseconds(10));
    }
    EXPECT_NE(leaving, this->world.ownerOf({ customer, "east.p0" }));
    for (const auto& caller : this->callers)
        EXPECT_GT(caller.turn, 5) << caller.program;
}

// Guards against a drain that interrupts a long answer.
TEST_F(Drain, WaitsForARunningTurn)
{
    const std::size_t leaving = this->world.ownerOf({ customer, "east.p0" });
    this->world.endpoints.enginePlans = { { EndpointFate::Late, seconds(3) } };
    const auto answer
        = this->world.send(leaving, turnRequest(customer, "long", { .program = "east.p0", .turn = 1 }, true));
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    this->world.drain(leaving);
    this->world.advance(seconds(2));
    EXPECT_FALSE(this->world.drained(leaving));
    ASSERT_TRUE(this->world.runUntil([&] { return this->world.drained(leaving); }));
    EXPECT_TRUE(answer->complete);
    EXPECT_EQ(FakeEndpoints::textOf("long"), answer->text());
    EXPECT_EQ("committed", answer->commitState());
}

// Guards against a leaving node that accepts new programs.
TEST_F(Drain, RefusesNewProgramsAtTheLeavingNode)
{
    this->world.endpoints.enginePlans = { { EndpointFate::Late, seconds(3) } };
    const auto running = this->world.send(0, turnRequest(customer, "long"));
    this->world.advance(milliseconds(500));
    this->world.drain(0);
    this->world.advance(milliseconds(100));
    const auto refused = this->world.send(0, turnRequest(customer, "new"));
    this->world.advance(seconds(5));
    EXPECT_EQ("node_draining", refused->code()) << refused->body;
    EXPECT_EQ("not run", refused->ran());
    EXPECT_EQ(200, running->status);
}

// Guards against work for an endpoint that the VM list shows as leaving, and against the loss of what runs there.
TEST_F(Drain, LeavingEndpointFinishesItsWorkAndGetsNoMore)
{
    this->world.endpoints.enginePlans = { { EndpointFate::Late, seconds(4) } };
    const auto running = this->world.send(0, turnRequest(customer, "first", { .program = "east.p0", .turn = 1 }));
    ASSERT_TRUE(this->world.runUntil([&] { return !this->world.endpoints.engineRuns.empty(); }));
    const auto leaving = this->world.endpoints.engineRuns.front().endpoint;
    this->world.setVmList(withLeaving(this->world.documentVms(), leaving));
    const auto shown = this->world.now;
    for (int index = 0; index < 30; ++index) {
        static_cast<void>(this->world.send(
            0, turnRequest(customer, "m" + std::to_string(index), { .program = "east.q" + std::to_string(index) })));
        this->world.advance(milliseconds(300));
    }
    this->world.advance(seconds(5));
    EXPECT_EQ(FakeEndpoints::textOf("first"), running->text()) << running->body;
    EXPECT_EQ(31U, this->world.endpoints.engineRuns.size());
    for (const auto& run : this->world.endpoints.engineRuns)
        EXPECT_FALSE(run.endpoint == leaving && run.startedAt > shown + seconds(3)) << run.lastMessage;
}

// Guards against a call whose start records take long: its endpoint was chosen before it began to leave.
TEST_F(Drain, LeavingEndpointGetsNoCallThatWaitedForTheStore)
{
    const core::ProgramKey program { customer, "east.p0" };
    const auto owner = this->world.ownerOf(program);
    this->world.store.slow = true;
    const auto answer = this->world.send(owner, turnRequest(customer, "first", { .program = program.program }));
    std::string chosen;
    const auto findChosen = [&] {
        static_cast<void>(this->world.controller(owner).state().calls.select([&](const control::Call& call) {
            if (call.phase == control::CallPhase::AwaitsRecords)
                chosen = call.destination.address;
            return false;
        }));
        return !chosen.empty();
    };
    ASSERT_TRUE(this->world.runUntil(findChosen));
    this->world.setVmList(withLeaving(this->world.documentVms(), chosen));
    ASSERT_TRUE(this->world.runUntil([&] { return answer->ended; }));
    EXPECT_EQ(200, answer->status) << answer->body;
    ASSERT_EQ(1U, this->world.endpoints.engineRuns.size());
    EXPECT_NE(chosen, this->world.endpoints.engineRuns.front().endpoint);
}

} // namespace lagoontiller::tests
