#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lagoontiller::policy {

/// \brief Distribution of durations in 4 buckets per doubling from 1 ms; old samples lose weight by halving.
class DurationDistribution {
public:
    void observe(core::Duration duration);
    [[nodiscard]] std::uint32_t sampleCount() const noexcept { return this->total; }
    /// \brief Upper bound of the bucket that holds the quantile (0 to 1); 0 without samples.
    [[nodiscard]] core::Duration quantile(double probability) const;

private:
    static constexpr int bucketsPerDoubling = 4;
    static constexpr std::size_t bucketCount = 96;
    static constexpr std::uint32_t halvingThreshold = 1'024;

    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

enum class TimeoutKind : int {
    FirstByte,
    InterToken,
    ServiceCall,
};

struct TimeoutBounds {
    core::Duration min {};
    /// \brief Also the time-out while there are too few samples.
    core::Duration max {};
};

/// \brief Bounds of a kind. The floors exceed a pause for garbage collection or a reconnect.
[[nodiscard]] TimeoutBounds timeoutBounds(TimeoutKind kind) noexcept;

/// \brief Time-outs from observed distributions: twice the 99th percentile within the bounds of the kind.
///
/// A call that timed out is observed with its elapsed time, so that a service that became slower as a whole raises
/// its own time-out instead of failing for good.
class TimeoutEstimator {
public:
    static constexpr std::uint32_t minSamples = 20;

    /// \brief `service` is a name of the document, which bounds the number of distributions.
    void observe(const std::string& service, TimeoutKind kind, core::Duration duration);
    void remove(const std::string& service);
    [[nodiscard]] core::Duration timeout(const std::string& service, TimeoutKind kind) const;
    /// \brief Quantile of what was observed, or `otherwise` with too few samples.
    [[nodiscard]] core::Duration quantile(
        const std::string& service, TimeoutKind kind, double probability, core::Duration fallback) const;

private:
    std::map<std::pair<std::string, TimeoutKind>, DurationDistribution> distributions;
};

} // namespace lagoontiller::policy
