#pragma once

#include "core/Error.h"
#include "policy/EndpointTable.h"
#include "policy/LoadEstimate.h"
#include "policy/PrefixDirectory.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

struct RouterOptions {
    double zoneDistanceMs = 1;
    double regionDistanceMs = 10;
    double regionLinkBytesPerMs = 12'500;
    /// \brief Price of billed cross-region traffic in milliseconds of recomputation per megabyte.
    double billedMsPerMegabyte = 100;
    double prefillTokensPerMs = 8;
    double msPerGeneratedToken = 36;
    /// \brief Part of `msPerGeneratedToken` that every other running call adds.
    double batchSlowdown = 0.05;
    /// \brief Other calls that wait while an endpoint with full slots recomputes a prompt.
    double callsDelayedByRecompute = 8;
    /// \brief Calls that an endpoint serves at once.
    double slotsPerEndpoint = 16;
    /// \brief Mean time of a call of a service of which none has finished yet.
    double initialCallMs = 1'000;
    std::size_t maxPrefixes = 65'536;
    /// \brief Nodes that choose among the same endpoints, this one included.
    double routingNodes = 1;
    /// \brief Send rate assumed for every decider before one was observed, per second and pool.
    double initialSendsPerSecond = 1;
};

struct RouteRequest {
    std::string service;
    std::string model;
    std::string zone;
    std::string region;
    PrefixKey prefix = 0;
    /// \brief Prefix of the parent program or of a common prompt; 0 means none.
    PrefixKey sharedPrefix = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0;
    std::uint64_t requestBytes = 0;
    std::uint64_t responseBytes = 0;
    double latencyWeight = 1;
    double wastedCacheWeight = 1;
    bool repeatable = true;
    std::vector<EndpointId> excluded;
};

struct RouteDecision {
    EndpointId endpoint = 0;
    /// \brief Weighted cost in milliseconds.
    double cost = 0;
    double queueMs = 0;
    double firstTokenMs = 0;
    double cachedTokens = 0;
    std::uint32_t candidates = 0;
    bool crossRegion = false;
    [[nodiscard]] bool operator==(const RouteDecision&) const = default;
};

/// \brief A call as it was sent to an endpoint.
struct SentCall {
    EndpointId endpoint = 0;
    PrefixKey prefix = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0;
    /// \brief `cachedTokens` of the decision.
    double cachedTokens = 0;
};

struct Usage {
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint32_t cachedTokens = 0;
};

/// \brief Chooses the endpoint of each call among at most 16 candidates.
///
/// Candidates are the endpoints believed to hold the prefix and random picks from the zone, the region and elsewhere.
/// The choice is drawn by water-filling: the calls that the other deciders are expected to send before the next report
/// are spread over the cheapest candidates, and an endpoint is drawn in proportion to its part. With one decider or a
/// fresh report this is the cheapest candidate; with many deciders on one lagged report they do not all pick the same.
class Router {
public:
    static constexpr std::size_t maxCandidates = 16;

    explicit Router(RouterOptions options = {});

    EndpointId upsert(const EndpointSpec& spec);
    void setTraffic(EndpointId endpoint, TrafficShare traffic);
    void setRoutingNodes(double nodes) noexcept { this->options.routingNodes = nodes; }

    void sent(CallId call, const SentCall& sent, core::TimePoint now);
    void firstToken(CallId call, core::TimePoint now);
    void finished(CallId call, const Usage& usage, core::TimePoint now);
    void failed(CallId call, FailureKind kind, core::TimePoint now);
    void report(EndpointId endpoint, const LoadReport& report);
    void cacheEvent(EndpointId endpoint, const CacheEvent& event);
    void released(PrefixKey program);

    /// \brief Fails with `UnknownService`, `UnknownModel` or `NoEndpoint`.
    [[nodiscard]] core::Expected<RouteDecision> choose(
        const RouteRequest& request, core::TimePoint now, Random& random);

    [[nodiscard]] const EndpointTable& endpoints() const noexcept { return this->table; }
    [[nodiscard]] const LoadEstimate& load(EndpointId endpoint) const { return this->loads[endpoint].estimate; }
    /// \brief Expected tokens of the prefix in the endpoint's cache.
    [[nodiscard]] double cachedTokens(PrefixKey prefix, EndpointId endpoint) const;
    [[nodiscard]] std::size_t callsInFlight() const noexcept { return this->calls.size(); }

private:
    /// \brief Members read for every candidate share the first cache line with the counts of the estimate.
    struct alignas(64) EndpointLoad {
        /// \brief Prompt tokens sent by this node that have not produced a first token.
        double pendingPrefillTokens = 0;
        /// \brief Observed call time relative to the prediction.
        double slowdownRatio = 1;
        LoadEstimate estimate;
    };
    struct ServiceLoad {
        double otherRequestsSum = 0;
        std::uint32_t reportingEndpoints = 0;
        double meanCallMs = 0;
    };
    struct InFlightCall {
        SentCall sent;
        core::TimePoint sentAt {};
        double queueMs = 0;
        bool prefillDone = false;
    };
    struct Candidate {
        EndpointId endpoint = 0;
        double cachedTokens = 0;
        double queueMs = 0;
        double firstTokenMs = 0;
        double cost = 0;
        bool crossRegion = false;
    };
    struct Candidates;

    void collectHolders(const RouteRequest& request, Candidates& candidates, Random& random) const;
    void collectSamples(
        const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const;
    void collectFallback(
        const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const;
    [[nodiscard]] bool isEligible(EndpointId endpoint, const RouteRequest& request) const;
    void addCandidate(EndpointId endpoint, const RouteRequest& request, Candidates& candidates, Random& random) const;
    void computeCosts(const RouteRequest& request, Candidates& candidates, core::TimePoint now) const;
    [[nodiscard]] double expectedRequests(EndpointId endpoint, core::TimePoint now) const;
    [[nodiscard]] double queueMs(EndpointId endpoint, core::TimePoint now) const;
    [[nodiscard]] double competingWork(
        const RouteRequest& request, EndpointPool& pool, const Candidates& candidates, core::TimePoint now) const;
    void endPrefill(InFlightCall& call);
    void updateEstimates(const InFlightCall& call, const Usage& usage, core::TimePoint now);

    RouterOptions options;
    EndpointTable table;
    PrefixDirectory prefixes;
    std::vector<EndpointLoad> loads;
    std::vector<ServiceLoad> services;
    std::unordered_map<CallId, InFlightCall> calls;
};

/// \brief Spreads `work` over the costs, cheapest first, up to one level, and draws an index in proportion to the part
/// each received. `costs` must not be empty.
[[nodiscard]] std::size_t drawByWaterFilling(std::span<const double> costs, double work, Random& random);

} // namespace lagoontiller::policy
