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
    /// \brief Added latency of an endpoint in another zone of the region.
    double zoneDistanceMs = 1;
    /// \brief Added latency of an endpoint in another region.
    double regionDistanceMs = 10;
    double regionLinkBytesPerMs = 12'500;
    /// \brief Price of billed cross-region traffic in milliseconds of recomputation per megabyte.
    double billedMsPerMegabyte = 100;
    double prefillTokensPerMs = 8;
    double msPerGeneratedToken = 36;
    /// \brief Fraction of the time of a call that every other call running on the endpoint adds to it.
    double batchSlowdown = 0.05;
    /// \brief Number of other calls that are delayed while an endpoint with full slots recomputes a prompt.
    double callsDelayedByRecompute = 8;
    /// \brief Calls that an endpoint serves concurrently.
    double slotsPerEndpoint = 16;
    /// \brief Initial value of the mean call time of a service.
    double initialCallMs = 1'000;
    std::size_t maxPrefixes = 65'536;
    /// \brief Number of nodes that choose among the same endpoints, including this one.
    double routingNodes = 1;
    /// \brief Send rate per second and pool that is assumed for every node before this node has sent a call.
    double initialSendsPerSecond = 1;
};

/// \brief Properties of a call by which its endpoint is chosen.
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
    /// \brief Endpoints that must not be chosen.
    std::vector<EndpointId> excluded;
};

/// \brief Chosen endpoint with its predicted times and cached tokens.
struct RouteDecision {
    EndpointId endpoint = 0;
    /// \brief Weighted cost in milliseconds.
    double cost = 0;
    double queueMs = 0;
    double firstTokenMs = 0;
    double cachedTokens = 0;
    /// \brief Number of candidates from which the endpoint was chosen.
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
/// Candidates are the endpoints that are expected to cache the prefix, and random samples of the zone, the region and
/// the whole pool. The choice is drawn by water-filling: the calls that the other nodes are expected to have sent since
/// the last load report are spread over the cheapest candidates, and each candidate is drawn with a probability
/// proportional to its allocation. With a single node or a fresh report this is the cheapest candidate; with many nodes
/// and an old report it keeps the nodes from all choosing the same endpoint.
class Router {
public:
    static constexpr std::size_t maxCandidates = 16;

    explicit Router(RouterOptions options = {});

    /// \brief Adds or updates an endpoint. `EndpointState::Gone` also forgets its cached prefixes.
    EndpointId upsert(const EndpointSpec& spec);
    void setTraffic(EndpointId endpoint, TrafficShare traffic);
    void setRoutingNodes(double nodes) noexcept { this->options.routingNodes = nodes; }

    /// \brief Records that a call was sent to an endpoint. The call counts as load until `finished` or `failed`.
    void sent(CallId call, const SentCall& sent, core::TimePoint now);
    void firstToken(CallId call, core::TimePoint now);
    void finished(CallId call, const Usage& usage, core::TimePoint now);
    void failed(CallId call, FailureKind kind, core::TimePoint now);
    void report(EndpointId endpoint, const LoadReport& report);
    void cacheEvent(EndpointId endpoint, const CacheEvent& event);
    /// \brief Records that no endpoint caches the prefix any more or that it is no longer needed.
    void released(PrefixKey program);

    /// \brief Chooses the endpoint of a call. Fails with `UnknownModel` when no endpoint of the service with the model,
    /// in whatever state, was ever added, and with `NoEndpoint` when none is available now.
    [[nodiscard]] core::Expected<RouteDecision> choose(
        const RouteRequest& request, core::TimePoint now, Random& random);

    [[nodiscard]] const EndpointTable& endpoints() const noexcept { return this->table; }
    [[nodiscard]] const LoadEstimate& load(EndpointId endpoint) const { return this->loads[endpoint].estimate; }
    /// \brief Returns the expected number of tokens of the prefix in the endpoint's cache; 0 for an unknown prefix.
    [[nodiscard]] double cachedTokens(PrefixKey prefix, EndpointId endpoint) const;
    [[nodiscard]] std::size_t callsInFlight() const noexcept { return this->calls.size(); }

private:
    /// \brief The members that are read for every candidate share the first cache line with the counts of the estimate.
    struct alignas(64) EndpointLoad {
        /// \brief Uncached prompt tokens of calls of this node that have not returned a first token.
        double pendingPrefillTokens = 0;
        /// \brief Smoothed ratio of the observed to the predicted call time.
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

    /// \brief Adds the endpoints that are expected to cache the prefix or the shared prefix.
    void collectHolders(const RouteRequest& request, Candidates& candidates, Random& random) const;
    /// \brief Adds all endpoints of a small pool, or random samples of the zone, the region and the pool.
    void collectSamples(
        const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const;
    /// \brief Adds eligible endpoints of the pool without regard to their traffic shares.
    void collectFallback(
        const RouteRequest& request, const EndpointPool& pool, Candidates& candidates, Random& random) const;
    /// \brief Returns whether the endpoint is not excluded and, if it awaits a probe, the request is repeatable.
    [[nodiscard]] bool isEligible(EndpointId endpoint, const RouteRequest& request) const;
    /// \brief Adds an eligible endpoint with a probability equal to its traffic share.
    void addCandidate(EndpointId endpoint, const RouteRequest& request, Candidates& candidates, Random& random) const;
    void computeCosts(const RouteRequest& request, Candidates& candidates, core::TimePoint now) const;
    [[nodiscard]] double expectedRequests(EndpointId endpoint, core::TimePoint now) const;
    /// \brief Returns the expected time until the endpoint starts to process a new call, in milliseconds.
    [[nodiscard]] double queueMs(EndpointId endpoint, core::TimePoint now) const;
    /// \brief Returns the expected cost, in milliseconds, that unreported calls of other nodes add to the candidates.
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

/// \brief Distributes `work` over the lowest costs so that they rise to a common level, and returns an index drawn with
/// a probability proportional to the work allocated to it. `costs` must hold 1 to `Router::maxCandidates` values.
[[nodiscard]] std::size_t drawByWaterFilling(std::span<const double> costs, double work, Random& random);

} // namespace lagoontiller::policy
