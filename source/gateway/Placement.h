#pragma once

#include "gateway/EndpointDirectory.h"
#include "gateway/EndpointRateLimits.h"
#include "policy/Types.h"

namespace lagoontiller::gateway {

/// \brief Location of this node, which determines the network distance to endpoints.
struct NodeLocation {
    std::string zone;
    std::string region;
    /// \brief Region of each availability zone.
    std::map<std::string, std::string> regions;
    /// \brief Ready nodes in this node's zone, this node included; all of them send calls to the same endpoints.
    double readyNodesInZone = 1;
};

/// \brief Work of an engine to read the prompt of a call.
struct PromptWork {
    PromptChain chain;
    double tokensPerMs = 1;
    /// \brief Another node may have sent an earlier turn of the program to the preferred endpoint.
    bool laterTurn = false;
};

/// \brief Inputs to the choice of an endpoint.
struct PlacementRequest {
    std::string service;
    /// \brief Calls with the same key prefer the same endpoint; 0 for no preference.
    std::uint64_t affinityKey = 0;
    /// \brief Expected time saved at the endpoint that has the key's data cached; unused with `prompt`.
    double cacheSavingMs = 0;
    /// \brief Only for services with engines.
    std::optional<PromptWork> prompt {};
    double expectedServiceMs = 100;
    bool repeatable = false;
    std::vector<std::string> excludedEndpoints;
    /// \brief Software versions that may take the call; any if empty.
    std::set<std::string> versions;
};

struct PlacementDecision {
    std::string endpoint;
    std::string address;
    double costMs = 0;
    std::size_t candidates = 0;
    /// \brief Prompt tokens that the endpoint is expected to have cached.
    std::uint64_t cachedTokens = 0;
};

/// \brief Why an endpoint may not take a call now.
enum class Exclusion : int {
    None,
    /// \brief Its entry or one of its responses states that it takes no new calls.
    Draining,
    /// \brief It was ejected, and only calls that may be repeated probe whether it works again.
    Probing,
    OtherVersion,
    /// \brief An earlier attempt of the call was sent to it.
    Tried,
    /// \brief Its rate limit leaves this node no call now.
    RateLimit,
};

/// \brief Parts of the expected cost of a call at an endpoint in milliseconds, without the random ones.
struct EndpointCost {
    double networkMs = 0;
    double loadMs = 0;
    /// \brief For the bytes of requests that the endpoint holds for this node.
    double outstandingMs = 0;
    double promptMs = 0;
    double cacheMissMs = 0;
    /// \brief For an endpoint that recently refused a call as full.
    double fullMs = 0;
    double ejectedMs = 0;
    [[nodiscard]] bool operator==(const EndpointCost&) const = default;

    [[nodiscard]] double total() const noexcept
    {
        return this->networkMs + this->loadMs + this->outstandingMs + this->promptMs + this->cacheMissMs + this->fullMs
            + this->ejectedMs;
    }
    /// \brief Highest random cost that is added to spread calls over equal endpoints.
    static constexpr double spreadMs = 1;
};

/// \brief What the choice of an endpoint knows of one endpoint.
struct EndpointAssessment {
    /// \brief Valid until the endpoint directory changes.
    const TrackedEndpoint* endpoint = nullptr;
    Exclusion exclusion = Exclusion::None;
    /// \brief Zero for an excluded endpoint.
    EndpointCost cost;
    /// \brief Cost that is added at random, because the endpoint takes only a part of its usual calls.
    double randomPenaltyMs = 0;
    /// \brief Prompt tokens that the endpoint is expected to have cached.
    std::uint64_t cachedTokens = 0;
};

/// \brief Assesses the endpoints of the service that are not draining, in the order of their ids.
[[nodiscard]] std::vector<EndpointAssessment> assessEndpoints(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, const NodeLocation& location,
    core::TimePoint now);

/// \brief Chooses the endpoint with the lowest expected cost (network distance, load, cache). Empty when no endpoint
/// may be used now.
[[nodiscard]] std::optional<PlacementDecision> chooseEndpoint(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, const NodeLocation& location,
    core::TimePoint now, policy::Random& random);

/// \brief Endpoints that could take the call but for their rate limits.
struct RateLimitedEndpoints {
    /// \brief Id of the endpoint to which this node may send a call first, and that time; empty if it has no share.
    std::string first;
    std::optional<core::TimePoint> at;
    /// \brief Calls per second that this node may send to all of them.
    double perSecond = 0;
};

/// \brief Empty when no rate limit keeps the call from an endpoint.
[[nodiscard]] std::optional<RateLimitedEndpoints> findRateLimitedEndpoints(const PlacementRequest& request,
    const EndpointDirectory& endpointDirectory, const EndpointRateLimits& rateLimits, core::TimePoint now);

} // namespace lagoontiller::gateway
