#include "gateway/RouteTable.h"

namespace lagoontiller::gateway {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    return key.append("\n").append(prefix);
}

} // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    for (const auto& route : routes)
        this->routes.insert_or_assign(routeKey(route.host, route.pathPrefix), std::make_shared<const Route>(route));
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view path) const
{
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = this->routes.find(routeKey(host, path.substr(0, end + 1)));
        if (found != this->routes.end())
            return found->second;
        if (end == 0)
            return nullptr;
    }
    return nullptr;
}

const std::string& chooseService(const Route& route, std::uint64_t key) noexcept
{
    double total = 0;
    for (const auto& each : route.services)
        total += each.weight;
    double point = static_cast<double>(key >> 11U) * 0x1.0p-53 * total;
    for (const auto& each : route.services) {
        if (point < each.weight)
            return each.service;
        point -= each.weight;
    }
    return route.services.back().service;
}

std::optional<std::string> placementId(const Call& call)
{
    if (!call.program.empty())
        return call.program;
    if (!call.lastEvent)
        return call.scopedId();
    return call.resumedStream.empty() ? std::nullopt : std::optional(call.resumedStream);
}

} // namespace lagoontiller::gateway
