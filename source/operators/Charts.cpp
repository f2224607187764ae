#include "operators/Charts.h"

#include "operators/Tables.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::operators {

namespace {

// Coordinates are SVG user units.
constexpr double chartWidth = 320;
constexpr double chartHeight = 130;
constexpr double plotBottom = 108;
constexpr double plotTop = 8;
// With fewer, wider bars it would not be visible that the axis is logarithmic.
constexpr std::size_t minBars = 6;

std::vector<HistogramBar> trimEmptyEnds(const std::vector<HistogramBar>& bars)
{
    const auto hasSamples = [](const HistogramBar& bar) { return bar.count > 0; };
    auto first = std::find_if(bars.begin(), bars.end(), hasSamples);
    auto last = std::find_if(bars.rbegin(), bars.rend(), hasSamples).base();
    while (static_cast<std::size_t>(last - first) < std::min(minBars, bars.size())) {
        if (first != bars.begin())
            --first;
        if (last != bars.end())
            ++last;
    }
    return { first, last };
}

std::string formatRounded(double number)
{
    if (number >= 10)
        return formatNumber(std::round(number));
    return formatNumber(std::round(number * 10) / 10);
}

void addTickLabel(Html& html, double x, const std::string& anchor, const std::string& text)
{
    html.element("text", text,
        { { "class", "tick" }, { "x", formatNumber(x) }, { "y", formatNumber(plotBottom + 16) },
            { "text-anchor", anchor } });
}

} // namespace

double quantileUpperBound(const std::vector<HistogramBar>& bars, double quantile)
{
    double total = 0;
    for (const auto& bar : bars)
        total += bar.count;
    double cumulativeCount = 0;
    for (const auto& bar : bars) {
        cumulativeCount += bar.count;
        if (total > 0 && cumulativeCount >= quantile * total)
            return bar.upperBound;
    }
    return 0;
}

Html histogramChart(const std::string& title, const std::string& unit, const std::vector<HistogramBar>& bars)
{
    const auto shown = trimEmptyEnds(bars);
    double total = 0;
    double maxCount = 1;
    for (const auto& bar : shown) {
        total += bar.count;
        maxCount = std::max(maxCount, bar.count);
    }
    const auto summary = formatNumber(total) + (total == 1 ? " sample" : " samples") + "; half within "
        + formatRounded(quantileUpperBound(bars, 0.5)) + " " + unit + ", 95% within "
        + formatRounded(quantileUpperBound(bars, 0.95)) + " " + unit;
    Html html;
    html.open("figure", { { "class", "chart" } }).open("figcaption").element("b", title).text(" " + summary);
    html.close("figcaption");
    html.open("svg",
        { { "viewBox", "0 0 " + formatNumber(chartWidth) + " " + formatNumber(chartHeight) }, { "role", "img" },
            { "aria-label", title + ": " + summary } });
    const double barSpacing = shown.empty() ? chartWidth : chartWidth / static_cast<double>(shown.size());
    for (std::size_t index = 0; index < shown.size(); ++index) {
        const double barHeight = shown[index].count / maxCount * (plotBottom - plotTop);
        const double x = static_cast<double>(index) * barSpacing;
        html.open("rect",
            { { "class", "bars" }, { "x", formatNumber(x + 1) }, { "y", formatNumber(plotBottom - barHeight) },
                { "width", formatNumber(std::max(1.0, barSpacing - 2)) }, { "height", formatNumber(barHeight) } });
        html.element("title",
            formatNumber(shown[index].count) + " up to " + formatRounded(shown[index].upperBound) + " " + unit);
        html.close("rect");
    }
    html.open("line",
            { { "class", "axis" }, { "x1", "0" }, { "x2", formatNumber(chartWidth) },
                { "y1", formatNumber(plotBottom) }, { "y2", formatNumber(plotBottom) } })
        .close("line");
    if (!shown.empty()) {
        addTickLabel(html, 0, "start", "up to " + formatRounded(shown.front().upperBound));
        addTickLabel(html, chartWidth / 2, "middle", formatRounded(shown[shown.size() / 2].upperBound));
        addTickLabel(html, chartWidth, "end", formatRounded(shown.back().upperBound) + " " + unit);
    }
    return html.close("svg").close("figure");
}

} // namespace lagoontiller::operators
