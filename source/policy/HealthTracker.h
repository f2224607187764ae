#pragma once

#include "policy/EndpointTable.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

struct HealthOptions {
    /// \brief Consecutive failures that eject: silence, time-outs and server errors. A lost endpoint is ejected at
    /// once.
    int silenceLimit = 2;
    int failureLimit = 4;
    /// \brief First ejection time; each further ejection doubles it.
    core::Duration minEjectionTime = std::chrono::seconds(5);
    core::Duration maxEjectionTime = std::chrono::minutes(5);
    /// \brief Undisturbed time after which the ejection time starts from the first again.
    core::Duration ejectionResetInterval = std::chrono::minutes(10);
    /// \brief Time in which the traffic share of a returning endpoint rises to 1.
    core::Duration slowStartTime = std::chrono::seconds(30);
    double probeShare = 0.1;
    /// \brief An endpoint is slow when its normalised latency exceeds this multiple of its service's median.
    double slowLatencyRatio = 3;
    int minLatencySamples = 8;
    std::size_t minSampledEndpoints = 3;
};

enum class HealthState : int {
    Healthy,
    Ejected,
    Probing,
    SlowStart,
};

struct HealthChange {
    EndpointId endpoint = 0;
    TrafficShare traffic;
    [[nodiscard]] bool operator==(const HealthChange&) const = default;
};

/// \brief Ejects endpoints that crash, fall silent or are slow, and returns them through a probe and a slow start.
///
/// At most half of the live endpoints of a service, rounded down, get no traffic; an endpoint that the bound keeps in
/// service goes through a slow start instead. Every call returns the changed traffic shares for `Router::setTraffic`.
class HealthTracker {
public:
    explicit HealthTracker(HealthOptions options = {})
        : options(options)
    {
    }

    /// \brief Follows the VM list. A leaving or gone endpoint is no longer tracked and starts slowly if it returns.
    std::vector<HealthChange> upsert(EndpointId endpoint, ServiceId service, EndpointState state, core::TimePoint now);
    /// \brief A request was sent; on a probing endpoint it becomes the probe, and no other is sent until it ends.
    std::vector<HealthChange> sent(EndpointId endpoint, core::TimePoint now);
    /// \brief `latency` is normalised by the caller (time per predicted time), so that calls are comparable.
    std::vector<HealthChange> succeeded(EndpointId endpoint, double latency, core::TimePoint now);
    std::vector<HealthChange> failed(EndpointId endpoint, FailureKind kind, core::TimePoint now);
    /// \brief Compares latencies, ends ejections and raises shares in slow start; due about once a second.
    std::vector<HealthChange> tick(core::TimePoint now);

    [[nodiscard]] HealthState state(EndpointId endpoint) const;
    [[nodiscard]] TrafficShare traffic(EndpointId endpoint, core::TimePoint now) const;
    /// \brief Endpoints of the service without traffic, and its live endpoints.
    [[nodiscard]] std::pair<std::size_t, std::size_t> countEjected(ServiceId service) const;

private:
    struct Endpoint {
        ServiceId service = 0;
        HealthState state = HealthState::Healthy;
        core::TimePoint slowStartAt {};
        core::TimePoint ejectedUntil {};
        core::TimePoint lastEjection {};
        int ejections = 0;
        int consecutiveSilences = 0;
        int consecutiveFailures = 0;
        double latency = 0;
        int latencySamples = 0;
        bool probeInFlight = false;

        [[nodiscard]] bool withoutTraffic() const noexcept
        {
            return this->state == HealthState::Ejected || (this->state == HealthState::Probing && this->probeInFlight);
        }
    };

    [[nodiscard]] bool ejectionAllowed(const Endpoint& endpoint) const;
    void eject(EndpointId id, Endpoint& endpoint, core::TimePoint now);
    void enforceEjectionLimit(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes);
    void compareLatencies(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes);
    [[nodiscard]] HealthChange trafficChange(EndpointId endpoint, core::TimePoint now) const;

    HealthOptions options;
    std::unordered_map<EndpointId, Endpoint> endpoints;
    std::unordered_map<ServiceId, std::set<EndpointId>> services;
    /// \brief Endpoints that left; bounded by the ids that `EndpointTable` issues.
    std::set<EndpointId> removedEndpoints;
    /// \brief Endpoints that are not healthy; the only ones whose share changes with time.
    std::set<EndpointId> unhealthy;
};

} // namespace lagoontiller::policy
