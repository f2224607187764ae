#pragma once

#include "nodes/Effects.h"
#include "nodes/VersionGossip.h"

#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Number of nodes per zone that poll the VM list.
constexpr std::size_t pollersPerZone = 3;

/// \brief Returns the names of the nodes that poll the VM list for a zone: its active members with the lowest
/// rendezvous hashes, at most `pollersPerZone`.
[[nodiscard]] std::vector<std::string> vmListPollers(const std::string& zone, const std::vector<Member>& activeMembers);

/// \brief The node now holds a newer version of the VM list.
struct VmListAdopted {
    std::uint64_t version;
    std::string list;
};

using VmListEffect = std::variant<SendMessage, VmListAdopted>;
using VmListEffects = std::vector<VmListEffect>;

/// \brief Distributes the VM list between nodes by gossip, like DocumentGossip but never incrementally. A list larger
/// than `VersionGossipSettings::maxPushBytes` is only announced, and each node fetches it once.
class VmListGossip {
public:
    VmListGossip(VersionGossipSettings settings, RandomGenerator& generator);

    /// \brief Adopts a list that this node polled, and pushes it to random peers. Returns no effects if `version` is
    /// not newer than the held one.
    [[nodiscard]] VmListEffects publish(std::uint64_t version, std::string list, const std::vector<std::string>& peers);
    [[nodiscard]] VmListEffects handle(
        const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now);
    [[nodiscard]] VmListEffects tick(core::TimePoint now);

    [[nodiscard]] std::uint64_t version() const noexcept { return this->gossip.heldVersion(); }
    [[nodiscard]] const std::string& list() const noexcept { return this->currentList; }

private:
    void adopt(std::uint64_t version, std::string list, const std::string& source,
        const std::vector<std::string>& peers, VmListEffects& effects);
    [[nodiscard]] SendMessage makeUpdate(const std::string& peer, bool isAnnouncement) const;
    void requestUpdate(core::TimePoint now, VmListEffects& effects);

    VersionGossip gossip;
    std::string currentList;
};

} // namespace lagoontiller::nodes
