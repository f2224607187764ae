#pragma once

#include "gateway/PrefillBacklog.h"
#include "gateway/Types.h"
#include "policy/HealthTracker.h"

#include <map>
#include <set>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief An endpoint with its load and health as observed by this node.
struct TrackedEndpoint {
    Endpoint entry;
    policy::EndpointId healthId = 0;
    policy::TrafficShare traffic;
    /// \brief Calls of this node that are in progress at the endpoint.
    std::uint32_t inFlight = 0;
    /// \brief Bytes of the requests of this node that are in progress at the endpoint.
    std::shared_ptr<std::size_t> outstandingBytes = std::make_shared<std::size_t>(0);
    /// \brief Time until which the endpoint counts as full after refusing a call.
    core::TimePoint fullUntil {};
    /// \brief Consecutive refusals since the last successful call.
    int refusals = 0;
    /// \brief A response of this process stated that it is shutting down.
    bool leaving = false;
    /// \brief Prompts of this node's calls at the endpoint; calls in progress share it, and a restarted process begins
    /// with an empty one.
    std::shared_ptr<PrefillBacklog> prompts = std::make_shared<PrefillBacklog>();
};

/// \brief Endpoints of all services with their load and health as observed by this node.
class EndpointDirectory {
public:
    explicit EndpointDirectory(policy::HealthOptions options);

    /// \brief Adds or updates an endpoint. A changed address or start time counts as a restart and resets its state.
    void upsert(const Endpoint& entry, core::TimePoint now);
    /// \brief Removes the endpoint; does nothing if it is unknown.
    void remove(const std::string& id, core::TimePoint now);

    /// \brief The endpoint; null if it is unknown.
    [[nodiscard]] const TrackedEndpoint* find(const std::string& id) const;
    /// \brief Sorted ids of the service's endpoints that are not draining; empty for an unknown service.
    [[nodiscard]] const std::vector<std::string>& servingEndpoints(const std::string& service) const;

    /// \brief Sorted ids of all endpoints of the service, draining ones included; visits all endpoints.
    [[nodiscard]] std::vector<std::string> allEndpoints(const std::string& service) const;

    /// \brief Number of endpoints that are not draining, of all services.
    [[nodiscard]] std::size_t servingCount() const noexcept;
    /// \brief Those endpoints.
    [[nodiscard]] std::vector<const TrackedEndpoint*> allServing() const;

    /// \brief Software versions of all known endpoints of the service.
    [[nodiscard]] std::set<std::string> versions(const std::string& service) const;

    /// \brief Records the start of a call. Reports for unknown endpoints are ignored here and below.
    void callSent(const std::string& id, core::TimePoint now);
    /// \brief Counts the bytes of a request as outstanding at the endpoint until the returned object is destroyed; null
    /// if the endpoint is unknown. A process that replaces the endpoint's begins without outstanding bytes.
    [[nodiscard]] std::shared_ptr<void> holdBytes(const std::string& id, std::size_t bytes);
    /// \brief Records a successful call; `relativeLatency` is its duration divided by the typical duration of such
    /// calls.
    void callSucceeded(const std::string& id, double relativeLatency, core::TimePoint now);
    void callFailed(const std::string& id, policy::FailureKind kind, core::TimePoint now);
    /// \brief Records a failure of the endpoint after its call has been recorded as ended.
    void recordFailure(const std::string& id, policy::FailureKind kind, core::TimePoint now);
    /// \brief Records a call that the endpoint refused without executing it.
    void callRefused(const std::string& id, core::TimePoint now);
    /// \brief Takes the process that started at `startedAt` (Unix milliseconds) out of service, whatever its entry
    /// states, also while it is missing and after it has returned. A process that has replaced it since is not
    /// affected.
    void markLeaving(const std::string& id, std::int64_t startedAt, core::TimePoint now);
    /// \brief Records a call that was cancelled by this node or by its caller.
    void callAbandoned(const std::string& id);
    /// \brief Updates the traffic shares as time passes; call periodically.
    void tick(core::TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->endpoints.size(); }

private:
    /// \brief Applies the entry and the leaving mark to health and to the list of serving endpoints.
    void updateState(const TrackedEndpoint& endpoint, core::TimePoint now);
    void applyHealthChanges(const std::vector<policy::HealthChange>& changes);
    /// \brief Adds the endpoint to the service's sorted list, or removes it.
    void setServing(const std::string& service, const std::string& id, bool serving);
    [[nodiscard]] bool isLeaving(const Endpoint& entry) const;
    [[nodiscard]] policy::ServiceId serviceId(const std::string& service);
    /// \brief Decrements the calls in progress; null if the endpoint is unknown.
    TrackedEndpoint* callEnded(const std::string& id);

    policy::HealthTracker health;
    std::unordered_map<std::string, TrackedEndpoint> endpoints;
    std::unordered_map<policy::EndpointId, std::string> byHealthId;
    std::map<std::string, std::vector<std::string>> services;
    std::unordered_map<std::string, policy::ServiceId> serviceIds;
    policy::EndpointId lastHealthId = 0;
    /// \brief Processes that stated that they are leaving, by endpoint id and start time, and when.
    std::map<std::pair<std::string, std::int64_t>, core::TimePoint> leavingProcesses;
};

} // namespace lagoontiller::gateway
