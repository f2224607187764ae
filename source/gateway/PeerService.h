#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/OutageBuckets.h"
#include "gateway/OutageTokens.h"
#include "gateway/PeerClient.h"
#include "gateway/PrefillBacklog.h"
#include "gateway/RelayServer.h"
#include "gateway/StreamVersions.h"
#include "gateway/TokenBudgets.h"
#include "gateway/TurnStore.h"
#include "transport/Server.h"

namespace lagoontiller::gateway::wire {
class GiveUpOutagePart;
class NoteStream;
class PeerRequest;
class PeerResponse;
class ReserveTokens;
class SettleTokens;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief Tokens that were granted for a turn, and the node that granted them.
struct Reservation {
    BudgetAnswer answer = BudgetAnswer::Unavailable;
    /// \brief Peer address of the node whose share covers the turn; empty for this node.
    std::string peer;
    /// \brief Id of the reservation at the peer.
    std::string id;
    std::uint64_t tokens = 0;
    /// \brief The program has used no tokens so far, as far as its home knows.
    bool firstTurn = false;
    /// \brief The tokens are of the outage part of the budget.
    bool outagePart = false;
};

/// \brief What this node knows of the answer to a reservation before it is made.
struct BudgetOutlook {
    /// \brief Peer address of the home that would be asked; empty for this node.
    std::string home;
    /// \brief Empty if the home, the store or the holder of an outage part decides.
    std::optional<BudgetAnswer> answer;
    /// \brief Whether it would be the first turn of the program; empty if only another home knows.
    std::optional<bool> firstTurn;
    [[nodiscard]] bool operator==(const BudgetOutlook&) const = default;
};

/// \brief Where the history of a turn would be read.
struct HistoryOutlook {
    bool isCached = false;
    /// \brief Peer address of the home that would be asked before the store; empty if there is no other.
    std::string home;
    [[nodiscard]] bool operator==(const HistoryOutlook&) const = default;
};

/// \brief The origin of a stream, which is named by the id of the call that brought its first event.
struct StreamNote {
    std::string stream;
    StreamOrigin origin;
    /// \brief Time for which the stream may be resumed.
    core::Duration resumable {};
    [[nodiscard]] bool operator==(const StreamNote&) const = default;
};

/// \brief Objects that the peer service uses; all of them must outlive it.
struct PeerServiceDependencies {
    PeerClient& client;
    transport::Server& server;
    TokenBudgets& tokenBudgets;
    TurnStore& turnStore;
    NodeRegistry& nodeRegistry;
    RelayServer& relayServer;
    OutageBuckets& outageBuckets;
};

/// \brief Shares token budgets and turn histories among the nodes of a zone.
///
/// Every program has a home node: the live node of the zone that rendezvous hashing selects for the program's id. The
/// home's share of the budget covers turns that arrive at any node of the zone, and its cache holds their histories, so
/// a program needs few store calls wherever its turns arrive. Homes only reduce latency and are not needed for
/// correctness: shares are durable before they are used, and turns before they are confirmed. Nodes with different
/// views of the zone, or without a reachable home, are only slower. A home that does not respond is not used while
/// `PeerClient` suspects it.
class PeerService {
public:
    explicit PeerService(PeerServiceDependencies dependencies);

    /// \brief Sends PENDING to peers whose reservation waits for the store, and settles overdue reservations as fully
    /// used; call every `tickInterval`.
    void tick(core::TimePoint now);

    /// \brief Reserves the tokens at the home of the program, or locally if no home responds. `done` may be called
    /// immediately.
    void reserve(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done);
    /// \brief What is known of the answer to `reserve`; changes nothing.
    [[nodiscard]] BudgetOutlook budgetOutlook(const BudgetRequest& request, core::TimePoint now) const;
    /// \brief Settles a granted reservation: `used` of its tokens were used, the others are free again.
    void settle(const std::string& program, const Reservation& reservation, std::uint64_t used, core::TimePoint now);
    /// \brief Loads the chain of the turn from memory, from the home's cache or from the store.
    void loadHistory(const std::string& program, const std::string& turn, core::TimePoint now,
        std::function<void(tl::expected<Chain, HistoryFailure>)> done);
    /// \brief Where `loadHistory` would look first; changes nothing.
    [[nodiscard]] HistoryOutlook historyOutlook(
        const std::string& program, const std::string& turn, core::TimePoint now) const;
    /// \brief Sends a durable turn to the program's home for caching.
    void offerTurn(const std::string& program, const Turn& turn, core::TimePoint now);

    /// \brief Remembers the origin of a stream; if `share` is set, also at two other nodes of the zone.
    void noteStream(const StreamNote& note, bool share, core::TimePoint now);
    /// \brief The origin of the stream, as far as this node itself remembers it.
    [[nodiscard]] std::optional<StreamOrigin> knownStream(const std::string& stream) const
    {
        return this->streamVersions.find(stream);
    }
    /// \brief Asks the nodes of the zone that may remember the origin of the stream.
    void findStream(const std::string& stream, core::TimePoint now,
        const std::function<void(const std::optional<StreamOrigin>&)>& done);

    /// \brief Peer address of the zone's node that rendezvous hashing selects for the key; empty if it is this node.
    [[nodiscard]] std::string homeOf(const std::string& key, core::TimePoint now) const;
    /// \brief Sets the receiver of messages about the quotas of client accounts, which returns the answer.
    void setQuotaHandler(std::function<wire::PeerResponse(const wire::PeerRequest&)> handler)
    {
        this->quotaHandler = std::move(handler);
    }
    /// \brief Tells the other nodes of the zone about a long prompt. Beyond `NoticeAllowance`, some of them
    /// do not learn of it.
    void announceLongPrompt(const LongPromptNotice& notice, core::TimePoint now);
    /// \brief Tells the other nodes of the zone that this node stops, so that they no longer name it to callers. Its
    /// row says so as well, but is read once per heartbeat only.
    void announceStop(core::TimePoint now);
    void setLongPromptHandler(std::function<void(const LongPromptNotice&)> handler)
    {
        this->longPromptHandler = std::move(handler);
    }
    /// \brief Whether this node is the home of the program.
    [[nodiscard]] bool isHome(const std::string& program, core::TimePoint now) const
    {
        return this->homeOf(program, now).empty();
    }
    /// \brief Refuses further reservations of other nodes, and store calls that the schedule doesn't admit; called on
    /// shutdown.
    void startDraining(const StopSchedule& schedule)
    {
        this->draining = true;
        this->relayServer.startDraining(schedule);
        this->outageBuckets.release(this->outageTokens.size() > 0);
    }
    /// \brief Processes a message of another node and responds to it.
    void serve(transport::ConnectionId connection, const transport::Request& request, core::TimePoint now);

private:
    /// \brief Added to the maximum duration of a turn before an unsettled reservation counts as used; covers streams
    /// with a slow caller and the transmission of the settlement.
    static constexpr core::Duration settlementMargin = std::chrono::milliseconds(2'000);

    /// \brief A reservation that this node made for a peer.
    struct HeldReservation {
        std::string program;
        std::uint64_t tokens = 0;
        bool firstTurn = false;
        core::TimePoint settleBy {};
        /// \brief Empty while the reservation waits for the store.
        std::optional<BudgetAnswer> answer;
        /// \brief Connection of the peer that waits for the answer, and the time at which it is answered at the latest.
        std::optional<transport::ConnectionId> waiter;
        core::TimePoint answerBy {};
        /// \brief Whether the peer settled the reservation before it was granted.
        bool settled = false;
        /// \brief The tokens are of the outage part of the budget.
        bool outagePart = false;
    };
    /// \brief A reservation that this node requests from a home.
    struct ReservationAttempt {
        BudgetRequest request;
        std::string home;
        std::string id;
        int homesTried = 0;
        core::TimePoint deadline {};
        std::function<void(Reservation)> done;
    };

    /// \brief Addresses of the other nodes of the zone that rendezvous hashing selects for the stream.
    [[nodiscard]] std::vector<std::string> streamHolders(
        const std::string& stream, std::size_t count, core::TimePoint now) const;
    void respond(transport::ConnectionId connection, const wire::PeerResponse& response);
    /// \brief Peer addresses of the zone's other nodes that answer.
    [[nodiscard]] std::vector<std::string> answeringPeers(core::TimePoint now) const;
    void reserveAt(const std::string& home, const std::shared_ptr<ReservationAttempt>& attempt);
    void sendReservation(const std::shared_ptr<ReservationAttempt>& attempt);
    void reserveLocally(const BudgetRequest& request, core::TimePoint now, std::function<void(Reservation)> done);
    /// \brief Outage part of the budget; 0 if its holder may forget the program before its retention ends.
    [[nodiscard]] static std::uint64_t grantablePart(const BudgetRequest& request) noexcept;
    /// \brief Whether the holder of the outage part is asked after the rows gave this answer.
    [[nodiscard]] static bool leavesToOutagePart(BudgetAnswer answer, const BudgetRequest& request) noexcept;
    /// \brief Answers the attempt, or asks the holder of the program's bucket if the rows grant nothing.
    void rowsAnswered(const std::shared_ptr<ReservationAttempt>& attempt, Reservation reservation);
    /// \brief `refused` is the answer if the outage part grants nothing.
    void reserveOutagePart(
        const std::shared_ptr<ReservationAttempt>& attempt, const Reservation& refused, bool rowsExhausted);
    /// \brief Reserves tokens of an outage part that this node grants, if it is the holder of the program's bucket.
    [[nodiscard]] BudgetAnswer reserveOwnOutagePart(const BudgetRequest& request);
    /// \brief Grants tokens of an outage part for a peer.
    void serveOutagePart(transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now);
    void giveUpOutagePart(
        const std::string& program, core::Duration retention, bool ownedByRows, const std::function<void(bool)>& done);
    /// \brief Gives up the outage part of a program whose holder this node is.
    [[nodiscard]] bool giveUpOwnOutagePart(const std::string& program, core::Duration retention, bool ownedByRows);
    [[nodiscard]] std::string outageHolderAddress(const std::string& program) const;
    void askToReturn(const std::string& nodeKey, const std::string& program);
    void settleAt(const std::string& peer, const std::string& reservation, std::uint64_t used);
    void serveReserve(transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now);
    void reservationEnded(const std::string& reservation, BudgetAnswer answer);
    /// \brief `answer` is a wire::PeerResponse::BudgetAnswer.
    void answerReservation(HeldReservation& held, int answer);
    void serveSettle(const wire::SettleTokens& settle, core::TimePoint now);
    void serveGiveUpOutagePart(transport::ConnectionId connection, const wire::GiveUpOutagePart& ask);
    void serveNoteStream(const wire::NoteStream& note, core::TimePoint now);
    void serveFindStream(transport::ConnectionId connection, const std::string& stream);

    PeerClient& client;
    transport::Server& server;
    TokenBudgets& tokenBudgets;
    TurnStore& turnStore;
    NodeRegistry& nodeRegistry;
    RelayServer& relayServer;
    OutageBuckets& outageBuckets;
    OutageTokens outageTokens;
    StreamVersions streamVersions;
    std::function<wire::PeerResponse(const wire::PeerRequest&)> quotaHandler;
    std::function<void(const LongPromptNotice&)> longPromptHandler;
    NoticeAllowance noticeAllowance;
    std::size_t nextNoticePeer = 0;
    std::unordered_map<std::string, HeldReservation> heldReservations;
    /// \brief Prefix of the reservation ids of this process.
    std::string incarnation;
    std::uint64_t lastReservationId = 0;
    bool draining = false;
};

} // namespace lagoontiller::gateway
