// Reservations that nodes make at the home of a program, over restarts, lost answers and lost settlements; and store
// calls that peers do for a node that the store turns away.

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

/// \brief The store as one node sees it, which may turn the node away.
class NodeView : public gateway::RowStore {
public:
    NodeView(asio::io_context& context, gateway::RowStore& store)
        : context(context)
        , store(store)
    {
    }

    void transact(gateway::RowTransaction transaction, core::Duration timeout,
        std::function<void(gateway::StoreResult<gateway::TransactionResult>)> done) override
    {
        if (!this->turnedAway(done, timeout))
            this->store.transact(std::move(transaction), timeout, std::move(done));
    }
    void read(gateway::RowRange range, core::Duration timeout,
        std::function<void(gateway::StoreResult<gateway::RowPage>)> done) override
    {
        if (!this->turnedAway(done, timeout))
            this->store.read(std::move(range), timeout, std::move(done));
    }
    void watch(const std::string& table, std::uint64_t after, core::Duration wait,
        std::function<void(gateway::StoreResult<gateway::RowPage>)> done) override
    {
        if (!this->turnedAway(done, wait))
            this->store.watch(table, after, wait, std::move(done));
    }

    std::optional<gateway::StoreFailure> failure;
    /// \brief Calls end only with their time-out.
    bool silent = false;
    int refused = 0;

private:
    template <typename Done> bool turnedAway(const Done& done, core::Duration timeout)
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

/// \brief One node of the zone: what a home needs, and nothing else.
struct PeerNode {
    PeerNode(asio::io_context& context, gateway::RowStore& store, const std::string& name, const std::string& zone)
        : context(context)
        , name(name)
        , view(context, store)
        , direct(this->view, this->contact)
        , server(context,
              { [this](transport::ConnectionId connection, transport::Request&& request) {
                   this->peers->serve(connection, request, core::monotonicNow());
               },
                  [](transport::ConnectionId) {} })
        , failure(this->server.listen("127.0.0.1", 0))
        , roster(context, this->direct, this->contact, { name, "z", "r", "caller-" + name, this->address(), true },
              { "z" })
        , pool(context)
        , link(this->pool)
        , relays(this->direct, this->contact)
        , store(this->direct, this->contact, this->link, this->roster)
        , expiry(this->store, this->contact)
        , histories(this->store, this->contact, this->expiry, 1U << 20U, 49'152)
    {
        this->restart();
        this->roster.start();
    }

    /// \brief The process ends and starts again: what it had in memory is gone.
    void restart()
    {
        if (this->budgets)
            this->retired.push_back(std::move(this->budgets));
        this->budgets = std::make_unique<gateway::TokenBudgets>(
            this->context, this->store, this->contact, this->expiry, this->name + ":" + std::to_string(++incarnations));
        this->peers = std::make_unique<gateway::PeerService>(gateway::PeerServiceDependencies {
            this->link, this->server, *this->budgets, this->histories, this->roster, this->relays });
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }

    asio::io_context& context;
    std::string name;
    NodeView view;
    gateway::StoreHealth contact;
    gateway::ObservedStore direct;
    transport::Server server;
    std::string failure;
    gateway::NodeRegistry roster;
    transport::ClientPool pool;
    gateway::PeerClient link;
    gateway::RelayServer relays;
    gateway::RelayedStore store;
    gateway::RowExpiry expiry;
    gateway::TurnStore histories;
    std::unique_ptr<gateway::TokenBudgets> budgets;
    std::unique_ptr<gateway::PeerService> peers;
    /// \brief Their callbacks may still come.
    std::vector<std::unique_ptr<gateway::TokenBudgets>> retired;

    inline static int incarnations = 0;
};

class PeerWorld {
public:
    /// \brief Nodes "a", "b" ... of these zones.
    explicit PeerWorld(const std::vector<std::string>& zones = { "z", "z" })
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
            this->settle();
    }

    /// \brief Lets the nodes see each other.
    void settle()
    {
        (void)runUntil(this->context, [this] {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                [this](const auto& node) { return node->roster.readyNodesInZone() == this->nodes.size(); });
        });
    }

    /// \brief A program whose home is the node `home`.
    std::string programOf(std::size_t home)
    {
        for (int number = 0;; ++number) {
            auto program = "p" + std::to_string(number);
            if (this->nodes[home]->peers->isHome(program, core::monotonicNow()))
                return program;
        }
    }

    std::optional<gateway::Reservation> reserve(std::size_t node, const std::string& program)
    {
        auto given = std::make_shared<std::optional<gateway::Reservation>>();
        this->nodes[node]->peers->reserve({ program, budget, turnTokens, seconds(60), seconds(5) },
            core::monotonicNow(), [given](const gateway::Reservation& reservation) { *given = reservation; });
        (void)runUntil(this->context, [&given] { return given->has_value(); });
        return *given;
    }

    /// \brief Sends a message to the node as a peer does that does not care for the answer.
    void send(std::size_t node, const gateway::wire::PeerRequest& message)
    {
        const auto body = message.SerializeAsString();
        bool ended = false;
        transport::ExchangeEvents events;
        events.head = [](transport::ResponseHead&&) {};
        events.body = [](std::string&&) {};
        events.ended = [&ended](transport::ExchangeEnd) { ended = true; };
        this->outside.send(this->nodes[node]->address(),
            "POST /peer HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, {},
            std::move(events));
        (void)runUntil(this->context, [&ended] { return ended; });
    }

    /// \brief Tokens of all shares in the program's row.
    std::uint64_t taken(const std::string& program)
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

    /// \brief Answers reservations that wait, as a node's timer does.
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
    transport::ClientPool outside { this->context };
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

// Guards against a settlement that a restarted home takes off a share that never had the tokens: the share then wraps
// around and the program's row is spoilt.
TEST(Peers, SettlementOfAReservationBeforeTheHomesRestartIsIgnored)
{
    PeerWorld world;
    const auto program = world.programOf(1);
    const auto first = world.reserve(0, program);
    ASSERT_TRUE(first.has_value());
    ASSERT_EQ(first->peer, world.nodes[1]->address());
    world.nodes[1]->restart();
    const auto second = world.reserve(0, program);
    ASSERT_TRUE(second.has_value());
    ASSERT_EQ(second->answer, BudgetAnswer::Granted);
    ASSERT_EQ(second->peer, world.nodes[1]->address());
    world.nodes[0]->peers->settle(program, *second, turnTokens, core::monotonicNow());
    world.nodes[0]->peers->settle(program, *first, 0, core::monotonicNow());
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(50));
    world.nodes[1]->budgets->tick(core::monotonicNow() + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(50));
    // The first incarnation's share stays; the second one keeps the tokens that it handed out.
    EXPECT_LE(world.taken(program), budget);
    EXPECT_GE(world.taken(program), 2 * turnTokens);
}

// Guards against tokens that stay reserved at a home for as long as it lives, because the node that asked for them
// ended before it settled them.
TEST(Peers, ReservationThatIsNeverSettledCountsAsUsedAfterItsTime)
{
    PeerWorld world;
    const auto program = world.programOf(1);
    world.send(1, reserveMessage(program, "gone.1"));
    const auto now = core::monotonicNow();
    world.nodes[1]->peers->tick(now + seconds(8));
    world.nodes[1]->budgets->tick(now + seconds(10), [](const std::string&) { return false; });
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(world.taken(program), turnTokens);
}

// Guards against tokens that are reserved twice after an answer that came too late: the node settles the reservation
// that it gave up, at times before it is granted.
TEST(Peers, ReservationThatIsSettledBeforeItIsGrantedIsGivenBack)
{
    PeerWorld world;
    const auto program = world.programOf(1);
    // Nothing is answered while the store is away; the reservation waits at the home meanwhile.
    world.store.fault = StoreFault::Overloaded;
    bool ended = false;
    const auto body = reserveMessage(program, "late.1").SerializeAsString();
    transport::ExchangeEvents events;
    events.head = [](transport::ResponseHead&&) {};
    events.body = [](std::string&&) {};
    events.ended = [&ended](transport::ExchangeEnd) { ended = true; };
    world.outside.send(world.nodes[1]->address(),
        "POST /peer HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, {},
        std::move(events));
    const auto writes = world.store.writes;
    (void)runUntil(world.context, [&] { return world.store.writes > writes; });
    world.send(1, settleMessage("late.1", 0));
    ASSERT_FALSE(ended);
    world.store.fault = StoreFault::None;
    (void)runUntil(world.context, [&ended] { return ended; });
    const auto now = core::monotonicNow();
    world.nodes[1]->budgets->tick(now + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(world.taken(program), 0U);
}

// Guards against a settlement that is counted twice.
TEST(Peers, SettlementCountsOnce)
{
    PeerWorld world;
    const auto program = world.programOf(1);
    world.send(1, reserveMessage(program, "r.1"));
    world.send(1, reserveMessage(program, "r.2"));
    world.send(1, settleMessage("r.1", 30));
    world.send(1, settleMessage("r.1", 30));
    world.send(1, settleMessage("r.2", 50));
    world.nodes[1]->budgets->tick(core::monotonicNow() + seconds(1), [](const std::string&) { return false; });
    (void)runUntil(
        world.context, [] { return false; }, milliseconds(50));
    EXPECT_EQ(world.taken(program), 80U);
}

/// \brief How the store fails for one node, and whether peers can help with the call that notices it.
struct TurnedAwayCase {
    std::string name;
    gateway::StoreFailure failure = gateway::StoreFailure::NotDone;
};

class TurnedAway : public testing::TestWithParam<TurnedAwayCase> { };

// Guards against programs and conversations that stand still at a node that the store turns away while it serves
// others.
TEST_P(TurnedAway, NodeReservesAndKeepsTurnsThroughAPeer)
{
    PeerWorld world;
    auto& node = *world.nodes[0];
    node.view.failure = GetParam().failure;
    const auto program = world.programOf(0);
    const auto reservation = world.reserve(0, program);
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
    EXPECT_GE(world.taken(program), turnTokens);
    std::optional<bool> durable;
    const auto turn = std::make_shared<const gateway::Turn>(gateway::Turn { "t", {}, "in", "out", 0 });
    node.histories.commit(turn, seconds(60), [&durable](bool written) { durable = written; });
    (void)runUntil(world.context, [&durable] { return durable.has_value(); });
    EXPECT_TRUE(durable.value_or(false));
    std::optional<gateway::Chain> chain;
    world.nodes[1]->histories.load("t", [&chain](tl::expected<gateway::Chain, gateway::HistoryFailure> loaded) {
        chain = loaded.value_or(gateway::Chain());
    });
    (void)runUntil(world.context, [&chain] { return chain.has_value(); });
    ASSERT_EQ(chain->size(), 1U);
    EXPECT_EQ(chain->front()->input, "in");
}

INSTANTIATE_TEST_SUITE_P(Failures, TurnedAway,
    testing::Values(TurnedAwayCase { "Busy", gateway::StoreFailure::NotDone },
        TurnedAwayCase { "Silent", gateway::StoreFailure::Unknown }),
    [](const auto& info) { return info.param.name; });

// Guards against a budget row that is written twice because a peer repeats a call that may have been done.
TEST(Peers, CallWithoutAnswerIsNotRepeatedThroughAPeer)
{
    PeerWorld world;
    auto& node = *world.nodes[0];
    node.view.failure = gateway::StoreFailure::Unknown;
    const gateway::RowKey key { "t", "", "k" };
    std::optional<gateway::StoreResult<gateway::TransactionResult>> result;
    node.store.transact({ {}, { { key, "v", 0, false } }, {} }, seconds(1),
        [&result](gateway::StoreResult<gateway::TransactionResult> given) { result = std::move(given); });
    (void)runUntil(world.context, [&result] { return result.has_value(); });
    ASSERT_FALSE(result->has_value());
    EXPECT_EQ(result->error(), gateway::StoreFailure::Unknown);
    EXPECT_EQ(world.store.find(key), nullptr);
}

// Guards against calls that go round among nodes while none of them has contact to the store.
TEST(Peers, CallEndsAtOnceWhenNoPeerHasContactEither)
{
    PeerWorld world;
    world.store.fault = StoreFault::Down;
    const auto program = world.programOf(0);
    const auto start = std::chrono::steady_clock::now();
    const auto first = world.reserve(0, program);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->answer, BudgetAnswer::Unavailable);
    const auto second = world.reserve(0, program);
    EXPECT_EQ(second->answer, BudgetAnswer::Unavailable);
    EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(200));
}

// Guards against a home that counts as lost while it waits for a store over its rate: its programs then move to other
// nodes, whose shares make the store's load larger still.
TEST(Peers, HomeThatWaitsForTheStoreIsAskedAgainAndNotLeftOut)
{
    PeerWorld world;
    const auto program = world.programOf(1);
    world.nodes[1]->view.failure = gateway::StoreFailure::Overloaded;
    asio::steady_timer end(world.context, milliseconds(350));
    end.async_wait([&world](asio::error_code) { world.nodes[1]->view.failure.reset(); });
    const auto reservation = world.reserve(0, program);
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
    EXPECT_EQ(reservation->peer, world.nodes[1]->address());
    EXPECT_FALSE(world.nodes[0]->link.isSuspected(world.nodes[1]->address(), core::monotonicNow()));
    // One turn and the part that is reserved ahead, once.
    EXPECT_LE(world.taken(program), 2 * turnTokens);
}

// Guards against a zone with a single node that stands still when the store turns that node away.
TEST(Peers, NodeThatIsAloneInItsZoneReachesTheStoreThroughAnotherZone)
{
    PeerWorld world({ "y", "z" });
    world.nodes[1]->view.failure = gateway::StoreFailure::NotDone;
    const auto reservation = world.reserve(1, "p");
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

// Guards against calls of callers that are held for a second and more in the middle of a silent outage, because each
// pause after which peers are asked again lets the calls of that moment through to the store.
TEST(Peers, RefusesAtOnceThroughoutASilentOutage)
{
    PeerWorld world;
    for (auto& node : world.nodes)
        node->view.silent = true;
    (void)world.reserve(0, world.programOf(0));
    (void)runUntil(world.context,
        [&world] { return world.nodes[0]->contact.outageDuration(core::monotonicNow()) > milliseconds(600); });
    const auto program = world.programOf(0);
    core::Duration longest {};
    for (int call = 0; call < 40; ++call) {
        const auto start = core::monotonicNow();
        const auto reservation = world.reserve(0, program);
        ASSERT_TRUE(reservation.has_value());
        EXPECT_EQ(reservation->answer, BudgetAnswer::Unavailable);
        longest = std::max(longest, core::monotonicNow() - start);
        (void)runUntil(
            world.context, [] { return false; }, milliseconds(30));
    }
    EXPECT_LT(longest, milliseconds(150));
}

// Guards against programs that are told to come back later although the store, which refuses calls at once and does not
// stay silent, would have answered.
TEST(Peers, AsksAStoreThatRefusesAtOnceForEachCall)
{
    PeerWorld world;
    for (auto& node : world.nodes)
        node->view.failure = gateway::StoreFailure::NotDone;
    (void)world.reserve(0, world.programOf(0));
    (void)runUntil(world.context,
        [&world] { return world.nodes[0]->contact.outageDuration(core::monotonicNow()) > milliseconds(600); });
    for (auto& node : world.nodes)
        node->view.failure.reset();
    const auto reservation = world.reserve(0, world.programOf(0));
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

// Guards against a node that refuses new programs although a peer has contact again, because nothing asks that peer.
TEST(Peers, NoticesWithoutCallsThatAPeerHasContactAgain)
{
    PeerWorld world;
    for (auto& node : world.nodes)
        node->view.failure = gateway::StoreFailure::NotDone;
    (void)world.reserve(0, world.programOf(0));
    EXPECT_GT(world.nodes[0]->contact.outageDuration(core::monotonicNow() + seconds(1)), core::Duration::zero());
    world.nodes[1]->view.failure.reset();
    (void)runUntil(world.context, [&world] {
        return world.nodes[0]->contact.outageDuration(core::monotonicNow() + seconds(1)) == core::Duration::zero();
    });
    const auto reservation = world.reserve(0, world.programOf(0));
    ASSERT_TRUE(reservation.has_value());
    EXPECT_EQ(reservation->answer, BudgetAnswer::Granted);
}

} // namespace lagoontiller::tests
