// Token reservations at the home node of a program across restarts, lost replies and lost settlements, and store calls
// that peers relay for a node whose own store calls fail.

#include "gateway/PeerService.h"
#include "gateway/RelayedStore.h"
#include "proto/gateway.pb.h"
#include "support/FakeRowStore.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using gateway::BudgetAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t budget = 1'000;
constexpr std::uint64_t turnTokens = 100;

/// \brief Row store of one node that can reject or time out all calls of this node.
class NodeStore : public gateway::RowStore {
public:
    NodeStore(asio::io_context& context, gateway::RowStore& store)
        : context(context)
        , store(store)
    {
    }

    void transact(gateway::RowTransaction transaction, core::Duration timeout,
        std::function<void(gateway::StoreResult<gateway::TransactionResult>)> done) override
    {
        if (!this->rejectCall(done, timeout))
            this->store.transact(std::move(transaction), timeout, std::move(done));
    }
    void read(gateway::RowRange range, core::Duration timeout,
        std::function<void(gateway::StoreResult<gateway::RowPage>)> done) override
    {
        if (!this->rejectCall(done, timeout))
            this->store.read(std::move(range), timeout, std::move(done));
    }
    void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(gateway::StoreResult<gateway::RowPage>)> done) override
    {
        if (!this->rejectCall(done, wait))
            this->store.watch(table, after, wait, std::move(done));
    }

    std::optional<gateway::StoreFailure> failure;
    /// \brief Calls get no reply and end with their time-out.
    bool silent = false;
    int refused = 0;

private:
    template <typename Done> bool rejectCall(const Done& done, core::Duration timeout)
    {
        if (!this->failure && !this->silent)
            return false;
        ++this->refused;
        const auto failure = this->failure.value_or(gateway::StoreFailure::Unknown);
        const auto timer
            = std::make_shared<asio::steady_timer>(this->context, this->silent ? timeout : core::Duration::zero());
        timer->async_wait([done, failure, timer](asio::error_code) { done(tl::unexpected(failure)); });
        return true;
    }

    asio::io_context& context;
    gateway::RowStore& store;
};

/// \brief One node with only the components that a home node needs.
struct PeerNode {
    PeerNode(asio::io_context& context, gateway::RowStore& store, const std::string& name, const std::string& zone)
        : context(context)
        , name(name)
        , nodeStore(context, store)
        , observedStore(this->nodeStore, this->storeHealth)
        , server(context,
              { [this](transport::ConnectionId connection, transport::Request&& request) {
                   this->peers->serve(connection, request, core::monotonicNow());
               },
                  [](transport::ConnectionId) {} })
        , listenError(this->server.listen("127.0.0.1", 0))
        , registry(context, this->observedStore, this->storeHealth,
              { name, "z", "r", "caller-" + name, this->address(), true }, { "z" })
        , pool(context)
        , peerClient(this->pool)
        , relayServer(this->observedStore, this->storeHealth)
        , store(this->observedStore, this->storeHealth, this->peerClient, this->registry)
        , rowExpiry(this->store, this->storeHealth)
        , turnStore(this->store, this->storeHealth, this->rowExpiry, 1U << 20U, 49'152)
    {
        this->restart();
        this->registry.start();
    }

    /// \brief Simulates a process restart: replaces the components that hold state in memory.
    void restart()
    {
        if (this->budgets)
            this->retired.push_back(std::move(this->budgets));
        this->budgets = std::make_unique<gateway::TokenBudgets>(this->context, this->store, this->storeHealth,
            this->rowExpiry, this->name + ":" + std::to_string(++incarnations));
        this->peers = std::make_unique<gateway::PeerService>(gateway::PeerServiceDependencies {
            this->peerClient, this->server, *this->budgets, this->turnStore, this->registry, this->relayServer });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }

    asio::io_context& context;
    std::string name;
    NodeStore nodeStore;
    gateway::StoreHealth storeHealth;
    gateway::ObservedStore observedStore;
    transport::Server server;
    std::string listenError;
    gateway::NodeRegistry registry;
    transport::ClientPool pool;
    gateway::PeerClient peerClient;
    gateway::RelayServer relayServer;
    gateway::RelayedStore store;
    gateway::RowExpiry rowExpiry;
    gateway::TurnStore turnStore;
    std::unique_ptr<gateway::TokenBudgets> budgets;
    std::unique_ptr<gateway::PeerService> peers;
    /// \brief Kept alive because callbacks to them may still be pending.
    std::vector<std::unique_ptr<gateway::TokenBudgets>> retired;

    inline static int incarnations = 0;
};

class PeerCluster {
public:
    /// \brief Creates one node per zone entry, named "a", "b" and so on.
    explicit PeerCluster(const std::vector<std::string>& zones = { "z", "z" })
        : store(this->context)
    {
        this->tick();
        for (const auto& zone : zones) {
            const std::string name(1, static_cast<char>('a' + this->nodes.size()));
            this->nodes.push_back(std::make_unique<PeerNode>(this->context, this->store, name, zone));
            (void)runUntil(
                this->context, [] { return false; }, milliseconds(20));
        }
        if (zones.front() == zones.back())
            this->waitForReadyNodes();
    }

    /// \brief Runs until each node lists all nodes as ready in its zone.
    void waitForReadyNodes()
    {
        (void)runUntil(this->context, [this] {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                [this](const auto& node) { return node->registry.readyNodesInZone() == this->nodes.size(); });
        });
    }

    /// \brief Returns the id of a program whose home is the node with the index `home`.
    std::string programWithHome(std::size_t home)
    {
        for (int number = 0;; ++number) {
            auto program = "p" + std::to_string(number);
            if (this->nodes[home]->peers->isHome(program, core::monotonicNow()))
                return program;
        }
    }

    std::optional<gateway::Reservation> reserve(std::size_t node, const std::string& program)
    {
        auto reserved = std::make_shared<std::optional<gateway::Reservation>>();
        this->nodes[node]->peers->reserve({ program, budget, turnTokens, seconds(60), seconds(5) },
            core::monotonicNow(), [reserved](const gateway::Reservation& reservation) { *reserved = reservation; });
        (void)runUntil(this->context, [&reserved] { return reserved->has_value(); });
        return *reserved;
    }

    /// \brief Sends a peer message to the node and ignores the response.
    void send(std::size_t node, const gateway::wire::PeerRequest& message)
    {
        const auto body = message.SerializeAsString();
        bool ended = false;
        transport::ExchangeEvents events;
        events.head = [](transport::ResponseHead&&) {};
        events.body = [](std::string&&) {};
        events.ended = [&ended](transport::ExchangeEnd) { ended = true; };
        this->externalClients.send(this->nodes[node]->address(),
            "POST /peer HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, {},
            std::move(events));
        (void)runUntil(this->context, [&ended] { return ended; });
    }

    /// \brief Sum of the tokens of all shares in the program's budget row.
    std::uint64_t reservedTokens(const std::string& program)
    {
        for (const auto& [key, row] : this->store.rows) {
            gateway::wire::BudgetRecord record;
            if (key.table != "budgets" || key.key != program || !record.ParseFromString(row.value))
                continue;
            std::uint64_t total = 0;
            for (const auto& share : record.shares())
                total += share.tokens();
            return total;
        }
        return 0;
    }

    /// \brief Periodically processes waiting reservations, as the timer of a node does.
    void tick()
    {
        this->timer.expires_after(milliseconds(20));
        this->timer.async_wait([this](asio::error_code error) {
            if (error)
                return;
            for (const auto& node : this->nodes) {
                if (!node)
                    continue;
                node->peers->tick(core::monotonicNow());
                node->store.tick(core::monotonicNow());
            }
            this->tick();
        });
    }

    asio::io_context context;
    asio::steady_timer timer { this->context };
    FakeRowStore store;
    transport::ClientPool externalClients { this->context };
    std::vector<std::unique_ptr<PeerNode>> nodes;
};

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

// Guards against a program that can't use its budget at the node to which its callers have moved, because its first node
// holds tokens and learns of no other share.
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

} // namespace lagoontiller::tests
