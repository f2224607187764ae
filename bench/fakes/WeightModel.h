#pragma once

#include "core/Time.h"

#include <cstdint>

namespace lagoontiller::fakes {

/// \brief Weight store with a fixed transfer rate; leases are transferred one after another.
class WeightModel {
public:
    explicit WeightModel(std::uint64_t bytesPerSecond)
        : bytesPerSecond(bytesPerSecond)
    {
    }

    /// \brief Queues a transfer of `bytes` and returns the delay until it may start.
    [[nodiscard]] core::Duration lease(std::uint64_t bytes, core::TimePoint now);

private:
    std::uint64_t bytesPerSecond;
    core::TimePoint freeAt;
};

} // namespace lagoontiller::fakes
