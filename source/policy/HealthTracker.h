#pragma once

#include "policy/EndpointTable.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

struct HealthOptions {
    /// \brief Silent connections since the last success that eject an endpoint. A lost endpoint (refused connection,
    /// crash) is ejected by its first failure.
    int silenceLimit = 2;
    /// \brief Failures since the last success that eject an endpoint; `Overloaded` and `Cancelled` do not count.
    int failureLimit = 4;
    /// \brief Duration of the first ejection; each further ejection doubles it up to `maxEjectionTime`.
    core::Duration minEjectionTime = std::chrono::seconds(5);
    core::Duration maxEjectionTime = std::chrono::minutes(5);
    /// \brief Time since the last ejection after which the duration starts from `minEjectionTime` again.
    core::Duration ejectionResetInterval = std::chrono::minutes(10);
    /// \brief Time over which the traffic share of a returning endpoint rises linearly to 1.
    core::Duration slowStartTime = std::chrono::seconds(30);
    /// \brief Traffic share of an endpoint that awaits its probe, and the lowest share during slow start.
    double probeShare = 0.1;
    /// \brief An endpoint is ejected as slow when its normalised latency exceeds this multiple of its service's median.
    double slowLatencyRatio = 3;
    /// \brief Latency samples that an endpoint needs to be compared.
    int minLatencySamples = 8;
    /// \brief Comparable endpoints that a service needs for a median.
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

/// \brief Ejects endpoints that crash, stop responding or are slow, and readmits them after a probe and a slow start.
///
/// At most half of the live endpoints of a service, rounded down, receive no traffic at a time; an endpoint that would
/// exceed this ejection limit goes through a slow start instead. The functions that change state return the changed
/// traffic shares, which the caller passes to `Router::setTraffic`.
class HealthTracker {
public:
    explicit HealthTracker(HealthOptions options = {})
        : options(options)
    {
    }

    /// \brief Applies an entry of the VM list. A leaving or gone endpoint is no longer tracked; it goes through a slow
    /// start if it becomes live again.
    std::vector<HealthChange> upsert(EndpointId endpoint, ServiceId service, EndpointState state, core::TimePoint now);
    /// \brief Records that a request was sent. On a probing endpoint it becomes the probe, and the endpoint receives no
    /// other request until the probe ends.
    std::vector<HealthChange> sent(EndpointId endpoint, core::TimePoint now);
    /// \brief Records a success. The caller normalises `latency` (observed time divided by predicted time) so that
    /// calls of different size are comparable.
    std::vector<HealthChange> succeeded(EndpointId endpoint, double latency, core::TimePoint now);
    /// \brief Records a failure. `Overloaded` and `Cancelled` only end a probe.
    std::vector<HealthChange> failed(EndpointId endpoint, FailureKind kind, core::TimePoint now);
    /// \brief Ejects slow endpoints, ends ejections and raises the shares in slow start. Call about once a second.
    std::vector<HealthChange> tick(core::TimePoint now);

    /// \brief Returns the state of the endpoint; `Ejected` for one that is not tracked.
    [[nodiscard]] HealthState state(EndpointId endpoint) const;
    [[nodiscard]] TrafficShare traffic(EndpointId endpoint, core::TimePoint now) const;
    /// \brief Returns the number of endpoints of the service that receive no traffic, and the number of live endpoints.
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

    /// \brief Returns whether the ejection limit of the service permits that the endpoint receives no traffic.
    [[nodiscard]] bool ejectionAllowed(const Endpoint& endpoint) const;
    void eject(EndpointId id, Endpoint& endpoint, core::TimePoint now);
    /// \brief Moves ejected endpoints of the service to slow start until the ejection limit holds.
    void enforceEjectionLimit(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes);
    void compareLatencies(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes);
    [[nodiscard]] HealthChange trafficChange(EndpointId endpoint, core::TimePoint now) const;

    HealthOptions options;
    std::unordered_map<EndpointId, Endpoint> endpoints;
    std::unordered_map<ServiceId, std::set<EndpointId>> services;
    /// \brief Endpoints that were tracked and have left or gone; bounded by the ids that `EndpointTable` issues.
    std::set<EndpointId> removedEndpoints;
    /// \brief Endpoints in another state than `Healthy`, the only ones whose traffic share changes with time.
    std::set<EndpointId> unhealthy;
};

} // namespace lagoontiller::policy
