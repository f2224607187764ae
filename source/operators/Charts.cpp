#include "operators/Charts.h"

#include "operators/Tables.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::operators {

namespace {

constexpr double width = 320;
constexpr double height = 130;
constexpr double bottom = 108;
constexpr double top = 8;
// Fewer bars would be as wide as a block and hide that the axis is logarithmic.
constexpr std::size_t fewestBars = 6;

std::vector<Bar> trimmed(const std::vector<Bar>& bars)
{
    const auto isUsed = [](const Bar& bar) { return bar.count > 0; };
    auto first = std::find_if(bars.begin(), bars.end(), isUsed);
    auto last = std::find_if(bars.rbegin(), bars.rend(), isUsed).base();
    while (static_cast<std::size_t>(last - first) < std::min(fewestBars, bars.size())) {
        if (first != bars.begin())
            --first;
        if (last != bars.end())
            ++last;
    }
    return { first, last };
}

std::string rounded(double number)
{
    if (number >= 10)
        return formatNumber(std::round(number));
    return formatNumber(std::round(number * 10) / 10);
}

void tick(Html& html, double x, const std::string& anchor, const std::string& text)
{
    html.element("text", text,
        { { "class", "tick" }, { "x", formatNumber(x) }, { "y", formatNumber(bottom + 16) },
            { "text-anchor", anchor } });
}

} // namespace

double quantileBound(const std::vector<Bar>& bars, double rank)
{
    double total = 0;
    for (const auto& bar : bars)
        total += bar.count;
    double seen = 0;
    for (const auto& bar : bars) {
        seen += bar.count;
        if (total > 0 && seen >= rank * total)
            return bar.upperBound;
    }
    return 0;
}

Html histogramChart(const std::string& title, const std::string& unit, const std::vector<Bar>& bars)
{
    const auto shown = trimmed(bars);
    double total = 0;
    double highest = 1;
    for (const auto& bar : shown) {
        total += bar.count;
        highest = std::max(highest, bar.count);
    }
    const auto summary = formatNumber(total) + (total == 1 ? " sample" : " samples") + "; half within "
        + rounded(quantileBound(bars, 0.5)) + " " + unit + ", 95% within " + rounded(quantileBound(bars, 0.95)) + " "
        + unit;
    Html html;
    html.open("figure", { { "class", "chart" } }).open("figcaption").element("b", title).text(" " + summary);
    html.close("figcaption");
    html.open("svg",
        { { "viewBox", "0 0 " + formatNumber(width) + " " + formatNumber(height) }, { "role", "img" },
            { "aria-label", title + ": " + summary } });
    const double step = shown.empty() ? width : width / static_cast<double>(shown.size());
    for (std::size_t index = 0; index < shown.size(); ++index) {
        const double size = shown[index].count / highest * (bottom - top);
        const double x = static_cast<double>(index) * step;
        html.open("rect",
            { { "class", "bars" }, { "x", formatNumber(x + 1) }, { "y", formatNumber(bottom - size) },
                { "width", formatNumber(std::max(1.0, step - 2)) }, { "height", formatNumber(size) } });
        html.element(
            "title", formatNumber(shown[index].count) + " up to " + rounded(shown[index].upperBound) + " " + unit);
        html.close("rect");
    }
    html.open("line",
            { { "class", "axis" }, { "x1", "0" }, { "x2", formatNumber(width) }, { "y1", formatNumber(bottom) },
                { "y2", formatNumber(bottom) } })
        .close("line");
    if (!shown.empty()) {
        tick(html, 0, "start", "up to " + rounded(shown.front().upperBound));
        tick(html, width / 2, "middle", rounded(shown[shown.size() / 2].upperBound));
        tick(html, width, "end", rounded(shown.back().upperBound) + " " + unit);
    }
    return html.close("svg").close("figure");
}

} // namespace lagoontiller::operators
