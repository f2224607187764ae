#pragma once

#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::state {

/// \brief Part of a program id before the first `~`: the program at the root of a tree of sub-agents.
[[nodiscard]] std::string_view rootId(std::string_view program) noexcept;

/// \brief Key of the root program of `program`; equal to `program` when it is no sub-agent.
[[nodiscard]] core::ProgramKey rootOf(const core::ProgramKey& program);

/// \brief Assignment of programs to partitions and of partitions to home regions. All nodes must agree on both inputs.
class Partitions {
public:
    /// \brief Regions may come in any order; they are sorted. `count` must be at least 1.
    Partitions(std::uint32_t count, std::vector<std::string> regions);

    [[nodiscard]] core::PartitionId partitionOf(const core::ProgramKey& program) const noexcept;
    /// \brief Home region of a partition; empty when the deployment has no region.
    [[nodiscard]] std::string_view homeRegion(core::PartitionId partition) const noexcept;
    [[nodiscard]] std::uint32_t size() const noexcept { return this->count; }
    [[nodiscard]] bool operator==(const Partitions&) const = default;

private:
    std::uint32_t count;
    std::vector<std::string> regions;
};

} // namespace lagoontiller::state
