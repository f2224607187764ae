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

/// \brief Times and bounds of the protocol; docs/design.md, section 4.
struct MembershipSettings {
    /// \brief ip:port of nodes through which this one joins; its own address may be among them.
    std::vector<std::string> seeds;
    core::Duration probeInterval = std::chrono::milliseconds(500);
    core::Duration probeTimeout = std::chrono::milliseconds(200);
    std::size_t indirectProbeCount = 3;
    core::Duration baseSuspicionTimeout = std::chrono::seconds(2);
    /// \brief Added to the suspicion time per decade of members.
    core::Duration suspicionTimeoutPerDecade = std::chrono::milliseconds(500);
    core::Duration deadMemberRetention = std::chrono::hours(1);
    /// \brief A longer gap between two inputs counts as a pause of this process.
    core::Duration pauseThreshold = std::chrono::seconds(2);
    /// \brief Records per message apart from those of sender and receiver; at 90 bytes each, 4 messages/s stay below
    /// 6 KB/s.
    std::size_t maxPiggybackedUpdates = 12;
    /// \brief Random living members added to a message with room, so that lost updates are repaired at constant cost.
    std::size_t randomUpdateCount = 2;
    /// \brief Shortest time between two requests for the members that a better informed peer knows. It doubles up to
    /// the longest one while the answers bring nothing new.
    core::Duration minSyncInterval = std::chrono::milliseconds(500);
    core::Duration maxSyncInterval = std::chrono::seconds(60);
    /// \brief Member lists sent to joining and less informed nodes, in bytes/s and bytes at once.
    double memberListBytesPerSecond = 8'000;
    double memberListBurstBytes = 96'000;
    /// \brief Upper bound on known members, against memory exhaustion by faulty peers.
    std::size_t maxMembers = 8192;
};

/// \brief SWIM membership as a state machine: no socket, clock, thread or own random source.
///
/// `tick` must be called at least every 100 ms; messages from other nodes go to `handle`.
class Membership {
public:
    /// \param self Own record. Its incarnation must exceed that of an earlier process of the same name, for example
    /// Unix milliseconds at the start.
    Membership(Member self, MembershipSettings settings, RandomGenerator& generator, core::TimePoint now);

    [[nodiscard]] MembershipEffects tick(core::TimePoint now);
    [[nodiscard]] MembershipEffects handle(const wire::Envelope& envelope, core::TimePoint now);

    /// \brief Marks this node as leaving (or not) and spreads this.
    void setLeaving(bool leaving);
    /// \brief Tells some members that this node has left; it then ignores all input.
    [[nodiscard]] MembershipEffects leave(core::TimePoint now);

    /// \brief Versions that every message carries from now on.
    void setDocumentVersion(std::uint64_t version) noexcept { this->self.documentVersion = version; }
    void setVmListVersion(std::uint64_t version) noexcept { this->vmListVersion = version; }

    /// \brief Fills sender, incarnation, versions and, for a known receiver, the address. False if it is unknown.
    [[nodiscard]] bool fillEnvelope(SendMessage& message) const;

    /// \brief Living (alive or suspect), not leaving nodes including this one, in order of name.
    [[nodiscard]] std::vector<Member> activeMembers() const;
    /// \brief Names of the other living nodes, leaving ones included, in random order: receivers of pushed versions.
    [[nodiscard]] const std::vector<std::string>& peers() const noexcept { return this->probeOrder; }
    /// \brief Alive, not suspected other members; 0 when no message arrived for `pauseThreshold`.
    [[nodiscard]] std::size_t reachableCount(core::TimePoint now) const;
    [[nodiscard]] std::optional<Member> find(const std::string& node) const;
    /// \brief Whether the node is this one or an alive or suspect member.
    [[nodiscard]] bool isLive(const std::string& node) const;
    [[nodiscard]] const Member& localMember() const noexcept { return this->self; }
    /// \brief Whether a whole member list was received since the start and since the last pause, or none within 5 s.
    [[nodiscard]] bool isViewFresh() const noexcept { return this->joined; }
    /// \brief Members in memory, dead ones included.
    [[nodiscard]] std::size_t size() const noexcept { return this->members.size(); }
    /// \brief Updates and messages dropped as invalid.
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
    /// Living other members in probing order, which is shuffled after each pass.
    std::vector<std::string> probeOrder;
    std::size_t nextProbeIndex = 0;
    UpdateQueue updateQueue;
    std::map<std::string, core::TimePoint> suspicionDeadlines;
    std::map<std::string, core::TimePoint> removalTimes;
    /// Members held for dead that another node reported as alive; they are told so that they can refute it.
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
