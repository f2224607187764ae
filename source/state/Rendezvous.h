#pragma once

#include "core/Identifiers.h"
#include "state/Partitions.h"

#include <optional>
#include <span>
#include <string>

namespace lagoontiller::state {

/// \brief A node that membership reports as alive.
struct LiveNode {
    std::string name;
    std::string region;
    /// \brief The node is draining: it keeps its partitions until it has handed them over, and takes no others.
    bool leaving = false;
    [[nodiscard]] bool operator==(const LiveNode&) const = default;
};

/// \brief Preferred owner of a partition by rendezvous hashing: the node with the highest score in the partition's home
/// region, or among all nodes when that region has none. All nodes with the same membership view get the same result.
/// When a node joins or leaves, only the partitions that it gains or owned move. Empty when every node is leaving.
[[nodiscard]] std::optional<std::string> preferredOwner(
    const Partitions& partitions, core::PartitionId partition, std::span<const LiveNode> nodes);

} // namespace lagoontiller::state
