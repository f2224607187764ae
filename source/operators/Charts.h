#pragma once

#include "operators/Html.h"

#include <string>
#include <vector>

namespace lagoontiller::operators {

/// \brief One histogram bar: the number of samples above the previous bar's upper bound and up to its own.
struct HistogramBar {
    double upperBound = 0;
    double count = 0;
};

/// \brief Upper bound of the bar that contains the given quantile (0 to 1); 0 when there are no samples.
[[nodiscard]] double quantileUpperBound(const std::vector<HistogramBar>& bars, double quantile);

/// \brief Renders a histogram as inline SVG with a caption. `unit` is the unit of the upper bounds. Empty bars at both
/// ends are omitted as long as enough bars remain to show the axis.
[[nodiscard]] Html histogramChart(
    const std::string& title, const std::string& unit, const std::vector<HistogramBar>& bars);

} // namespace lagoontiller::operators
