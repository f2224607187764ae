#pragma once

#include "operators/Html.h"

#include <string>
#include <vector>

namespace lagoontiller::operators {

/// \brief One bar: samples above the previous bar's bound and up to this one.
struct Bar {
    double upperBound = 0;
    double count = 0;
};

/// \brief Upper bound of the bar that holds the sample of this rank (0 to 1); 0 without samples.
[[nodiscard]] double quantileBound(const std::vector<Bar>& bars, double rank);

/// \brief A histogram as inline SVG with a caption. Empty bars at both ends are left out.
[[nodiscard]] Html histogramChart(const std::string& title, const std::string& unit, const std::vector<Bar>& bars);

} // namespace lagoontiller::operators
