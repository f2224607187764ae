// Random interleavings of work and faults on three nodes. Guards against lost acknowledged records, decreasing epochs,
// repeated calls, false "not run" answers and overspent budgets.
#include "tests/support/StateWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lagoontiller::tests {
namespace {

struct Shape {
    std::size_t nodes;
    std::uint32_t partitions;
};

enum class Kind : int {
    Call,
    Turn,
    Spend,
    FinishCalls,
    LoseResults,
    AbandonCalls,
    Fault,
    StoreDown,
    StoreSlow,
    StoreNormal,
    Kill,
    Start,
    Pause,
    Resume,
    Suspect,
    HandOver,
    Wait,
    Last,
};

struct Action {
    Kind kind;
    std::uint32_t first;
    std::uint32_t second;
    std::uint32_t waitMs;
};

std::ostream& operator<<(std::ostream& out, const Action& action)
{
    return out << "{" << static_cast<int>(action.kind) << "," << action.first << "," << action.second << ","
               << action.waitMs << "}";
}

rc::Gen<Action> anyAction()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Kind::Last) + 8), rc::gen::inRange<std::uint32_t>(0, 12),
            rc::gen::inRange<std::uint32_t>(0, 12), rc::gen::inRange<std::uint32_t>(0, 800)),
        [](const std::tuple<int, std::uint32_t, std::uint32_t, std::uint32_t>& values) {
            auto [kind, first, second, wait] = values;
            // The extra values make work more frequent than faults.
            const auto chosen = kind < static_cast<int>(Kind::Last) ? kind : (kind - static_cast<int>(Kind::Last)) % 4;
            // Every third wait is long, so that detection, takeover and recovery happen between actions.
            return Action { static_cast<Kind>(chosen), first, second, wait % 3 == 0 ? wait * 4 : wait / 8 };
        });
}

core::ProgramKey programOf(std::uint32_t number)
{
    static const std::vector<std::string> names { "a", "east.b", "west.c", "d", "a~sub", "west.c~x~y" };
    return { "customer", names.at(number % names.size()) };
}

class Scenario {
public:
    Scenario(std::uint64_t seed, Shape shape)
        : world(seed, shape.nodes, shape.partitions)
        , nodeCount(shape.nodes)
    {
        this->world.advance(std::chrono::seconds(3));
    }

    void perform(const Action& action)
    {
        const auto program = programOf(action.first);
        const auto index = action.first % this->nodeCount;
        switch (action.kind) {
        case Kind::Call:
        case Kind::Turn:
        case Kind::Spend:
        case Kind::HandOver:
            for (auto* node : this->world.serving(this->world.partitions.partitionOf(program))) {
                this->work(*node, program, action);
            }
            break;
        case Kind::FinishCalls:
        case Kind::LoseResults:
        case Kind::AbandonCalls:
            this->finish(action.kind);
            break;
        case Kind::Fault:
            this->world.store.fates.push_back(static_cast<Fate>(1 + action.second % 3));
            break;
        case Kind::StoreDown:
            this->world.store.down = true;
            break;
        case Kind::StoreSlow:
            this->world.store.slow = true;
            break;
        case Kind::StoreNormal:
            this->world.store.down = false;
            this->world.store.slow = false;
            break;
        case Kind::Kill:
            this->world.kill(index);
            break;
        case Kind::Start:
            this->world.start(index);
            break;
        case Kind::Pause:
            this->world.pause(index);
            break;
        case Kind::Resume:
            this->world.resume(index);
            break;
        case Kind::Suspect:
            this->world.suspect(index, action.second % this->nodeCount);
            break;
        case Kind::Wait:
        case Kind::Last:
            break;
        }
        this->world.advance(std::chrono::milliseconds(action.waitMs));
    }

    void check()
    {
        const auto& observed = this->world.observed;
        RC_ASSERT(this->world.store.table.violations.empty());
        for (const auto& [key, count] : observed.sentByKey) {
            RC_ASSERT(count <= 1);
        }
        for (const auto& request : observed.refusedNotRun) {
            RC_ASSERT(!observed.sentByRequest.contains(request));
        }
        for (const auto& [root, tokens] : observed.spent) {
            RC_ASSERT(tokens <= StateNode::limits.tokens);
        }
    }

    void checkHistory()
    {
        RC_ASSERT(this->world.heal());
        this->check();
        for (const auto& [place, answer] : this->world.observed.turns) {
            const auto slash = place.first.find('/');
            const auto* state = this->world.find({ place.first.substr(0, slash), place.first.substr(slash + 1) });
            RC_ASSERT(state != nullptr);
            RC_ASSERT(state->turns.contains(place.second));
            RC_ASSERT(state->turns.at(place.second).answer == answer);
        }
        std::size_t found = 0;
        for (std::uint32_t number = 0; number < 6; ++number) {
            const auto* state = this->world.find(programOf(number));
            if (state == nullptr) {
                continue;
            }
            for (const auto& [key, result] : this->world.observed.results) {
                const auto call = state->calls.find(key);
                if (call != state->calls.end()) {
                    RC_ASSERT(call->second.body == result);
                    found += 1;
                }
            }
        }
        RC_ASSERT(found == this->world.observed.results.size());
    }

    StateWorld world;

private:
    // If two nodes consider themselves owner of the partition, both get the work and race.
    void work(StateNode& node, const core::ProgramKey& program, const Action& action)
    {
        this->counter += 1;
        const auto number = std::to_string(this->counter);
        if (action.kind == Kind::Call) {
            node.call(program, "key-" + program.program + std::to_string(action.second % 4), "request-" + number);
        } else if (action.kind == Kind::Turn) {
            node.turn(program, "answer-" + number);
        } else if (action.kind == Kind::Spend) {
            node.spend(program, 20 + action.second * 5);
        } else {
            node.handOver(
                this->world.partitions.partitionOf(program), "n" + std::to_string(action.second % this->nodeCount));
        }
    }

    void finish(Kind kind)
    {
        for (std::size_t index = 0; index < this->nodeCount; ++index) {
            auto* node = this->world.node(index);
            if (node == nullptr) {
                continue;
            }
            if (kind == Kind::AbandonCalls) {
                node->abandonCalls();
            } else {
                node->finishCalls(kind == Kind::LoseResults);
            }
        }
    }

    std::size_t nodeCount;
    int counter = 0;
};

class DurableState : public testing::TestWithParam<Shape> {
protected:
    static void count(StateWorld& world)
    {
        const auto& table = world.store.table;
        totals["cases"] += 1;
        totals["takeovers"] += table.takeovers;
        totals["deleted rows"] += table.deletedRows;
        totals["turns"] += world.observed.turns.size();
        totals["sent"] += world.observed.sentByKey.size();
        totals["results"] += world.observed.results.size();
        totals["refused"] += world.observed.refusedNotRun.size();
        totals["spends"] += world.observed.spends;
        for (const auto& [root, tokens] : world.observed.spent) {
            totals["budgets above 90%"] += tokens > StateNode::limits.tokens * 9 / 10 ? 1 : 0;
        }
    }

    // Without any event a run checks nothing: all cases together must include each kind of event.
    static void TearDownTestSuite()
    {
        for (const auto* name :
            { "takeovers", "deleted rows", "turns", "sent", "results", "refused", "spends", "budgets above 90%" }) {
            EXPECT_GT(totals[name], 0U) << name;
            std::cout << name << "=" << totals[name] << " ";
        }
        std::cout << "cases=" << totals["cases"] << "\n";
    }

    static inline std::map<std::string, std::uint64_t> totals;
};

TEST_P(DurableState, SurvivesRandomFaults)
{
    const bool passed = rc::check([shape = this->GetParam()] {
        const auto actions = *rc::gen::resize(150, rc::gen::container<std::vector<Action>>(anyAction()));
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            Scenario run(seed * 1000, shape);
            for (const auto& action : actions) {
                run.perform(action);
                run.check();
            }
            run.checkHistory();
            count(run.world);
        }
    });
    EXPECT_TRUE(passed);
}

INSTANTIATE_TEST_SUITE_P(Shapes, DurableState,
    testing::Values(Shape { 1, 1 }, Shape { 2, 1 }, Shape { 2, 3 }, Shape { 3, 4 }, Shape { 4, 8 }));

} // namespace
} // namespace lagoontiller::tests
