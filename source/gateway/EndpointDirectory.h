#pragma once

#include "gateway/Types.h"
#include "policy/HealthTracker.h"

#include <map>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief An endpoint with what this node knows of it.
struct TrackedEndpoint {
    Endpoint entry;
    policy::EndpointId healthId = 0;
    policy::TrafficShare traffic;
    /// \brief Calls of this node in progress there.
    std::uint32_t inFlight = 0;
    /// \brief Until when the endpoint counts as full, after it refused a call.
    core::TimePoint fullUntil {};
    /// \brief Refusals since the last answer.
    int refusals = 0;
};

/// \brief The endpoints of all services, their load and health as seen by this node.
class EndpointDirectory {
public:
    explicit EndpointDirectory(policy::HealthOptions options);

    void upsert(const Endpoint& entry, core::TimePoint now);
    void remove(const std::string& id, core::TimePoint now);

    [[nodiscard]] const TrackedEndpoint* find(const std::string& id) const;
    /// \brief Ids of the service's endpoints that are not draining.
    [[nodiscard]] const std::vector<std::string>& servingEndpoints(const std::string& service) const;

    void callSent(const std::string& id, core::TimePoint now);
    /// \brief A call ended; `relativeLatency` is its time by the usual one.
    void callSucceeded(const std::string& id, double relativeLatency, core::TimePoint now);
    void callFailed(const std::string& id, policy::FailureKind kind, core::TimePoint now);
    /// \brief The endpoint refused the call without running it.
    void callRefused(const std::string& id, core::TimePoint now);
    /// \brief The call was given up by this node or its caller.
    void callAbandoned(const std::string& id);
    void tick(core::TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return this->endpoints.size(); }

private:
    void applyHealthChanges(const std::vector<policy::HealthChange>& changes);
    /// \brief Adds the endpoint to the service's list, or takes it out; the list stays sorted.
    void setServing(const std::string& service, const std::string& id, bool serving);
    [[nodiscard]] policy::ServiceId serviceId(const std::string& service);
    TrackedEndpoint* callEnded(const std::string& id);

    policy::HealthTracker health;
    std::unordered_map<std::string, TrackedEndpoint> endpoints;
    std::unordered_map<policy::EndpointId, std::string> byHealthId;
    std::map<std::string, std::vector<std::string>> services;
    std::unordered_map<std::string, policy::ServiceId> serviceIds;
    policy::EndpointId lastHealthId = 0;
};

} // namespace lagoontiller::gateway
