// Programs that begin while the store is away: who may grant them tokens, and that a program never gets more than its
// budget, also after the loss of holders or of all nodes in the middle of an outage.

#include "gateway/OutageBuckets.h"
#include "gateway/OutageTokens.h"
#include "support/PeerCluster.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using namespace std::chrono_literals;
using gateway::BudgetAnswer;
using gateway::outagePart;

constexpr std::uint64_t budget = 1'088;
constexpr std::uint64_t turnTokens = 136;
/// \brief Turns use a quarter of their maximum.
constexpr std::uint64_t usedTokens = turnTokens / 4;
constexpr core::Duration retention = 60s;

/// \brief Nodes read the rows every 5 s outside of tests.
constexpr gateway::OutageBucketOptions bucketOptions { .readInterval = 100ms };

core::BootTimePoint at(core::Duration sinceBoot)
{
    return core::BootTimePoint(sinceBoot);
}

/// \brief Nodes of one zone that have divided the buckets of program ids among them.
class OutageWorld {
public:
    explicit OutageWorld(gateway::OutageBucketOptions options = bucketOptions)
        : cluster({ "z", "z" }, options)
    {
        const auto haveHolders = [this] {
            return std::all_of(this->cluster.nodes.begin(), this->cluster.nodes.end(), [](const auto& node) {
                for (const auto* program : { "p", "new" }) {
                    if (node->buckets->holder(program).empty())
                        return false;
                }
                return true;
            });
        };
        (void)runUntil(this->cluster.context, haveHolders, std::chrono::seconds(15));
    }

    /// \brief Names the holder of all buckets.
    void setHolder(const std::string& holder)
    {
        gateway::wire::OutageBucketRecord record;
        record.set_holder(holder);
        for (std::size_t number = 0; number < gateway::OutageBuckets::count; ++number)
            this->cluster.store.put(
                { gateway::OutageBuckets::table, {}, std::to_string(number) }, record.SerializeAsString());
    }

    /// \brief Whether one of the nodes holds the program's bucket.
    [[nodiscard]] bool holds(const std::string& program) const
    {
        return std::any_of(this->cluster.nodes.begin(), this->cluster.nodes.end(),
            [&program](const auto& node) { return node->buckets->isHolder(program); });
    }

    void wait(std::chrono::milliseconds time)
    {
        (void)runUntil(
            this->cluster.context, [] { return false; }, time);
    }

    /// \brief Runs until the heartbeats of all nodes have reached the store again; false if one takes longer than its
    /// interval of 1.1 s at most.
    [[nodiscard]] bool waitForContact()
    {
        return runUntil(
            this->cluster.context,
            [this] {
                return std::none_of(this->cluster.nodes.begin(), this->cluster.nodes.end(),
                    [](const auto& node) { return node->storeHealth.unreachable(); });
            },
            1'300ms);
    }

    /// \brief Runs a turn at the node that uses `used` tokens; returns the answer to its reservation.
    BudgetAnswer runTurn(std::size_t node, const std::string& program, std::uint64_t used)
    {
        gateway::BudgetRequest request { program, budget, turnTokens, this->programRetention, this->longestTurn };
        request.mayRunInOutage = true;
        auto reserved = std::make_shared<std::optional<gateway::Reservation>>();
        auto& peers = *this->cluster.nodes[node]->peers;
        peers.reserve(request, core::monotonicNow(),
            [reserved](const gateway::Reservation& reservation) { *reserved = reservation; });
        (void)runUntil(this->cluster.context, [&reserved] { return reserved->has_value(); });
        if (!*reserved)
            return BudgetAnswer::Unavailable;
        if ((*reserved)->answer == BudgetAnswer::Granted) {
            this->handedOut += used;
            peers.settle(program, **reserved, used, core::monotonicNow());
            this->wait(10ms);
        }
        return (*reserved)->answer;
    }

    /// \brief Runs turns at both nodes in turn until `count` were granted or one is refused.
    int runTurns(const std::string& program, int count, std::uint64_t used)
    {
        int granted = 0;
        while (granted < count
            && this->runTurn(static_cast<std::size_t>(granted % 2), program, used) == BudgetAnswer::Granted)
            ++granted;
        return granted;
    }

    PeerCluster cluster;
    std::uint64_t handedOut = 0;
    core::Duration programRetention = retention;
    core::Duration longestTurn = 5s;
};

struct OutageCase {
    std::string name;
    /// \brief All nodes lose power in the middle of the outage.
    bool powerLoss = false;
    std::uint64_t used = 0;
};

void PrintTo(const OutageCase& each, std::ostream* stream)
{
    *stream << each.name;
}

class ProgramOfAnOutage : public testing::TestWithParam<OutageCase> { };

} // namespace

// Guards against a program that gets its outage part twice from one holder, or besides rows that own it.
TEST(OutageTokens, AreGrantedOnceForEachProgram)
{
    EXPECT_EQ(outagePart(405, 135), 0U) << "a small budget is not divided";
    // Turns of 290 tokens were refused for the retention of a budget of 500: neither part covered one.
    EXPECT_EQ(outagePart(500, 290), 0U);
    EXPECT_EQ(outagePart(700, 290), 0U) << "the part would not cover a turn";
    gateway::OutageTokens tokens;
    std::uint64_t handedOut = 0;
    while (tokens.reserve("p", budget, turnTokens, at(1s)) == BudgetAnswer::Granted) {
        tokens.settle("p", turnTokens, usedTokens, at(1s));
        handedOut += usedTokens;
    }
    EXPECT_GT(handedOut, turnTokens) << "the part has to last for several turns";
    EXPECT_LE(handedOut, outagePart(budget, turnTokens));
    EXPECT_FALSE(tokens.giveUp("p", false, at(1s)));
    EXPECT_TRUE(tokens.giveUp("q", false, at(1s)));
    EXPECT_EQ(tokens.reserve("q", budget, turnTokens, at(1s)), BudgetAnswer::Held);
    EXPECT_FALSE(tokens.giveUp("r", true, at(1s))) << "another holder may have granted it";
    EXPECT_FALSE(tokens.giveUp("r", false, at(90s))) << "the program did not end when the quarantine did";
    EXPECT_NE(tokens.reserve("r", budget, turnTokens, at(91s)), BudgetAnswer::Granted);
    // The memory outlives the retention of the budget.
    tokens.tick(at(1s + retention));
    EXPECT_NE(tokens.reserve("p", budget, turnTokens, at(1s + retention)), BudgetAnswer::Granted);
}

// Guards against programs that are refused through a whole outage although engines are idle, and against tokens beyond
// the budget after it.
TEST_P(ProgramOfAnOutage, RunsWithoutTheStoreAndKeepsItsBudget)
{
    const auto& each = GetParam();
    OutageWorld world;
    world.cluster.store.fault = StoreFault::Down;
    world.wait(100ms);
    const int inOutage = world.runTurns("new", 100, each.used);
    EXPECT_GE(inOutage, 2);
    // The rows still have most of the budget, so that it is not spent.
    EXPECT_EQ(world.runTurn(0, "new", each.used), BudgetAnswer::Held);
    EXPECT_LE(world.handedOut, outagePart(budget, turnTokens));
    if (each.powerLoss) {
        for (const auto& node : world.cluster.nodes)
            node->restart();
    }
    world.cluster.store.fault = StoreFault::None;
    ASSERT_TRUE(world.waitForContact());
    const int afterwards = world.runTurns("new", 100, each.used);
    EXPECT_GE(afterwards, 4);
    EXPECT_LE(world.handedOut, budget);
}

INSTANTIATE_TEST_SUITE_P(Cases, ProgramOfAnOutage,
    testing::Values(OutageCase { "UsualTurns", false, usedTokens }, OutageCase { "LongestTurns", false, turnTokens },
        OutageCase { "PowerLossUsualTurns", true, usedTokens },
        OutageCase { "PowerLossLongestTurns", true, turnTokens }),
    [](const auto& info) { return info.param.name; });

// Guards against a part of the budget that a program of calm times cannot use, also after its home was restarted.
TEST(OutageTokens, BelongToTheRowsOfAProgramThatBeganWithTheStore)
{
    for (const bool restarts : { false, true }) {
        OutageWorld world;
        EXPECT_EQ(world.runTurns("p", 3, turnTokens), 3);
        if (restarts)
            world.cluster.nodes[world.cluster.nodes[0]->peers->isHome("p", core::monotonicNow()) ? 0 : 1]->restart();
        world.wait(100ms);
        world.runTurns("p", 100, turnTokens);
        EXPECT_LE(world.handedOut, budget);
        // What a restarted home held ahead of its turns may be lost for some time.
        EXPECT_GE(world.handedOut, budget - (restarts ? 2 * turnTokens : 0));
        world.cluster.store.fault = StoreFault::Down;
        world.wait(100ms);
        EXPECT_NE(world.runTurn(0, "p", turnTokens), BudgetAnswer::Granted);
    }
}

// Guards against a program that gets its outage part from a holder that died and, as it goes on through the quarantine
// of the next one, from its rows besides.
TEST(OutageTokens, OfAnEarlierHolderAreNotGivenUpAfterTheQuarantine)
{
    OutageWorld world({ 50ms, 200ms, 500ms, 50ms });
    world.programRetention = 400ms;
    world.longestTurn = 200ms;
    // What the holder has granted is known to it alone.
    world.setHolder("dead:1");
    ASSERT_TRUE(runUntil(world.cluster.context, [&world] { return !world.holds("p"); }));
    ASSERT_TRUE(runUntil(world.cluster.context, [&world] { return world.holds("p"); }));
    // The quarantine takes 850 ms.
    const auto end = core::monotonicNow() + 1'500ms;
    while (core::monotonicNow() < end) {
        EXPECT_EQ(world.runTurn(0, "p", 1), BudgetAnswer::Granted);
        world.wait(200ms);
    }
    world.runTurns("p", 100, turnTokens);
    EXPECT_LE(world.handedOut, budget - outagePart(budget, turnTokens));
    EXPECT_GT(world.handedOut, budget - outagePart(budget, turnTokens) - 2 * turnTokens);
}

// Guards against a program that gets tokens of an outage part that its rows own, from a holder that was started after a
// planned stop and was not told of the program: its home knows better.
TEST(OutageTokens, OwnedByRowsAreNotGrantedByANewHolder)
{
    OutageWorld world;
    auto& nodes = world.cluster.nodes;
    const std::size_t holder = nodes[0]->buckets->isHolder("p") ? 0 : 1;
    const std::size_t home = 1 - holder;
    std::string program;
    for (int number = 0; program.empty() && number < 1'000; ++number) {
        const auto candidate = "p" + std::to_string(number);
        if (nodes[home]->peers->isHome(candidate, core::monotonicNow()) && nodes[holder]->buckets->isHolder(candidate))
            program = candidate;
    }
    ASSERT_FALSE(program.empty());
    EXPECT_EQ(world.runTurns(program, 6, turnTokens), 6);
    // The home does not read who the new holder is.
    nodes[home]->nodeStore.failure = gateway::StoreFailure::NotDone;
    nodes[holder]->peers->startDraining(gateway::StopSchedule(core::monotonicNow(), std::chrono::seconds(8)));
    nodes[holder]->restart();
    world.wait(1s);
    EXPECT_FALSE(nodes[holder]->buckets->mayGrant(program, retention, core::BootClock::now()));
    world.cluster.store.fault = StoreFault::Down;
    world.wait(100ms);
    int granted = 0;
    while (granted < 10 && world.runTurn(holder, program, turnTokens) == BudgetAnswer::Granted)
        ++granted;
    world.cluster.store.fault = StoreFault::None;
    nodes[home]->nodeStore.failure.reset();
    ASSERT_TRUE(world.waitForContact());
    world.runTurns(program, 100, turnTokens);
    EXPECT_LE(world.handedOut, budget + turnTokens);
    EXPECT_GE(world.handedOut, budget - turnTokens);
}

// Guards against a holder that goes on to grant although another node may have taken its bucket.
TEST(OutageBuckets, AreGrantedByTheirHolderOnlyWhileItHasContact)
{
    OutageWorld world;
    const auto holder = [&world] {
        std::size_t number = 0;
        while (number < world.cluster.nodes.size() && !world.cluster.nodes[number]->buckets->isHolder("p"))
            ++number;
        return number;
    };
    const auto first = holder();
    ASSERT_LT(first, world.cluster.nodes.size());
    const auto now = core::BootClock::now();
    EXPECT_TRUE(world.cluster.nodes[first]->buckets->mayGrant("p", retention, now));
    EXPECT_FALSE(world.cluster.nodes[first]->buckets->mayGrant("p", retention, now + bucketOptions.maxContactAge))
        << "another node may have taken the bucket meanwhile";
}

} // namespace lagoontiller::tests
