#include "gateway/RateLimitShare.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Number of calls by which the sharing nodes together may be ahead of a very low limit.
constexpr double minBurstCalls = 4;
/// \brief Longest interval between the calls of a sharing node in seconds, where the limit allows it; nodes that send
/// more rarely learn late that the limit has changed.
constexpr double maxSendIntervalSeconds = 5;
/// \brief Limits above this value are shared like this one.
constexpr double maxSharingRate = 1'000;

} // namespace

std::size_t maxSharingNodes(double perSecond) noexcept
{
    const auto rate = std::clamp(perSecond, 0.0, maxSharingRate);
    return static_cast<std::size_t>(std::max(1.0, std::min(minBurstCalls + rate, maxSendIntervalSeconds * rate)));
}

double rateLimitShare(
    const std::string& endpoint, const std::string& zone, double perSecond, const ZoneMembers& members)
{
    const auto endpointHash = core::hash64(endpoint);
    const auto score
        = [endpointHash](const std::string& node) { return core::combine(endpointHash, core::hash64(node)); };
    const auto own = score(members.self);
    std::size_t nodes = 0;
    std::size_t before = 0;
    bool included = false;
    const auto count = [&](const std::vector<std::string>& names) {
        for (const auto& name : names) {
            ++nodes;
            included = included || name == members.self;
            const auto other = score(name);
            before += other > own || (other == own && name < members.self) ? 1 : 0;
        }
    };
    if (const auto found = members.nodesByZone.find(zone); found != members.nodesByZone.end())
        count(found->second);
    if (nodes == 0) {
        for (const auto& [name, names] : members.nodesByZone)
            count(names);
    }
    if (nodes == 0)
        return perSecond;
    const auto sharing = std::min(nodes, maxSharingNodes(perSecond));
    return included && before < sharing ? perSecond / static_cast<double>(sharing) : 0;
}

} // namespace lagoontiller::gateway
