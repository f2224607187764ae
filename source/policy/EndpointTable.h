#pragma once

#include "policy/Types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

/// \brief Properties of an endpoint from the VM list and the document.
struct EndpointSpec {
    std::string name;
    std::string service;
    /// \brief Served models; empty for tool and plain services, whose requests have an empty model.
    std::vector<std::string> models;
    std::string zone;
    std::string region;
    EndpointState state = EndpointState::Live;
    [[nodiscard]] bool operator==(const EndpointSpec&) const = default;
};

/// \brief Fraction of its normal traffic that an endpoint may receive according to its health; 0 while it is ejected.
struct TrafficShare {
    double share = 1;
    /// \brief The next request is the probe that decides whether the endpoint returns to service, so only repeatable
    /// requests may be sent.
    bool probing = false;
    [[nodiscard]] bool operator==(const TrafficShare&) const = default;
};

/// \brief Endpoints that may be chosen for one model of one service, grouped by zone and by region.
struct EndpointPool {
    std::vector<EndpointId> all;
    std::unordered_map<std::uint32_t, std::vector<EndpointId>> byZone;
    std::unordered_map<std::uint32_t, std::vector<EndpointId>> byRegion;
    /// \brief Number of requests sent by this node, decaying exponentially; gives its send rate.
    double recentSends = 0;
    core::TimePoint recentSendsAt {};
};

/// \brief Table of endpoints by small integer ids, with a pool for each model, zone and region from which candidates
/// are sampled at a cost independent of the number of endpoints.
class EndpointTable {
public:
    /// \brief The members that are read for every candidate come first and share one cache line.
    struct alignas(64) Row {
        ServiceId service = 0;
        std::uint32_t zone = 0;
        std::uint32_t region = 0;
        TrafficShare traffic;
        EndpointSpec spec;
    };

    /// \brief Adds an endpoint, or updates the endpoint of the same name. Returns its id.
    EndpointId upsert(const EndpointSpec& spec);
    /// \brief Sets the traffic share of an endpoint; a share of 0 removes it from every pool.
    void setTraffic(EndpointId endpoint, TrafficShare traffic);

    [[nodiscard]] std::optional<EndpointId> find(const std::string& name) const;
    [[nodiscard]] const Row& row(EndpointId endpoint) const { return this->rows[endpoint]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }
    /// \brief Returns the id of a zone or region name, assigning a new one to an unknown name.
    [[nodiscard]] std::uint32_t locationId(const std::string& name);
    /// \brief Returns the id of a zone or region name; empty when no endpoint has used the name.
    [[nodiscard]] std::optional<std::uint32_t> findLocation(const std::string& name) const;
    /// \brief Returns the pool of the model; null when no endpoint with it, in whatever state, was ever added
    /// to the service.
    [[nodiscard]] EndpointPool* pool(const std::string& service, const std::string& model);
    /// \brief Returns whether the endpoint is live, not ejected, and serves the model of the service.
    [[nodiscard]] bool serves(EndpointId endpoint, const std::string& service, const std::string& model) const;

private:
    [[nodiscard]] std::vector<EndpointPool*> poolsOf(const EndpointSpec& spec);
    void addToPools(EndpointId endpoint);
    void removeFromPools(EndpointId endpoint);

    std::vector<Row> rows;
    std::unordered_map<std::string, EndpointId> byName;
    std::unordered_map<std::string, ServiceId> services;
    std::unordered_map<std::string, std::uint32_t> locationIds;
    std::unordered_map<std::string, std::unordered_map<std::string, EndpointPool>> pools;
};

} // namespace lagoontiller::policy
