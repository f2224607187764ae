#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/PeerClient.h"
#include "gateway/RelayServer.h"
#include "gateway/TokenBudgets.h"
#include "gateway/TurnStore.h"
#include "transport/Server.h"

namespace lagoontiller::gateway::wire {
class ReserveTokens;
class SettleTokens;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief Tokens that were granted for a turn, and by which node.
struct Reservation {
    BudgetAnswer answer = BudgetAnswer::Unavailable;
    /// \brief Address of the peer whose share covers the turn; empty for this node.
    std::string peer;
    /// \brief Name of the reservation at the peer.
    std::string id;
    std::uint64_t tokens = 0;
};

/// \brief What the exchange with the other nodes works with; all of it outlives the exchange.
struct PeerServiceDependencies {
    PeerClient& client;
    transport::Server& server;
    TokenBudgets& tokenBudgets;
    TurnStore& turnStore;
    NodeRegistry& nodeRegistry;
    RelayServer& relayServer;
};

/// \brief Shares budgets and histories among the nodes of a zone.
///
/// Every program has a home, the live node of the zone that rendezvous hashing prefers for its id. The home's share of
/// the budget covers the turns that arrive at any node of the zone, and its memory has their histories, so that a
/// program needs few calls to the store wherever its turns arrive. A home is an optimisation: shares are durable before
/// they are used and turns before they count, so that nodes with different views, or without their home, are only
/// slower. A home that does not answer is left out for `suspectTime`.
class PeerService {
public:
    explicit PeerService(PeerServiceDependencies dependencies);

    /// \brief Answers peers whose reservation waits for the store, and settles reservations that peers did not settle
    /// in time, as used in full; due every `tickInterval` of the gateway.
    void tick(core::TimePoint now);

    void reserve(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done);
    void settle(const std::string& program, const Reservation& reservation, std::uint64_t used, core::TimePoint now);
    void loadHistory(const std::string& program, const std::string& turn, core::TimePoint now,
        std::function<void(tl::expected<Chain, HistoryFailure>)> done);
    /// \brief Gives a durable turn to the program's home.
    void offerTurn(const std::string& program, const Turn& turn, core::TimePoint now);

    /// \brief Whether this node is the home of the program.
    [[nodiscard]] bool isHome(const std::string& program, core::TimePoint now)
    {
        return this->homeOf(program, now).empty();
    }
    /// \brief Takes no further reservations of other nodes: this node is about to end.
    void startDraining() noexcept { this->draining = true; }
    /// \brief Answers a message of another node.
    void serve(transport::ConnectionId connection, const transport::Request& request, core::TimePoint now);

private:
    /// \brief A reservation that this node made for a peer.
    struct HeldReservation {
        std::string program;
        std::uint64_t tokens = 0;
        core::TimePoint settleBy {};
        /// \brief Nothing while the budget waits for the store.
        std::optional<BudgetAnswer> answer;
        /// \brief Connection on which the peer waits for the answer, and the time by which it gets one.
        std::optional<transport::ConnectionId> waiter;
        core::TimePoint answerBy {};
        /// \brief The peer settled it before it was granted.
        bool settled = false;
    };
    /// \brief A reservation that this node asks a home for.
    struct ReservationAttempt {
        BudgetRequest request;
        std::string home;
        std::string id;
        int homesTried = 0;
        core::TimePoint deadline {};
        std::function<void(Reservation)> done;
    };

    [[nodiscard]] std::string homeOf(const std::string& program, core::TimePoint now);
    void respond(transport::ConnectionId connection, const wire::PeerResponse& response);
    void reserveAt(const std::string& home, const std::shared_ptr<ReservationAttempt>& attempt);
    void sendReservation(const std::shared_ptr<ReservationAttempt>& attempt);
    void reserveLocally(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done);
    void settleAt(const std::string& peer, const std::string& reservation, std::uint64_t used);
    void serveReserve(transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now);
    void reservationEnded(const std::string& reservation, BudgetAnswer answer);
    /// \brief `answer` is a wire::PeerResponse::BudgetAnswer.
    void answerReservation(HeldReservation& held, int answer);
    void serveSettle(const wire::SettleTokens& settle, core::TimePoint now);

    PeerClient& client;
    transport::Server& server;
    TokenBudgets& tokenBudgets;
    TurnStore& turnStore;
    NodeRegistry& nodeRegistry;
    RelayServer& relayServer;
    std::unordered_map<std::string, HeldReservation> heldReservations;
    /// \brief First part of the names of this process's reservations.
    std::string incarnation;
    std::uint64_t lastReservationId = 0;
    bool draining = false;
};

} // namespace lagoontiller::gateway
