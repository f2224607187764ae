#pragma once

#include <variant>

namespace lagoontiller::policy {

/// \brief Load observed in one interval; all three members are in the same unit of work.
struct LoadObservation {
    double load = 0;
    double queued = 0;
    double served = 0;
};

/// \brief Naive forecast: the last observed load.
struct LastValue {
    double forecast = 0;
    [[nodiscard]] bool operator==(const LastValue&) const = default;
};

/// \brief Simple exponential smoothing: F = alpha * O + (1 - alpha) * F', with observation O and last forecast F'.
struct ExponentialSmoothing {
    double alpha = 0.1;
    double forecast = 0;
    bool initialized = false;
    [[nodiscard]] bool operator==(const ExponentialSmoothing&) const = default;
};

/// \brief Exponential smoothing that weights the observation by R = queued / served while R is below beta or above
/// gamma: F = (R - 1 + alpha) * O + (1 - alpha) * F'. With R from beta to gamma it is simple exponential smoothing.
///
/// After Li, Dong, Xiao, Ruan: "Adaptive Tradeoff in Metadata-Based Small File Optimizations for a Cluster File
/// System", equations 7-12, which leave R unbounded and undefined without served work. Here R is at most `maxRatio`, is
/// `maxRatio` with queued but no served work, and is 1 without either. F is at least 0.
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

/// \brief Returns the forecast updated with the observation of one more interval.
[[nodiscard]] LoadForecast updatedForecast(const LoadForecast& forecast, const LoadObservation& observation);
/// \brief Returns the expected load of the next interval; 0 before the first observation.
[[nodiscard]] double forecastValue(const LoadForecast& forecast);

} // namespace lagoontiller::policy
