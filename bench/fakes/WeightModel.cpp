#include "bench/fakes/WeightModel.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::fakes {

core::Duration WeightModel::lease(std::uint64_t bytes, core::TimePoint now)
{
    const auto start = std::max(this->freeAt, now);
    const auto seconds
        = static_cast<double>(bytes) / static_cast<double>(std::max<std::uint64_t>(this->bytesPerSecond, 1));
    this->freeAt = start + core::Duration(std::llround(seconds * 1e6));
    return start - now;
}

} // namespace lagoontiller::fakes
