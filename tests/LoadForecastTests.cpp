#include "policy/LoadForecast.h"

#include <cmath>

namespace lagoontiller::policy {

namespace {

struct ForecastCase {
    std::string name;
    LoadForecast before;
    LoadObservation observation;
    double expected;
};

BurstAwareSmoothing burstAware(double forecast)
{
    BurstAwareSmoothing result;
    result.forecast = forecast;
    result.initialized = true;
    return result;
}

} // namespace

class ForecastTable : public testing::TestWithParam<ForecastCase> { };

// Guards against a formula that differs from its published source, and against ratios with a zero denominator.
TEST_P(ForecastTable, FollowsTheFormula)
{
    EXPECT_NEAR(forecastValue(updatedForecast(GetParam().before, GetParam().observation)), GetParam().expected, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(Table, ForecastTable,
    testing::Values(ForecastCase { "Last", LastValue { 3 }, { 8, 1, 1 }, 8 },
        ForecastCase { "PlainFirst", ExponentialSmoothing {}, { 8, 1, 1 }, 8 },
        ForecastCase { "Plain", ExponentialSmoothing { 0.1, 10, true }, { 20, 9, 1 }, 11 },
        ForecastCase { "BurstFirst", BurstAwareSmoothing {}, { 8, 1, 1 }, 8 },
        ForecastCase { "Burst", burstAware(10), { 20, 15, 10 }, 21 },
        ForecastCase { "Decline", burstAware(10), { 5, 5, 10 }, 7 },
        ForecastCase { "Between", burstAware(10), { 20, 10, 10 }, 11 },
        ForecastCase { "AtUpperThreshold", burstAware(10), { 20, 11, 10 }, 11 },
        ForecastCase { "AtLowerThreshold", burstAware(10), { 20, 9, 10 }, 11 },
        ForecastCase { "RatioBounded", burstAware(10), { 20, 1'000, 1 }, 31 },
        ForecastCase { "NothingServed", burstAware(10), { 20, 5, 0 }, 31 },
        ForecastCase { "NothingAtAll", burstAware(10), { 0, 0, 0 }, 9 },
        ForecastCase { "NotBelowZero", burstAware(10), { 100, 0, 10 }, 0 }),
    [](const auto& info) { return info.param.name; });

// Guards against forecasts that are negative, infinite or not a number.
RC_GTEST_PROP(Forecast, StaysFiniteAndNotNegative,
    (const std::vector<std::tuple<std::uint16_t, std::uint8_t, std::uint8_t>>& steps))
{
    for (LoadForecast forecast :
        { LoadForecast(LastValue {}), LoadForecast(ExponentialSmoothing {}), LoadForecast(BurstAwareSmoothing {}) }) {
        for (const auto& [load, queued, served] : steps) {
            forecast = updatedForecast(
                forecast, { static_cast<double>(load), static_cast<double>(queued), static_cast<double>(served) });
            RC_ASSERT(std::isfinite(forecastValue(forecast)) && forecastValue(forecast) >= 0);
        }
    }
}

} // namespace lagoontiller::policy
