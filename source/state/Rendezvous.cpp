#include "state/Rendezvous.h"

#include "core/Hash.h"

#include <tuple>

namespace lagoontiller::state {

std::optional<std::string> preferredOwner(
    const Partitions& partitions, core::PartitionId partition, std::span<const LiveNode> nodes)
{
    const auto home = partitions.homeRegion(partition);
    const LiveNode* best = nullptr;
    std::tuple<bool, std::uint64_t, std::string_view> bestRank;
    for (const auto& node : nodes) {
        if (node.leaving) {
            continue;
        }
        const auto score = core::combine(core::hash64(node.name), partition);
        const std::tuple<bool, std::uint64_t, std::string_view> rank(node.region == home, score, node.name);
        if (best == nullptr || rank > bestRank) {
            best = &node;
            bestRank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->name);
}

} // namespace lagoontiller::state
