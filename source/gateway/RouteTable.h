#pragma once

#include "gateway/Types.h"

#include <string_view>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Routes of one configuration by host and path; a lookup needs one hash per path segment.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route>& routes);

    /// \brief The route of the host with the longest matching path prefix; null if there is none.
    [[nodiscard]] std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;

private:
    /// \brief Key: host, line feed, path prefix.
    std::unordered_map<std::string, std::shared_ptr<const Route>> routes;
};

/// \brief Chooses a service in proportion to the weights of the route; deterministic, so that equal keys get the same
/// service. The route must have a service.
[[nodiscard]] const std::string& chooseService(const Route& route, std::uint64_t key) noexcept;

/// \brief Id that selects one of the services of a route; a resumption has that of the call that began the stream.
/// Empty if it is not known.
[[nodiscard]] std::optional<std::string> placementId(const Call& call);

} // namespace lagoontiller::gateway
