#pragma once

#include "core/Time.h"

#include <algorithm>
#include <random>

namespace lagoontiller::state {

using Generator = std::mt19937_64;

/// \brief Exponential delay with jitter: a uniform share between half and all of min(first * 2^failures, most).
class Backoff {
public:
    Backoff(core::Duration first, core::Duration most)
        : first(first)
        , most(most)
    {
    }

    /// \brief Records one failure and returns the delay before the next attempt.
    [[nodiscard]] core::Duration next(Generator& generator)
    {
        const auto exponent = std::min(this->failures, mostDoublings);
        const auto full = std::min(this->first * (std::int64_t { 1 } << exponent), this->most);
        this->failures += 1;
        std::uniform_int_distribution<std::int64_t> jitter(full.count() / 2, full.count());
        return core::Duration(jitter(generator));
    }

    void reset() noexcept { this->failures = 0; }
    [[nodiscard]] bool failing() const noexcept { return this->failures > 0; }

private:
    static constexpr int mostDoublings = 20;
    core::Duration first;
    core::Duration most;
    int failures = 0;
};

} // namespace lagoontiller::state
