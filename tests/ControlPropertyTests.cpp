#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t programCount = 4;
constexpr std::size_t nodeCount = 3;
constexpr int smallTokens = 4000;

enum class Action : int {
    Turn,
    ReorderedTurns,
    Charge,
    ChargeTwice,
    End,
    Wait,
    Kill,
    Restart,
    Pause,
    Resume,
    StoreDown,
    StoreSlow,
    StoreUp,
    StoreFault,
    EngineFault,
    ServiceFault,
    EngineUnreachable,
    EndpointLeaves,
    Drain,
    Count,
};

struct Step {
    Action action = Action::Wait;
    std::size_t selector = 0;
    std::size_t node = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << static_cast<int>(step.action) << ':' << step.selector << '@' << step.node;
}

struct SentRequest {
    std::size_t program = 0;
    int turn = 0;
    std::string message;
    std::string key;
    Answer answer;
};

/// \brief One run of random steps with the invariants that hold at any time and after all faults have ended.
class Run {
public:
    explicit Run(std::uint64_t seed)
        : world(nodeCount, seed)
    {
        RC_ASSERT(this->world.settle());
        this->world.onEffect = [this](std::size_t, const control::Effect& effect) {
            if (const auto* call = std::get_if<control::CallService>(&effect))
                this->checkNotLeaving(call->request.endpoint);
            if (const auto* generate = std::get_if<control::StartGeneration>(&effect))
                this->checkNotLeaving(generate->request.endpoint);
        };
    }

    void apply(const Step& step)
    {
        const auto node = step.node % nodeCount;
        const auto program = step.selector % programCount;
        switch (step.action) {
        case Action::Turn:
            this->sendTurn(node, program, this->lastTurn[program] + 1);
            this->lastTurn[program] += 1;
            break;
        case Action::ReorderedTurns:
            this->sendTurn(node, program, this->lastTurn[program] + 2);
            this->sendTurn((node + 1) % nodeCount, program, this->lastTurn[program] + 1);
            this->lastTurn[program] += 2;
            break;
        case Action::Charge:
            this->sendCharge(node, program, "k" + std::to_string(this->lastKey++));
            break;
        case Action::ChargeTwice:
            this->sendCharge(node, program, "k" + std::to_string(this->lastKey));
            this->sendCharge((node + 1) % nodeCount, program, "k" + std::to_string(this->lastKey++));
            break;
        case Action::End:
            this->sendEnd(node, program);
            break;
        case Action::Wait:
            this->world.advance(milliseconds(200 * (step.selector + 1)));
            break;
        default:
            this->injectFault(step, node);
            break;
        }
        this->world.advance(milliseconds(10 * (1 + step.selector % 12)));
    }

    /// \brief Ends all faults and checks what must hold then.
    void finish()
    {
        this->endFaults();
        RC_ASSERT(this->world.settle(seconds(120)));
        // Calls forwarded to a node whose restart was not detected end at their idle timeout.
        this->world.advance(ControlWorld::idleLimit + seconds(30));
        for (const auto& sent : this->sentRequests)
            RC_ASSERT(sent.answer->ended);
        this->checkAnswers();
        this->checkRuns();
        this->checkHistory();
        this->checkBudgets();
        this->checkCacheReleased();
        RC_ASSERT(this->violations.empty());
        RC_ASSERT(this->world.store.table.violations.empty());
    }

private:
    [[nodiscard]] static std::string programId(std::size_t program)
    {
        return (program % 2 == 0 ? "east.p" : "west.p") + std::to_string(program);
    }
    /// \brief Two programs have equal ids and different customers.
    [[nodiscard]] static std::string customerOf(std::size_t program) { return program < 2 ? "workshop" : "office"; }
    [[nodiscard]] static std::string idOf(std::size_t program) { return programId(program % 2); }

    void sendTurn(std::size_t node, std::size_t program, int number)
    {
        const auto message = "m" + std::to_string(program) + "-" + std::to_string(number);
        this->sentRequests.push_back({ program, number, message, "",
            this->world.send(node,
                turnRequest(customerOf(program), message,
                    { .program = idOf(program), .turn = number, .programClass = "small", .append = true },
                    number % 2 == 0)) });
    }

    void sendCharge(std::size_t node, std::size_t program, const std::string& key)
    {
        this->sentRequests.push_back({ program, 0, "", key,
            this->world.send(node,
                serviceRequest(customerOf(program), "/charges/take", "{}",
                    { .program = idOf(program), .key = key, .programClass = "small" })) });
    }

    void sendEnd(std::size_t node, std::size_t program)
    {
        static_cast<void>(this->world.send(
            node, plainRequest(customerOf(program), "POST", "/v1/programs/" + idOf(program) + "/end")));
    }

    void injectFault(const Step& step, std::size_t node)
    {
        const auto selectPlan = [&](std::initializer_list<EndpointFate> fates) {
            return EndpointPlan { *(fates.begin() + static_cast<std::ptrdiff_t>(step.selector % fates.size())) };
        };
        switch (step.action) {
        case Action::Kill:
            this->world.kill(node);
            if (this->draining == node)
                this->draining.reset();
            break;
        case Action::Restart:
            this->world.start(node);
            break;
        case Action::Pause:
            this->world.pause(node);
            break;
        case Action::Resume:
            this->world.resume(node);
            break;
        case Action::StoreDown:
            this->world.store.down = true;
            break;
        case Action::StoreSlow:
            this->world.store.slow = true;
            break;
        case Action::StoreUp:
            this->world.store.down = this->world.store.slow = false;
            break;
        case Action::StoreFault:
            this->world.store.fates.push_back(static_cast<Fate>(1 + step.selector % 3));
            break;
        case Action::EngineFault:
            this->world.endpoints.enginePlans.push_back(selectPlan({ EndpointFate::CrashInStream,
                EndpointFate::SilentInStream, EndpointFate::CrashAfterRun, EndpointFate::Silent,
                EndpointFate::Refuse429, EndpointFate::NotConnected, EndpointFate::Refuse503 }));
            break;
        case Action::ServiceFault:
            this->world.endpoints.servicePlans.push_back(selectPlan({ EndpointFate::CrashAfterRun,
                EndpointFate::CrashBeforeRun, EndpointFate::Silent, EndpointFate::NotConnected }));
            break;
        case Action::EngineUnreachable:
            this->world.endpoints.unreachable.insert("127.0.0.1:" + std::to_string(9101 + step.selector % 4));
            break;
        case Action::EndpointLeaves:
            this->markLeaving("127.0.0.1:" + std::to_string(9101 + step.selector % 4));
            break;
        case Action::Drain:
            this->drain(node);
            break;
        default:
            break;
        }
    }

    void markLeaving(const std::string& address)
    {
        if (!this->leaving.empty())
            return;
        this->leaving = address;
        this->leavingSince = this->world.now;
        auto list = this->world.documentVms();
        for (auto& vm : list.vms) {
            if (vm.address == address)
                vm.state = vmlist::VmState::Leaving;
        }
        this->world.setVmList(list);
    }

    void drain(std::size_t node)
    {
        if (this->world.alive(node) && !this->draining) {
            this->draining = node;
            this->world.drain(node);
        }
    }

    void checkNotLeaving(const std::string& endpoint)
    {
        if (endpoint == this->leaving && this->world.now - this->leavingSince > seconds(3))
            this->violations.push_back("work for leaving endpoint " + endpoint);
    }

    void endFaults()
    {
        this->world.store.down = this->world.store.slow = false;
        this->world.store.fates.clear();
        this->world.endpoints.enginePlans.clear();
        this->world.endpoints.servicePlans.clear();
        this->world.endpoints.unreachable.clear();
        for (std::size_t node = 0; node < nodeCount; ++node) {
            this->world.resume(node);
            if (this->draining != node)
                this->world.start(node);
        }
        // A node that left is replaced.
        this->world.advance(seconds(20));
        if (this->draining) {
            if (this->world.alive(*this->draining))
                RC_ASSERT(this->world.runUntil(
                    [&] { return this->world.drained(*this->draining); }, ControlWorld::idleLimit + seconds(60)));
            this->world.kill(*this->draining);
            this->world.advance(seconds(5));
            this->world.start(*this->draining);
        }
    }

    void checkAnswers()
    {
        for (const auto& sent : this->sentRequests) {
            const auto& answer = *sent.answer;
            if (!answer.complete || answer.status != 200 || sent.turn == 0)
                continue;
            // The answer is complete and contains no text of another program.
            RC_ASSERT(answer.text() == FakeEndpoints::textOf(sent.message));
            RC_ASSERT(!answer.commitState().empty());
        }
    }

    void checkRuns()
    {
        std::map<std::string, bool> ran;
        std::map<std::string, int> lastOf;
        for (const auto& run : this->world.endpoints.engineRuns) {
            ran[run.lastMessage] = true;
            const int number = std::stoi(run.lastMessage.substr(run.lastMessage.find('-') + 1));
            auto& last = lastOf[run.program];
            // A turn may run again after a fault, also an earlier one whose record was lost; none may be left out.
            RC_ASSERT(number <= last + 1);
            last = std::max(last, number);
        }
        for (const auto& sent : this->sentRequests) {
            const bool didRun
                = sent.key.empty() ? ran.contains(sent.message) : this->world.endpoints.runsOf(sent.key) > 0;
            if (!sent.key.empty())
                RC_ASSERT(this->world.endpoints.runsOf(sent.key) <= 1);
            const bool hasDuplicate
                = std::any_of(this->sentRequests.begin(), this->sentRequests.end(), [&](const SentRequest& other) {
                      return &other != &sent && other.message == sent.message && other.key == sent.key;
                  });
            if (sent.answer->ran() == "not run" && !hasDuplicate)
                RC_ASSERT(!didRun);
        }
    }

    void checkHistory()
    {
        for (const auto& sent : this->sentRequests) {
            if (sent.turn == 0 || !sent.answer->complete || sent.answer->commitState() != "committed")
                continue;
            const auto stored = this->query(sent.program, "/turns/" + std::to_string(sent.turn));
            RC_ASSERT(stored->status == 200);
            RC_ASSERT(stored->text() == sent.answer->text());
        }
    }

    void checkBudgets()
    {
        std::map<std::string, std::set<std::string>> turns;
        std::map<std::string, std::size_t> tokens;
        for (const auto& run : this->world.endpoints.engineRuns) {
            turns[run.program].insert(run.lastMessage);
            tokens[run.program] += run.body.dump().size() / 4;
        }
        for (const auto& [program, messages] : turns) {
            RC_ASSERT(messages.size() <= 3U);
            RC_ASSERT(tokens[program] <= static_cast<std::size_t>(smallTokens));
        }
    }

    void checkCacheReleased()
    {
        for (std::size_t program = 0; program < programCount; ++program)
            this->sendEnd(this->firstAliveNode(), program);
        this->world.advance(seconds(60));
        std::set<std::string> ended;
        for (std::size_t program = 0; program < programCount; ++program) {
            const auto shown = this->query(program, "");
            if (shown->body.find("\"ended\":true") != std::string::npos)
                ended.insert(customerOf(program) + "/" + idOf(program));
        }
        for (const auto& [endpoint, program] : this->world.endpoints.held())
            RC_ASSERT(!ended.contains(program));
    }

    [[nodiscard]] std::size_t firstAliveNode() const
    {
        std::size_t node = 0;
        while (!this->world.alive(node))
            ++node;
        return node;
    }

    Answer query(std::size_t program, const std::string& path)
    {
        const auto answer = this->world.send(
            this->firstAliveNode(), plainRequest(customerOf(program), "GET", "/v1/programs/" + idOf(program) + path));
        RC_ASSERT(this->world.runUntil([&] { return answer->ended; }, seconds(20)));
        return answer;
    }

    ControlWorld world;
    std::vector<SentRequest> sentRequests;
    std::map<std::size_t, int> lastTurn;
    int lastKey = 0;
    std::string leaving;
    core::TimePoint leavingSince;
    std::optional<std::size_t> draining;
    std::vector<std::string> violations;
};

rc::Gen<Step> anyStep(const std::vector<Action>& actions)
{
    return rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::elementOf(actions)),
        rc::gen::set(&Step::selector, rc::gen::inRange<std::size_t>(0, 12)),
        rc::gen::set(&Step::node, rc::gen::inRange<std::size_t>(0, nodeCount)));
}

void runSteps(const std::vector<Action>& faults)
{
    // Work steps are as frequent as all fault steps together.
    std::vector<Action> actions = faults;
    for (std::size_t index = 0; index < std::max<std::size_t>(1, faults.size() / 4); ++index)
        actions.insert(actions.end(),
            { Action::Turn, Action::ReorderedTurns, Action::Charge, Action::ChargeTwice, Action::End, Action::Wait });
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(actions));
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    Run run(seed);
    for (const auto& step : steps)
        run.apply(step);
    run.finish();
}

} // namespace

// Guards against violations of the invariants without any fault.
RC_GTEST_PROP(ControlProperty, HoldsWithoutFaults, ())
{
    runSteps({});
}

// Guards against violations when the store is down, slow or loses replies.
RC_GTEST_PROP(ControlProperty, HoldsWithStoreFaults, ())
{
    runSteps({ Action::StoreDown, Action::StoreSlow, Action::StoreUp, Action::StoreFault });
}

// Guards against violations when nodes crash, pause, restart or leave.
RC_GTEST_PROP(ControlProperty, HoldsWithNodeFaults, ())
{
    runSteps({ Action::Kill, Action::Restart, Action::Pause, Action::Resume, Action::Drain });
}

// Guards against violations when endpoints crash, stop responding, refuse calls or leave.
RC_GTEST_PROP(ControlProperty, HoldsWithEndpointFaults, ())
{
    runSteps({ Action::EngineFault, Action::ServiceFault, Action::EngineUnreachable, Action::EndpointLeaves });
}

// Guards against violations when faults of several kinds are combined.
RC_GTEST_PROP(ControlProperty, HoldsWithAllFaultsTogether, ())
{
    runSteps({ Action::StoreDown, Action::StoreSlow, Action::StoreUp, Action::StoreFault, Action::Kill, Action::Restart,
        Action::Pause, Action::Resume, Action::EngineFault, Action::ServiceFault, Action::EngineUnreachable,
        Action::EndpointLeaves, Action::Drain });
}

} // namespace lagoontiller::tests
