#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Nodes of the deployment by availability zone, as one node knows them.
struct ZoneMembers {
    /// \brief Name of the node that has this view.
    std::string self;
    std::map<std::string, std::vector<std::string>> nodesByZone;
    [[nodiscard]] bool operator==(const ZoneMembers&) const = default;
};

/// \brief Maximum number of nodes that send calls to an endpoint that takes `perSecond` calls per second.
///
/// A node that keeps to its rate sends at most one call more in any window than its rate allows, so the number of nodes
/// determines by how much the endpoint's limit is exceeded in a short window.
[[nodiscard]] std::size_t maxSharingNodes(double perSecond) noexcept;

/// \brief Calls per second that the node may send to the endpoint; 0 if the limit is shared by other nodes only.
///
/// The limit is divided equally among nodes of the endpoint's zone that rendezvous hashing selects; the nodes of all
/// zones count if that zone has none. No message is needed: nodes with the same view select the same nodes, and a view
/// that lacks or adds one node changes the selection by one node at most.
[[nodiscard]] double rateLimitShare(
    const std::string& endpoint, const std::string& zone, double perSecond, const ZoneMembers& members);

} // namespace lagoontiller::gateway
