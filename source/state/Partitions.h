#pragma once

#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::state {

/// \brief Id of the root program in a program id: the part before the first `~`, which separates sub-agents.
[[nodiscard]] std::string_view rootId(std::string_view program) noexcept;

/// \brief Key of the root program of `program`; `program` itself when it is not a sub-agent.
[[nodiscard]] core::ProgramKey rootOf(const core::ProgramKey& program);

/// \brief Assigns programs to partitions and partitions to home regions. All nodes must use the same count and regions.
class Partitions {
public:
    /// \brief `count` must be at least 1; 0 is taken as 1. The order of `regions` does not matter.
    Partitions(std::uint32_t count, std::vector<std::string> regions);

    /// \brief Partition of the program's root. An id that starts with `<region>.` gets a partition with that home
    /// region, if the region is known and has one; any other id gets one of all partitions.
    [[nodiscard]] core::PartitionId partitionOf(const core::ProgramKey& program) const noexcept;
    /// \brief Home region of a partition; empty when the deployment has no regions.
    [[nodiscard]] std::string_view homeRegion(core::PartitionId partition) const noexcept;
    [[nodiscard]] std::uint32_t size() const noexcept { return this->count; }
    [[nodiscard]] bool operator==(const Partitions&) const = default;

private:
    std::uint32_t count;
    std::vector<std::string> regions;
};

} // namespace lagoontiller::state
