#include "state/Partitions.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::state {

std::string_view rootId(std::string_view program) noexcept
{
    return program.substr(0, program.find('~'));
}

core::ProgramKey rootOf(const core::ProgramKey& program)
{
    return { program.customer, std::string(rootId(program.program)) };
}

Partitions::Partitions(std::uint32_t count, std::vector<std::string> regions)
    : count(std::max<std::uint32_t>(count, 1))
    , regions(std::move(regions))
{
    std::sort(this->regions.begin(), this->regions.end());
}

core::PartitionId Partitions::partitionOf(const core::ProgramKey& program) const noexcept
{
    const auto root = rootId(program.program);
    // Seeded with the customer, so that equal program ids of different customers get independent partitions.
    const auto hash = core::hash64(root, core::hash64(program.customer));
    const auto dot = root.find('.');
    const auto globalPartition = static_cast<core::PartitionId>(hash % this->count);
    if (dot == std::string_view::npos) {
        return globalPartition;
    }
    const auto found = std::lower_bound(this->regions.begin(), this->regions.end(), root.substr(0, dot));
    if (found == this->regions.end() || *found != root.substr(0, dot)) {
        return globalPartition;
    }
    const auto index = static_cast<std::uint32_t>(found - this->regions.begin());
    if (index >= this->count) {
        return globalPartition; // There are fewer partitions than regions, and this region has none.
    }
    const auto stride = static_cast<std::uint32_t>(this->regions.size());
    const auto regionPartitions = (this->count - index + stride - 1) / stride;
    return index + static_cast<core::PartitionId>(hash % regionPartitions) * stride;
}

std::string_view Partitions::homeRegion(core::PartitionId partition) const noexcept
{
    if (this->regions.empty()) {
        return {};
    }
    return this->regions[partition % this->regions.size()];
}

} // namespace lagoontiller::state
