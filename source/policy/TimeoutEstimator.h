#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lagoontiller::policy {

/// \brief Histogram of durations with 4 buckets per doubling, from 1 ms. At `halvingThreshold` samples all counts are
/// halved, so that old samples lose weight.
class DurationDistribution {
public:
    void observe(core::Duration duration);
    [[nodiscard]] std::uint32_t sampleCount() const noexcept { return this->total; }
    /// \brief Returns the upper bound of the bucket that holds the quantile (`probability` 0 to 1); 0 without samples.
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
    /// \brief Also used as the time-out while there are fewer than `TimeoutEstimator::minSamples` samples.
    core::Duration max {};
};

/// \brief Returns the bounds for a kind. The minimum exceeds a garbage collection pause or a reconnect.
[[nodiscard]] TimeoutBounds timeoutBounds(TimeoutKind kind) noexcept;

/// \brief Estimates time-outs from observed durations: twice the 99th percentile, within the bounds of the kind.
///
/// A call that timed out is observed with its elapsed time, so that the time-out of a service that has become slower as
/// a whole increases, and its calls do not time out permanently.
class TimeoutEstimator {
public:
    static constexpr std::uint32_t minSamples = 20;

    /// \brief Records a duration. `service` must be a service of the document, which bounds the number of histograms.
    void observe(const std::string& service, TimeoutKind kind, core::Duration duration);
    void remove(const std::string& service);
    [[nodiscard]] core::Duration timeout(const std::string& service, TimeoutKind kind) const;
    /// \brief Returns a quantile of the observed durations, or `fallback` with fewer than `minSamples` samples.
    [[nodiscard]] core::Duration quantile(
        const std::string& service, TimeoutKind kind, double probability, core::Duration fallback) const;

private:
    std::map<std::pair<std::string, TimeoutKind>, DurationDistribution> distributions;
};

} // namespace lagoontiller::policy
