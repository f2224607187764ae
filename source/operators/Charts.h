#pragma once

#include "operators/Html.h"

#include <string>
#include <vector>

namespace lagoontiller::operators {

/// \brief One bar: samples above the previous bar's bound and up to this one.
struct HistogramBar {
    double upperBound = 0;
    double count = 0;
};

/// \brief Upper bound of the bar that holds the sample of this rank (0 to 1); 0 without samples.
[[nodiscard]] double quantileUpperBound(const std::vector<HistogramBar>& bars, double quantile);

/// \brief A histogram as inline SVG with a caption. Empty bars at both ends are left out.
[[nodiscard]] Html histogramChart(
    const std::string& title, const std::string& unit, const std::vector<HistogramBar>& bars);

} // namespace lagoontiller::operators
