#include "policy/LoadForecast.h"

#include <algorithm>

namespace lagoontiller::policy {

namespace {

double burstRatio(const BurstAwareSmoothing& forecast, const LoadObservation& observation)
{
    if (observation.served <= 0) {
        return observation.queued > 0 ? forecast.maxRatio : 1;
    }
    return std::clamp(observation.queued / observation.served, 0.0, forecast.maxRatio);
}

struct Observe {
    const LoadObservation& observation;

    LoadForecast operator()(LastValue) const { return LastValue { this->observation.load }; }

    LoadForecast operator()(ExponentialSmoothing next) const
    {
        next.forecast = next.initialized ? next.alpha * this->observation.load + (1 - next.alpha) * next.forecast
                                         : this->observation.load;
        next.initialized = true;
        return next;
    }

    LoadForecast operator()(BurstAwareSmoothing next) const
    {
        if (!next.initialized) {
            next.initialized = true;
            next.forecast = this->observation.load;
            return next;
        }
        const double ratio = burstRatio(next, this->observation);
        const bool burst = ratio < next.beta || ratio > next.gamma;
        const double weight = burst ? ratio - 1 + next.alpha : next.alpha;
        next.forecast = std::max(0.0, weight * this->observation.load + (1 - next.alpha) * next.forecast);
        return next;
    }
};

} // namespace

LoadForecast updatedForecast(const LoadForecast& forecast, const LoadObservation& observation)
{
    return std::visit(Observe { observation }, forecast);
}

double forecastValue(const LoadForecast& forecast)
{
    return std::visit([](const auto& each) { return each.forecast; }, forecast);
}

} // namespace lagoontiller::policy
