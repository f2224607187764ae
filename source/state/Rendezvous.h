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
    /// \brief A leaving node keeps its partitions until it hands them over and takes no others.
    bool leaving = false;
    [[nodiscard]] bool operator==(const LiveNode&) const = default;
};

/// \brief Owner that every node with the same view prefers: the highest rendezvous score among the nodes of the
/// partition's home region, or among all nodes when the region has none. A node that joins or dies moves only the
/// partitions that it gains or held. Empty when no node may take partitions.
[[nodiscard]] std::optional<std::string> preferredOwner(
    const Partitions& partitions, core::PartitionId partition, std::span<const LiveNode> nodes);

} // namespace lagoontiller::state
