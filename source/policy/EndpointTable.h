#pragma once

#include "policy/Types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

/// \brief What the VM list and the document say about an endpoint.
struct EndpointSpec {
    std::string name;
    std::string service;
    /// \brief Served models; empty for tool and plain services, which requests address with an empty model.
    std::vector<std::string> models;
    std::string zone;
    std::string region;
    EndpointState state = EndpointState::Live;
    [[nodiscard]] bool operator==(const EndpointSpec&) const = default;
};

/// \brief Part of its normal traffic that health allows an endpoint; 0 while it is ejected.
struct TrafficShare {
    double share = 1;
    /// \brief The next request decides whether the endpoint returns: only repeatable requests may be sent.
    bool probing = false;
    [[nodiscard]] bool operator==(const TrafficShare&) const = default;
};

/// \brief Endpoints that may be chosen for one model of one service, grouped by place.
struct EndpointPool {
    std::vector<EndpointId> all;
    std::unordered_map<std::uint32_t, std::vector<EndpointId>> byZone;
    std::unordered_map<std::uint32_t, std::vector<EndpointId>> byRegion;
    /// \brief Requests sent recently by this node, decaying exponentially; basis of its send rate.
    double recentSends = 0;
    core::TimePoint recentSendsAt {};
};

/// \brief Endpoints by small integer ids, with the pools that bound the cost of one choice.
class EndpointTable {
public:
    /// \brief Members read for every candidate come first and share one cache line.
    struct alignas(64) Row {
        ServiceId service = 0;
        std::uint32_t zone = 0;
        std::uint32_t region = 0;
        TrafficShare traffic;
        EndpointSpec spec;
    };

    /// \brief Adds the endpoint or applies changes of an endpoint of the same name; returns its id.
    EndpointId upsert(const EndpointSpec& spec);
    /// \brief Applies a health change; a share of 0 takes the endpoint out of every pool.
    void setTraffic(EndpointId endpoint, TrafficShare traffic);

    [[nodiscard]] std::optional<EndpointId> find(const std::string& name) const;
    [[nodiscard]] const Row& row(EndpointId endpoint) const { return this->rows[endpoint]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }
    [[nodiscard]] std::uint32_t locationId(const std::string& name);
    [[nodiscard]] std::optional<std::uint32_t> findLocation(const std::string& name) const;
    [[nodiscard]] EndpointPool* pool(const std::string& service, const std::string& model);
    /// \brief Whether the endpoint is live, not ejected, and serves the model of the service.
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
