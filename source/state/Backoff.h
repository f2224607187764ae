#pragma once

#include "core/Time.h"

#include <algorithm>
#include <random>

namespace lagoontiller::state {

using Generator = std::mt19937_64;

/// \brief Exponential backoff with jitter. Each delay is drawn uniformly between half and all of
/// min(minDelay * 2^failures, maxDelay).
class Backoff {
public:
    Backoff(core::Duration minDelay, core::Duration maxDelay)
        : minDelay(minDelay)
        , maxDelay(maxDelay)
    {
    }

    /// \brief Records one failure and returns the delay before the next attempt.
    [[nodiscard]] core::Duration nextDelay(Generator& generator)
    {
        const auto exponent = std::min(this->failures, maxDoublings);
        const auto fullDelay = std::min(this->minDelay * (std::int64_t { 1 } << exponent), this->maxDelay);
        this->failures += 1;
        std::uniform_int_distribution<std::int64_t> jitter(fullDelay.count() / 2, fullDelay.count());
        return core::Duration(jitter(generator));
    }

    /// \brief Records a success: the next failure starts again at `minDelay`.
    void reset() noexcept { this->failures = 0; }
    /// \brief True from a recorded failure until the next `reset`.
    [[nodiscard]] bool failing() const noexcept { return this->failures > 0; }

private:
    /// \brief Keeps the product in `nextDelay` from overflowing.
    static constexpr int maxDoublings = 20;
    core::Duration minDelay;
    core::Duration maxDelay;
    int failures = 0;
};

} // namespace lagoontiller::state
