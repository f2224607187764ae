#pragma once

#include "core/Time.h"

#include <cstdint>

namespace lagoontiller::fakes {

/// \brief Weight store with a fixed rate: each lease waits until the earlier ones have been transferred.
class WeightModel {
public:
    explicit WeightModel(std::uint64_t bytesPerSecond)
        : bytesPerSecond(bytesPerSecond)
    {
    }

    /// \brief Reserves the transfer of `bytes` and returns the wait until it may start.
    [[nodiscard]] core::Duration lease(std::uint64_t bytes, core::TimePoint now);

private:
    std::uint64_t bytesPerSecond;
    core::TimePoint freeAt;
};

} // namespace lagoontiller::fakes
