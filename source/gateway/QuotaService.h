#pragma once

#include "gateway/NodeRegistry.h"
#include "gateway/PeerClient.h"
#include "gateway/QuotaLedger.h"
#include "gateway/Types.h"

#include <deque>
#include <tuple>

namespace lagoontiller::gateway::wire {
class QuotaReport;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

class PeerService;

/// \brief A call that needs a permit of its account.
struct QuotaCall {
    std::string account;
    /// \brief The call is the first one of its program.
    bool startsProgram = false;
    /// \brief Time until which the call may wait.
    core::TimePoint latest {};
};

/// \brief What this node knows of the answer to a request for a permit before it is made.
struct QuotaOutlook {
    bool isLimited = false;
    /// \brief Peer address of the coordinator that would be asked; empty for this node.
    std::string coordinator;
    /// \brief Number of calls that wait here for a permit of the account.
    std::size_t waiting = 0;
    /// \brief The answer if no other call asks meanwhile; empty if another coordinator decides or if waiting calls are
    /// answered first.
    std::optional<QuotaGrant> grant;
    /// \brief Time until that answer.
    core::Duration wait {};
    [[nodiscard]] bool operator==(const QuotaOutlook&) const = default;
};

/// \brief Objects that the quota service uses; all of them must outlive it.
struct QuotaServiceDependencies {
    PeerClient& client;
    PeerService& peerService;
    NodeRegistry& nodeRegistry;
};

/// \brief Asks the coordinator of the zone for permits of client accounts, and is that coordinator if rendezvous
/// hashing selects this node.
///
/// Coordinators exchange the use of their ledgers with those of the other zones. A coordinator that does not respond is
/// replaced by the next node in the order; a node that reaches none grants from its own ledger, which knows no other
/// one and therefore keeps to the part of one node.
class QuotaService {
public:
    /// \brief `source` names this process uniquely over restarts; `zone` is its zone.
    QuotaService(QuotaServiceDependencies dependencies, std::string source, std::string zone, QuotaTolerance tolerance);

    /// \brief Sets the limits in force.
    void configure(const std::vector<Account>& accounts);
    /// \brief Calls `done` with the grant, possibly at once; without calls, `retryAfter` states when to return.
    void request(const QuotaCall& call, core::TimePoint now, std::function<void(const QuotaGrant&)> done);
    /// \brief Counts a further attempt of a call, which needs no permit: the call may have run already.
    void charge(const std::string& account);
    /// \brief What is known of the answer to `request`; changes nothing.
    [[nodiscard]] QuotaOutlook outlook(const QuotaCall& call, core::TimePoint now) const;
    /// \brief Returns the permit of a call that was not sent.
    void giveBack(const std::string& account);
    /// \brief Asks again for waiting calls and exchanges reports; call every `tickInterval`.
    void tick(core::TimePoint now);
    /// \brief Answers a message of another node.
    [[nodiscard]] wire::PeerResponse serve(const wire::PeerRequest& message, core::TimePoint now);

private:
    struct Waiting {
        core::TimePoint latest {};
        bool asked = false;
        std::function<void(const QuotaGrant&)> done;
    };
    /// \brief Calls of one account that wait, either first calls of programs or others.
    struct Queue {
        std::deque<Waiting> calls;
        bool askInProgress = false;
        core::TimePoint askAt {};
        std::uint32_t givenBack = 0;
        std::uint32_t furtherAttempts = 0;
    };
    struct QueueKey {
        std::string account;
        bool startsProgram = false;
        [[nodiscard]] bool operator==(const QueueKey&) const = default;
        [[nodiscard]] bool operator<(const QueueKey& other) const
        {
            return std::tie(this->account, this->startsProgram) < std::tie(other.account, other.startsProgram);
        }
    };
    /// \brief What is known about the coordinator of another zone.
    struct OtherZone {
        std::string coordinator;
        std::string source;
    };

    void ask(const QueueKey& key, core::TimePoint now);
    void askPeer(const QueueKey& key, const QuotaRequest& request, std::uint32_t givenBack, int attempt);
    void askLedger(const QueueKey& key, const QuotaRequest& request, std::uint32_t givenBack, core::TimePoint now);
    void answered(const QueueKey& key, const QuotaRequest& request, const QuotaGrant& grant, core::TimePoint now);
    [[nodiscard]] std::string coordinator(core::TimePoint now) const;
    /// \brief Reads the nodes of other zones soon after the start of this node.
    void refreshFleet(core::TimePoint now);
    void exchangeReports(const std::map<std::string, std::vector<std::string>>& zones, core::TimePoint now);
    void sendReport(const std::string& zone, const std::string& peer, bool mayRedirect);
    void reportAnswered(
        const std::string& zone, const std::string& peer, bool mayRedirect, const wire::PeerResponse* response);
    void mergeReport(const wire::QuotaReport& report, core::TimePoint now);
    void encodeReport(wire::QuotaReport& report);

    QuotaServiceDependencies dependencies;
    std::string source;
    std::string zone;
    QuotaLedger ledger;
    std::unordered_map<std::string, QuotaLimit> limits;
    std::map<QueueKey, Queue> queues;
    std::map<std::string, OtherZone> otherZones;
    /// \brief Time until which the ledger of this node counts as used.
    core::TimePoint ledgerUsedUntil {};
    core::TimePoint nextTickAt {};
    core::TimePoint nextReportAt {};
    std::optional<core::TimePoint> startedAt;
    core::TimePoint nextRefreshAt {};
};

} // namespace lagoontiller::gateway
