#pragma once

#include "core/Time.h"
#include "nodes/Effects.h"
#include "nodes/Member.h"
#include "nodes/Random.h"
#include "nodes/UpdateQueue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Timing and limits of the membership protocol; see docs/design.md, section 4.
struct MembershipSettings {
    /// \brief ip:port of the nodes through which this node joins; may include its own address.
    std::vector<std::string> seeds;
    core::Duration probeInterval = std::chrono::milliseconds(500);
    core::Duration probeTimeout = std::chrono::milliseconds(200);
    std::size_t indirectProbeCount = 3;
    core::Duration baseSuspicionTimeout = std::chrono::seconds(2);
    /// \brief Added to `baseSuspicionTimeout` for each factor of 10 in the number of members.
    core::Duration suspicionTimeoutPerDecade = std::chrono::milliseconds(500);
    /// \brief Time after which a dead or left member is removed.
    core::Duration deadMemberRetention = std::chrono::hours(1);
    /// \brief A longer time between two calls of `tick` or `handle` counts as a pause of this process.
    core::Duration pauseThreshold = std::chrono::seconds(2);
    /// \brief Records piggybacked on a message in addition to those of the sender and the receiver. At 90 bytes per
    /// record, 4 messages/s stay below 6 KB/s.
    std::size_t maxPiggybackedUpdates = 12;
    /// \brief Records of random live members added to a message that has room, which repairs lost updates at constant
    /// cost.
    std::size_t randomUpdateCount = 2;
    /// \brief Shortest time between two requests for missing members to peers that know more members. It doubles up to
    /// `maxSyncInterval` while the replies contain no new members.
    core::Duration minSyncInterval = std::chrono::milliseconds(500);
    core::Duration maxSyncInterval = std::chrono::seconds(60);
    /// \brief Rate limit of the member lists sent to nodes that join or miss members: bytes per second and burst size.
    double memberListBytesPerSecond = 8'000;
    double memberListBurstBytes = 96'000;
    /// \brief Limit on known members; prevents memory exhaustion by faulty peers.
    std::size_t maxMembers = 8192;
};

/// \brief SWIM membership as a state machine without sockets, threads, a clock or a random source of its own.
///
/// `tick` must be called at least every 100 ms. Messages from other nodes are passed to `handle`.
class Membership {
public:
    /// \param self Record of this node. Its incarnation must be higher than in any earlier process of the same name,
    /// for example the start time in Unix milliseconds.
    Membership(Member self, MembershipSettings settings, RandomGenerator& generator, core::TimePoint now);

    [[nodiscard]] MembershipEffects tick(core::TimePoint now);
    [[nodiscard]] MembershipEffects handle(const wire::Envelope& envelope, core::TimePoint now);

    /// \brief Sets whether this node is leaving and disseminates a change.
    void setLeaving(bool leaving);
    /// \brief Returns messages that tell some members that this node has left. All later input is ignored.
    [[nodiscard]] MembershipEffects leave(core::TimePoint now);

    /// \brief Sets the version that every message carries from now on.
    void setDocumentVersion(std::uint64_t version) noexcept { this->self.documentVersion = version; }
    void setVmListVersion(std::uint64_t version) noexcept { this->vmListVersion = version; }

    /// \brief Sets the sender, its incarnation, versions and member count, and the address of a receiver that is a
    /// known member. Returns false if the message has no address.
    [[nodiscard]] bool fillEnvelope(SendMessage& message) const;

    /// \brief Returns the alive or suspect members that are not leaving, including this node, sorted by name.
    [[nodiscard]] std::vector<Member> activeMembers() const;
    /// \brief Names of the other alive or suspect members, including leaving ones, in random order. Pushed versions go
    /// to them.
    [[nodiscard]] const std::vector<std::string>& peers() const noexcept { return this->probeOrder; }
    /// \brief Number of other members that are alive and not suspect; 0 if no message arrived for `pauseThreshold`.
    [[nodiscard]] std::size_t reachableCount(core::TimePoint now) const;
    /// \brief Record of this node or of a known member; empty for any other name.
    [[nodiscard]] std::optional<Member> find(const std::string& node) const;
    /// \brief Whether the node is an alive or suspect member, or this node before it has left.
    [[nodiscard]] bool isLive(const std::string& node) const;
    /// \brief Record of this node.
    [[nodiscard]] const Member& localMember() const noexcept { return this->self; }
    /// \brief Whether ViewRefreshed has followed the start and the last pause.
    [[nodiscard]] bool isViewFresh() const noexcept { return this->joined; }
    /// \brief Number of known members other than this node, including dead ones.
    [[nodiscard]] std::size_t size() const noexcept { return this->members.size(); }
    /// \brief Number of dropped updates and messages: invalid ones, and probe requests that cannot be relayed.
    [[nodiscard]] std::uint64_t rejectedCount() const noexcept { return this->rejectedInputs; }

private:
    struct PendingProbe {
        std::string target;
        std::uint64_t sequence;
        core::TimePoint indirectProbeTime;
        bool indirectProbesSent;
    };
    struct RelayedProbe {
        std::string origin;
        std::uint64_t originSequence;
        std::string target;
        core::TimePoint deadline;
    };

    // Membership.cpp
    bool detectPause(core::TimePoint now, MembershipEffects& effects);
    void applyUpdate(const wire::MemberUpdate& update, core::TimePoint now, MembershipEffects& effects);
    void applySelfUpdate(const Member& update, MembershipEffects& effects);
    void storeRecord(const Member& record, core::TimePoint now, MembershipEffects& effects);
    void updateTimers(const Member& record, core::TimePoint now);
    void insertIntoProbeOrder(const std::string& node);
    void raiseIncarnationAbove(std::uint64_t incarnation);
    void expireTimers(core::TimePoint now, MembershipEffects& effects);
    [[nodiscard]] core::Duration suspicionTimeout() const;

    // MembershipProbes.cpp
    void probeNext(core::TimePoint now, MembershipEffects& effects);
    void finishProbe(core::TimePoint now, MembershipEffects& effects);
    void sendIndirectProbes(core::TimePoint now, MembershipEffects& effects);
    void notifyContestedMembers(MembershipEffects& effects);
    void notifySuspects(MembershipEffects& effects);
    void sendNotificationProbe(const std::string& node, MembershipEffects& effects);
    void handleProbe(const wire::Envelope& envelope, MembershipEffects& effects);
    void handleProbeRequest(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void handleAcknowledgement(const wire::Envelope& envelope, MembershipEffects& effects);
    void requestReconnect(const std::string& node, MembershipEffects& effects) const;
    void send(const std::string& node, wire::Envelope envelope, MembershipEffects& effects) const;
    void piggybackUpdates(const std::string& receiver, google::protobuf::RepeatedPtrField<wire::MemberUpdate>& updates);
    [[nodiscard]] std::vector<std::string> randomPeers(std::size_t count, const std::string& except);

    // MembershipJoins.cpp
    void tryJoin(core::TimePoint now, MembershipEffects& effects);
    void retryUnreachable(MembershipEffects& effects);
    void sendJoin(const std::string& node, const std::string& address, MembershipEffects& effects) const;
    void handleJoin(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void handleJoinReply(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void requestMissingMembers(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void addKnownMembersFilter(wire::Join& join);
    [[nodiscard]] std::vector<const Member*> membersMissingFrom(const wire::Join& join) const;
    [[nodiscard]] std::size_t takeMemberListBudget(std::size_t wanted, core::TimePoint now);

    Member self;
    MembershipSettings settings;
    RandomGenerator* generator;
    std::uint64_t vmListVersion = 0;
    std::map<std::string, Member> members;
    /// Other alive or suspect members in probe order, which is shuffled after each pass.
    std::vector<std::string> probeOrder;
    std::size_t nextProbeIndex = 0;
    UpdateQueue updateQueue;
    std::map<std::string, core::TimePoint> suspicionDeadlines;
    std::map<std::string, core::TimePoint> removalTimes;
    /// Dead members that another node reported as alive; they are notified so that they can refute their death.
    std::set<std::string> contestedMembers;
    std::optional<PendingProbe> pendingProbe;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    std::uint64_t nextSequence = 1;
    core::TimePoint lastInputTime;
    core::TimePoint lastMessageTime;
    core::TimePoint nextProbeTime;
    core::TimePoint nextJoinTime;
    core::TimePoint joinStartTime;
    core::TimePoint nextSyncTime;
    core::Duration syncInterval;
    core::TimePoint memberListBudgetTime;
    double memberListBudgetBytes;
    bool joined = false;
    bool left = false;
    std::uint64_t rejectedInputs = 0;
};

} // namespace lagoontiller::nodes
