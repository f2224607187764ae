#pragma once

#include <variant>

namespace lagoontiller::policy {

/// \brief What happened in one interval, in the same unit of work.
struct LoadObservation {
    double load = 0;
    double queued = 0;
    double served = 0;
};

/// \brief The last observation.
struct LastValue {
    double forecast = 0;
    [[nodiscard]] bool operator==(const LastValue&) const = default;
};

/// \brief F = alpha * O + (1 - alpha) * F'.
struct ExponentialSmoothing {
    double alpha = 0.1;
    double forecast = 0;
    bool initialized = false;
    [[nodiscard]] bool operator==(const ExponentialSmoothing&) const = default;
};

/// \brief Smoothing that weighs the observation by R = queued / served while R is below beta or above gamma:
/// F = (R - 1 + alpha) * O + (1 - alpha) * F'; plain in between and at a threshold.
///
///
/// After Li, Dong, Xiao, Ruan: "Adaptive Tradeoff in Metadata-Based Small File Optimizations for a Cluster File
/// System", equations 7-12, which leave R unbounded and undefined without served work: here R is at most
/// `maximumRatio`, the bound with queued work but none served, and 1 without either. F is not below 0.
struct BurstAwareSmoothing {
    double alpha = 0.1;
    double beta = 0.9;
    double gamma = 1.1;
    double maxRatio = 2;
    double forecast = 0;
    bool initialized = false;
    [[nodiscard]] bool operator==(const BurstAwareSmoothing&) const = default;
};

using LoadForecast = std::variant<LastValue, ExponentialSmoothing, BurstAwareSmoothing>;

/// \brief The forecast after one more interval.
[[nodiscard]] LoadForecast updatedForecast(const LoadForecast& forecast, const LoadObservation& observation);
/// \brief Expected load of the next interval; 0 before the first observation.
[[nodiscard]] double forecastValue(const LoadForecast& forecast);

} // namespace lagoontiller::policy
