// Token reservations at the home node of a program across restarts, lost replies and lost settlements, and store calls
// that peers relay for a node whose own store calls fail.

#include "support/PeerCluster.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::BudgetAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t budget = peerBudget;
constexpr std::uint64_t turnTokens = peerTurnTokens;

gateway::wire::PeerRequest reserveMessage(const std::string& program, const std::string& reservation)
{
    gateway::wire::PeerRequest message;
    auto* const reserve = message.mutable_reserve();
    reserve->set_program(program);
    reserve->set_budget(budget);
    reserve->set_tokens(turnTokens);
    reserve->set_retention_ms(60'000);
    reserve->set_hold_ms(5'000);
    reserve->set_reservation(reservation);
    return message;
}

gateway::wire::PeerRequest settleMessage(const std::string& reservation, std::uint64_t used)
{
    gateway::wire::PeerRequest message;
    message.mutable_settle()->set_reservation(reservation);
    message.mutable_settle()->set_used(used);
    return message;
}

} // namespace

// Guards against an integer underflow in a budget share: a restarted home subtracts the settlement of a reservation
// that its new share never contained, and the program's row becomes invalid.
TEST(Peers, SettlementOfAReservationBeforeTheHomesRestartIsIgnored)
{
    PeerCluster cluster;
    const auto program = cluster.programWithHome(1);
    const auto first = cluster.reserve(0, program);
    ASSERT_TRUE(first.has_value());
    ASSERT_EQ(first->peer, cluster.nodes[1]->address());
    cluster.nodes[1]->restart();
    const auto second = cluster.reserve(0, program);
    ASSERT_TRUE(second.has_value());
    ASSERT_EQ(second->answer, BudgetAnswer::Granted);
    ASSERT_EQ(second->peer, cluster.nodes[1]->address());
    cluster.nodes[0]->peers->settle(program, *second, turnTokens, core::monotonicNow());
    cluster.nodes[0]->peers->settle(program, *first, 0, core::monotonicNow());
    (void)runUntil(
        cluster.context, [] { return false; }, milliseconds(50));
    cluster.nodes[1]->budgets->tick(core::monotonicNow() + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        cluster.context, [] { return false; }, milliseconds(50));
    // The share of the first incarnation remains; the second incarnation keeps the tokens that it granted.
    EXPECT_LE(cluster.reservedTokens(program), budget);
    EXPECT_GE(cluster.reservedTokens(program), 2 * turnTokens);
}

// Guards against tokens that stay reserved for the lifetime of the home process because the requesting node ended
// before it settled the reservation.
TEST(Peers, UnsettledReservationCountsAsUsedAfterItsHoldTime)
{
    PeerCluster cluster;
    const auto program = cluster.programWithHome(1);
    cluster.send(1, reserveMessage(program, "gone.1"));
    const auto now = core::monotonicNow();
    cluster.nodes[1]->peers->tick(now + seconds(8));
    cluster.nodes[1]->budgets->tick(now + seconds(10), [](const std::string&) { return false; });
    (void)runUntil(
        cluster.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(cluster.reservedTokens(program), turnTokens);
}

// Guards against tokens that are reserved twice after a late reply: the requesting node settles the reservation that it
// abandoned, and the settlement can arrive before the home grants it.
TEST(Peers, ReservationSettledBeforeItsGrantIsReturned)
{
    PeerCluster cluster;
    const auto program = cluster.programWithHome(1);
    // The home cannot reply while the store is overloaded; the reservation stays pending.
    cluster.store.fault = StoreFault::Overloaded;
    bool ended = false;
    const auto body = reserveMessage(program, "late.1").SerializeAsString();
    transport::ExchangeEvents events;
    events.head = [](transport::ResponseHead&&) {};
    events.body = [](std::string&&) {};
    events.ended = [&ended](transport::ExchangeEnd) { ended = true; };
    cluster.externalClients.send(cluster.nodes[1]->address(),
        "POST /peer HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, {},
        std::move(events));
    const auto writes = cluster.store.writes;
    (void)runUntil(cluster.context, [&] { return cluster.store.writes > writes; });
    cluster.send(1, settleMessage("late.1", 0));
    ASSERT_FALSE(ended);
    cluster.store.fault = StoreFault::None;
    (void)runUntil(cluster.context, [&ended] { return ended; });
    const auto now = core::monotonicNow();
    cluster.nodes[1]->budgets->tick(now + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        cluster.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(cluster.reservedTokens(program), 0U);
}

// Guards against a repeated settlement that is applied twice.
TEST(Peers, SettlementCountsOnce)
{
    PeerCluster cluster;
    const auto program = cluster.programWithHome(1);
    cluster.send(1, reserveMessage(program, "r.1"));
    cluster.send(1, reserveMessage(program, "r.2"));
    cluster.send(1, settleMessage("r.1", 30));
    cluster.send(1, settleMessage("r.1", 30));
    cluster.send(1, settleMessage("r.2", 50));
    cluster.nodes[1]->budgets->tick(core::monotonicNow() + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        cluster.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(cluster.reservedTokens(program), 80U);
}

/// \brief Failure of the store as one node sees it.
struct RejectionCase {
    std::string name;
    gateway::StoreFailure failure = gateway::StoreFailure::NotDone;
};

class RejectedByStore : public testing::TestWithParam<RejectionCase> { };

namespace {

struct RelayCase {
    std::string name;
    core::Duration grace;
    bool relayed = false;
};

class RelayThroughAStoppingPeer : public testing::TestWithParam<RelayCase> { };

} // namespace

// Guards against a relayed write that a peer takes although its process may end first (LOST): nobody knows then whether
// it was done. The refusal must not count as an outage of the store either.
TEST_P(RelayThroughAStoppingPeer, IsTakenOnlyIfItCanEnd)
{
    PeerCluster cluster;
    auto& node = *cluster.nodes[0];
    node.nodeStore.failure = gateway::StoreFailure::NotDone;
    const gateway::StopSchedule schedule(core::monotonicNow(), GetParam().grace);
    cluster.nodes[1]->peers->startDraining(schedule);
    const auto before = cluster.store.rows.size();
    std::optional<gateway::StoreResult<gateway::TransactionResult>> result;
    gateway::RowTransaction transaction;
    transaction.puts.push_back({ { "t", "", "k" }, "v", 0, false });
    node.store.transact(std::move(transaction), seconds(1), [&result](auto answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil(cluster.context, [&result] { return result.has_value(); }));
    EXPECT_EQ(result->has_value(), GetParam().relayed);
    EXPECT_EQ(cluster.store.rows.size(), before + (GetParam().relayed ? 1 : 0));
    if (!GetParam().relayed) {
        EXPECT_EQ(result->error(), gateway::StoreFailure::NotDone);
    }
    EXPECT_FALSE(node.storeHealth.isOutageConfirmed(core::monotonicNow()));
}

INSTANTIATE_TEST_SUITE_P(Cases, RelayThroughAStoppingPeer,
    testing::Values(RelayCase { "InTime", seconds(8), true }, RelayCase { "TooLate", milliseconds(500), false }),
    [](const auto& info) { return info.param.name; });

// Guards against programs and conversations that make no progress at a node whose store calls fail while the store
// serves other nodes.
TEST_P(RejectedByStore, NodeReservesAndKeepsTurnsThroughAPeer)
{
    PeerCluster cluster;
    auto& node = *cluster.nodes[0];
    node.nodeStore.failure = GetParam().failure;
    const auto program = cluster.programWithHome(0);
    const auto reservation = cluster.reserve(0, program);
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
    EXPECT_GE(cluster.reservedTokens(program), turnTokens);
    std::optional<bool> durable;
    const auto turn = std::make_shared<const gateway::Turn>(gateway::Turn { "t", {}, "in", "out", 0 });
    node.turnStore.commit(turn, seconds(60), [&durable](bool written) { durable = written; });
    (void)runUntil(cluster.context, [&durable] { return durable.has_value(); });
    EXPECT_TRUE(durable.value_or(false));
    std::optional<gateway::Chain> chain;
    cluster.nodes[1]->turnStore.load("t", [&chain](tl::expected<gateway::Chain, gateway::HistoryFailure> loaded) {
        chain = loaded.value_or(gateway::Chain());
    });
    (void)runUntil(cluster.context, [&chain] { return chain.has_value(); });
    ASSERT_EQ(chain->size(), 1U);
    EXPECT_EQ(chain->front()->input, "in");
}

INSTANTIATE_TEST_SUITE_P(Failures, RejectedByStore,
    testing::Values(RejectionCase { "Busy", gateway::StoreFailure::NotDone },
        RejectionCase { "Silent", gateway::StoreFailure::Unknown }),
    [](const auto& info) { return info.param.name; });

// Guards against a budget row that is written twice because a peer repeats a store call whose outcome is unknown.
TEST(Peers, CallWithoutAnswerIsNotRepeatedThroughAPeer)
{
    PeerCluster cluster;
    auto& node = *cluster.nodes[0];
    node.nodeStore.failure = gateway::StoreFailure::Unknown;
    const gateway::RowKey key { "t", "", "k" };
    std::optional<gateway::StoreResult<gateway::TransactionResult>> result;
    node.store.transact({ {}, { { key, "v", 0, false } }, {} }, seconds(1),
        [&result](gateway::StoreResult<gateway::TransactionResult> outcome) { result = std::move(outcome); });
    (void)runUntil(cluster.context, [&result] { return result.has_value(); });
    ASSERT_FALSE(result->has_value());
    EXPECT_EQ(result->error(), gateway::StoreFailure::Unknown);
    EXPECT_EQ(cluster.store.find(key), nullptr);
}

// Guards against store calls that are relayed in a loop while no node can reach the store.
TEST(Peers, CallFailsImmediatelyWhenNoPeerReachesTheStore)
{
    PeerCluster cluster;
    cluster.store.fault = StoreFault::Down;
    const auto program = cluster.programWithHome(0);
    const auto start = std::chrono::steady_clock::now();
    const auto first = cluster.reserve(0, program);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->answer, BudgetAnswer::Unavailable);
    const auto second = cluster.reserve(0, program);
    EXPECT_EQ(second->answer, BudgetAnswer::Unavailable);
    EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(200));
}

// Guards against a home that is treated as failed while it waits for an overloaded store: its programs then move to
// other nodes, whose new shares increase the load of the store further.
TEST(Peers, HomeWaitingForTheStoreIsRetriedAndNotSuspected)
{
    PeerCluster cluster;
    const auto program = cluster.programWithHome(1);
    cluster.nodes[1]->nodeStore.failure = gateway::StoreFailure::Overloaded;
    asio::steady_timer end(cluster.context, milliseconds(350));
    end.async_wait([&cluster](asio::error_code) { cluster.nodes[1]->nodeStore.failure.reset(); });
    const auto reservation = cluster.reserve(0, program);
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
    EXPECT_EQ(reservation->peer, cluster.nodes[1]->address());
    EXPECT_FALSE(cluster.nodes[0]->peerClient.isSuspected(cluster.nodes[1]->address(), core::monotonicNow()));
    // The tokens of one turn and one advance reservation.
    EXPECT_LE(cluster.reservedTokens(program), 2 * turnTokens);
}

// Guards against a zone with a single node that makes no progress when the store calls of that node fail.
TEST(Peers, OnlyNodeOfAZoneReachesTheStoreThroughAnotherZone)
{
    PeerCluster cluster({ "y", "z" });
    cluster.nodes[1]->nodeStore.failure = gateway::StoreFailure::NotDone;
    const auto reservation = cluster.reserve(1, "p");
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

// Guards against callers that wait a second or more during an outage without replies: whenever the interval between
// peer queries ends, the calls of that moment go to the store and block until their time-out.
TEST(Peers, RefusesImmediatelyDuringAnOutageWithoutReplies)
{
    PeerCluster cluster;
    for (auto& node : cluster.nodes)
        node->nodeStore.silent = true;
    (void)cluster.reserve(0, cluster.programWithHome(0));
    (void)runUntil(cluster.context,
        [&cluster] { return cluster.nodes[0]->storeHealth.outageDuration(core::monotonicNow()) > milliseconds(600); });
    const auto program = cluster.programWithHome(0);
    core::Duration longest {};
    for (int call = 0; call < 40; ++call) {
        const auto start = core::monotonicNow();
        const auto reservation = cluster.reserve(0, program);
        ASSERT_TRUE(reservation.has_value());
        EXPECT_EQ(reservation->answer, BudgetAnswer::Unavailable);
        longest = std::max(longest, core::monotonicNow() - start);
        (void)runUntil(
            cluster.context, [] { return false; }, milliseconds(30));
    }
    EXPECT_LT(longest, milliseconds(150));
}

// Guards against programs that are refused after the store recovered. A store that rejects calls immediately, instead
// of leaving them without a reply, can be tried for each call.
TEST(Peers, TriesAStoreThatRejectsImmediatelyForEachCall)
{
    PeerCluster cluster;
    for (auto& node : cluster.nodes)
        node->nodeStore.failure = gateway::StoreFailure::NotDone;
    (void)cluster.reserve(0, cluster.programWithHome(0));
    (void)runUntil(cluster.context,
        [&cluster] { return cluster.nodes[0]->storeHealth.outageDuration(core::monotonicNow()) > milliseconds(600); });
    for (auto& node : cluster.nodes)
        node->nodeStore.failure.reset();
    const auto reservation = cluster.reserve(0, cluster.programWithHome(0));
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

// Guards against a node that refuses new programs although a peer can reach the store again: without calls, nothing
// queries that peer.
TEST(Peers, DetectsWithoutCallsThatAPeerReachesTheStoreAgain)
{
    PeerCluster cluster;
    for (auto& node : cluster.nodes)
        node->nodeStore.failure = gateway::StoreFailure::NotDone;
    (void)cluster.reserve(0, cluster.programWithHome(0));
    EXPECT_GT(cluster.nodes[0]->storeHealth.outageDuration(core::monotonicNow() + seconds(1)), core::Duration::zero());
    cluster.nodes[1]->nodeStore.failure.reset();
    (void)runUntil(cluster.context, [&cluster] {
        return cluster.nodes[0]->storeHealth.outageDuration(core::monotonicNow() + seconds(1))
            == core::Duration::zero();
    });
    const auto reservation = cluster.reserve(0, cluster.programWithHome(0));
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

// Guards against a program that can't use its budget at the node to which its callers have moved, because its first
// node holds tokens and learns of no other share.
TEST(Peers, ANodeReturnsWhatAnotherOneNeeds)
{
    PeerCluster cluster;
    const auto runTurn = [&cluster](std::size_t node) {
        auto& budgets = *cluster.nodes[node]->budgets;
        auto answer = std::make_shared<std::optional<BudgetAnswer>>();
        budgets.reserve({ "moved", budget, turnTokens, seconds(60), seconds(5) }, core::monotonicNow(),
            [answer](BudgetAnswer granted) { *answer = granted; });
        (void)runUntil(cluster.context, [&answer] { return answer->has_value(); });
        if (*answer == BudgetAnswer::Granted)
            budgets.settle("moved", turnTokens, turnTokens, core::monotonicNow());
        return *answer;
    };
    ASSERT_EQ(runTurn(1), BudgetAnswer::Granted);
    std::uint64_t used = turnTokens;
    while (runTurn(0) == BudgetAnswer::Granted)
        used += turnTokens;
    EXPECT_EQ(used, budget);
}

// Guards against nodes that place short prompts behind a long one that another node has sent.
TEST(Peers, NodesOfTheZoneLearnOfALongPrompt)
{
    PeerCluster cluster({ "z", "z", "z" });
    std::vector<gateway::LongPromptNotice> received;
    for (const auto& node : cluster.nodes)
        node->peers->setLongPromptHandler(
            [&received](const gateway::LongPromptNotice& notice) { received.push_back(notice); });
    const gateway::LongPromptNotice notice { "e", 17, 10'000 };
    cluster.nodes[0]->peers->announceLongPrompt(notice, core::monotonicNow());
    ASSERT_TRUE(runUntil(cluster.context, [&received] { return received.size() >= 2; }));
    EXPECT_EQ(received, std::vector(2, notice));
}

} // namespace lagoontiller::tests
