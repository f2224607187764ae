#pragma once

#include "gateway/EndpointDirectory.h"
#include "policy/Types.h"

namespace lagoontiller::gateway {

/// \brief Where this node is, for the distance to endpoints.
struct NodeLocation {
    std::string zone;
    std::string region;
    /// \brief Region of each availability zone.
    std::map<std::string, std::string> regions;
    /// \brief Nodes of this node's zone that send calls to the same endpoints, this one included.
    double readyNodesInZone = 1;
};

/// \brief What the choice of an endpoint depends on.
struct PlacementRequest {
    std::string service;
    /// \brief Calls with the same key prefer the same endpoint; 0 means no preference.
    std::uint64_t affinityKey = 0;
    /// \brief Time that is saved where the key's data is cached.
    double cacheSavingMs = 0;
    /// \brief Expected service time.
    double expectedServiceMs = 100;
    bool repeatable = false;
    std::vector<std::string> excludedEndpoints;
};

struct PlacementDecision {
    std::string endpoint;
    std::string address;
    double costMs = 0;
    std::size_t candidates = 0;
};

/// \brief Chooses the endpoint with the least expected time: distance, load and cache. Nothing when none may be used.
[[nodiscard]] std::optional<PlacementDecision> chooseEndpoint(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const NodeLocation& location, core::TimePoint now,
    policy::Random& random);

} // namespace lagoontiller::gateway
