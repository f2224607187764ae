#include "gateway/FormerRoutes.h"

#include "gateway/RouteTable.h"

#include <algorithm>
#include <map>

namespace lagoontiller::gateway {

namespace {

/// \brief Longer than any stream can be resumed.
constexpr core::Duration retention = std::chrono::minutes(10);

/// \brief Whether a call that matches one of the routes can match the other one: a longer prefix takes calls from a
/// shorter one, and returns them when it is removed.
bool overlap(const Route& first, const Route& second)
{
    return first.host == second.host
        && (first.pathPrefix.starts_with(second.pathPrefix) || second.pathPrefix.starts_with(first.pathPrefix));
}

void addServices(std::set<std::string>& services, const Route& route, std::optional<std::uint64_t> key)
{
    if (route.services.empty())
        return;
    if (key) {
        services.insert(chooseService(route, *key));
        return;
    }
    for (const auto& each : route.services)
        services.insert(each.service);
}

} // namespace

void FormerRoutes::replace(const Configuration& previous, const Configuration& next, core::TimePoint now)
{
    for (auto* former : { &this->routes, &this->slowerRoutes }) {
        while (!former->empty() && now - former->front().replacedAt > retention)
            former->pop_front();
    }
    std::map<std::pair<std::string_view, std::string_view>, const Route*> remaining;
    for (const auto& route : next.routes)
        remaining[{ route.host, route.pathPrefix }] = &route;
    for (const auto& route : previous.routes) {
        const auto found = remaining.find({ route.host, route.pathPrefix });
        if (found == remaining.end() || found->second->services != route.services)
            this->routes.push_back({ route, now });
        else if (found->second->timeout < route.timeout)
            this->slowerRoutes.push_back({ route, now });
    }
    const RouteTable before(previous.routes);
    for (const auto& route : next.routes) {
        const auto covering = before.find(route.host, route.pathPrefix);
        if (covering && covering->pathPrefix != route.pathPrefix)
            this->routes.push_back({ *covering, now });
    }
}

core::Duration FormerRoutes::longestTimeout(const Route& route, core::TimePoint now) const
{
    auto longest = route.timeout;
    for (const auto* former : { &this->routes, &this->slowerRoutes }) {
        for (const auto& each : *former) {
            if (now - each.replacedAt <= retention && overlap(each.route, route))
                longest = std::max(longest, each.route.timeout);
        }
    }
    return longest;
}

bool FormerRoutes::changedWithin(const Route& route, core::Duration window, core::TimePoint now) const
{
    return std::any_of(this->routes.begin(), this->routes.end(),
        [&](const auto& former) { return now - former.replacedAt <= window && overlap(former.route, route); });
}

std::set<std::string> FormerRoutes::servicesWithin(
    const Route& route, std::optional<std::uint64_t> key, core::Duration window, core::TimePoint now) const
{
    std::set<std::string> services;
    addServices(services, route, key);
    for (const auto& former : this->routes) {
        if (now - former.replacedAt <= window && overlap(former.route, route))
            addServices(services, former.route, key);
    }
    return services;
}

} // namespace lagoontiller::gateway
