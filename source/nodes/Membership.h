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
    std::size_t indirectProbes = 3;
    core::Duration suspicionBase = std::chrono::seconds(2);
    /// \brief Added to the suspicion time per decade of members.
    core::Duration suspicionPerDecade = std::chrono::milliseconds(500);
    core::Duration forgetAfter = std::chrono::hours(1);
    /// \brief A longer gap between two inputs counts as a pause of this process.
    core::Duration resumeGap = std::chrono::seconds(2);
    /// \brief Records per message apart from those of sender and receiver; at 90 bytes each, 4 messages/s stay below
    /// 6 KB/s.
    std::size_t piggybacked = 12;
    /// \brief Random living members added to a message with room, so that lost updates are repaired at constant cost.
    std::size_t refreshed = 2;
    /// \brief Shortest time between two requests for the members that a better informed peer knows. It doubles up to
    /// the longest one while the answers bring nothing new.
    core::Duration syncInterval = std::chrono::milliseconds(500);
    core::Duration longestSyncInterval = std::chrono::seconds(60);
    /// \brief Member lists sent to joining and less informed nodes, in bytes/s and bytes at once.
    double listBytesPerSecond = 8'000;
    double listBytesBurst = 96'000;
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
    Membership(Member self, MembershipSettings settings, Generator& generator, core::TimePoint now);

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
    [[nodiscard]] bool complete(SendMessage& message) const;

    /// \brief Living (alive or suspect), not leaving nodes including this one, in order of name.
    [[nodiscard]] std::vector<Member> living() const;
    /// \brief Names of the other living nodes, leaving ones included, in random order: receivers of pushed versions.
    [[nodiscard]] const std::vector<std::string>& peers() const noexcept { return this->order; }
    /// \brief Alive, not suspected other members; 0 when no message arrived for `resumeGap`.
    [[nodiscard]] std::size_t reachableCount(core::TimePoint now) const;
    [[nodiscard]] std::optional<Member> find(const std::string& node) const;
    /// \brief Whether the node is this one or an alive or suspect member.
    [[nodiscard]] bool isLiving(const std::string& node) const;
    [[nodiscard]] const Member& own() const noexcept { return this->self; }
    /// \brief Whether a whole member list was received since the start and since the last pause, or none within 5 s.
    [[nodiscard]] bool isViewFresh() const noexcept { return this->joined; }
    /// \brief Members in memory, dead ones included.
    [[nodiscard]] std::size_t size() const noexcept { return this->members.size(); }
    /// \brief Updates and messages dropped as invalid.
    [[nodiscard]] std::uint64_t rejectedCount() const noexcept { return this->rejected; }

private:
    struct PendingProbe {
        std::string target;
        std::uint64_t sequence;
        core::TimePoint indirectAt;
        bool indirectSent;
    };
    struct RelayedProbe {
        std::string origin;
        std::uint64_t originSequence;
        std::string target;
        core::TimePoint expires;
    };

    // Membership.cpp
    bool observeTime(core::TimePoint now, MembershipEffects& effects);
    void apply(const wire::MemberUpdate& update, core::TimePoint now, MembershipEffects& effects);
    void applyToSelf(const Member& update, MembershipEffects& effects);
    void store(const Member& record, core::TimePoint now, MembershipEffects& effects);
    void updateTimers(const Member& record, core::TimePoint now);
    void insertIntoOrder(const std::string& node);
    void raiseIncarnation(std::uint64_t above);
    void expire(core::TimePoint now, MembershipEffects& effects);
    [[nodiscard]] core::Duration suspicionTime() const;

    // MembershipProbes.cpp
    void probeNext(core::TimePoint now, MembershipEffects& effects);
    void concludeProbe(core::TimePoint now, MembershipEffects& effects);
    void probeIndirectly(core::TimePoint now, MembershipEffects& effects);
    void probeContested(MembershipEffects& effects);
    void notifySuspects(MembershipEffects& effects);
    void sendNotice(const std::string& node, MembershipEffects& effects);
    void handleProbe(const wire::Envelope& envelope, MembershipEffects& effects);
    void handleProbeRequest(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void handleAcknowledgement(const wire::Envelope& envelope, MembershipEffects& effects);
    void reportSilentLink(const std::string& node, MembershipEffects& effects) const;
    void send(const std::string& node, wire::Envelope envelope, MembershipEffects& effects) const;
    void attachUpdates(const std::string& receiver, google::protobuf::RepeatedPtrField<wire::MemberUpdate>& updates);
    [[nodiscard]] std::vector<std::string> randomPeers(std::size_t count, const std::string& except);

    // MembershipJoins.cpp
    void join(core::TimePoint now, MembershipEffects& effects);
    void retryMissing(MembershipEffects& effects);
    void sendJoin(const std::string& node, const std::string& address, MembershipEffects& effects) const;
    void handleJoin(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void handleJoinReply(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void requestMissing(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects);
    void listHeld(wire::Join& join);
    [[nodiscard]] std::vector<const Member*> membersFor(const wire::Join& join) const;
    [[nodiscard]] std::size_t takeListBudget(std::size_t wanted, core::TimePoint now);

    Member self;
    MembershipSettings settings;
    Generator* generator;
    std::uint64_t vmListVersion = 0;
    std::map<std::string, Member> members;
    /// Living other members in probing order, which is shuffled after each pass.
    std::vector<std::string> order;
    std::size_t nextInOrder = 0;
    UpdateQueue queue;
    std::map<std::string, core::TimePoint> suspicionEnds;
    std::map<std::string, core::TimePoint> forgetAt;
    /// Members held for dead that another node reported as alive; they are told so that they can refute it.
    std::set<std::string> contested;
    std::optional<PendingProbe> pending;
    std::map<std::uint64_t, RelayedProbe> relayed;
    std::uint64_t nextSequence = 1;
    core::TimePoint lastInput;
    core::TimePoint lastHeard;
    core::TimePoint nextProbe;
    core::TimePoint nextJoin;
    core::TimePoint joinStarted;
    core::TimePoint nextSync;
    core::Duration syncDelay;
    core::TimePoint listBudgetAt;
    double listBudget;
    bool joined = false;
    bool left = false;
    std::uint64_t rejected = 0;
};

} // namespace lagoontiller::nodes
