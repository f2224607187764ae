#pragma once

#include "nodes/Effects.h"
#include "nodes/VersionGossip.h"

#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Nodes per zone that poll the VM list.
constexpr std::size_t pollersPerZone = 3;

/// \brief Names of the nodes that poll the VM list for a zone: those of its living nodes with the lowest rendezvous
/// hash.
[[nodiscard]] std::vector<std::string> vmListPollers(const std::string& zone, const std::vector<Member>& activeMembers);

/// \brief A higher list version than before is held now.
struct VmListAdopted {
    std::uint64_t version;
    std::string list;
};

using VmListEffect = std::variant<SendMessage, VmListAdopted>;
using VmListEffects = std::vector<VmListEffect>;

/// \brief Spread of the VM list, as DocumentGossip but always whole: announced when large, and fetched once per node.
class VmListGossip {
public:
    VmListGossip(VersionGossipSettings settings, RandomGenerator& generator);

    /// \brief Takes a list that this node polled. An older or equal version has no effect.
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
