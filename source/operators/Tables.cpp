#include "operators/Tables.h"

#include <cmath>
#include <cstdio>

namespace lagoontiller::operators {

Cell textCell(std::string_view text, std::string cssClass)
{
    Cell cell;
    cell.content.text(text);
    cell.cssClass = std::move(cssClass);
    return cell;
}

Cell numberCell(double number)
{
    return textCell(formatNumber(number), "number");
}

Html table(const std::vector<std::string>& headers, const std::vector<std::vector<Cell>>& rows)
{
    Html html;
    html.open("div", { { "class", "table" } }).open("table").open("thead").open("tr");
    for (std::size_t column = 0; column < headers.size(); ++column) {
        const bool isNumber = !rows.empty() && rows.front()[column].cssClass.starts_with("number");
        html.element("th", headers[column], { { "class", isNumber ? "number" : "" } });
    }
    html.close("tr").close("thead").open("tbody");
    for (const auto& row : rows) {
        html.open("tr");
        for (std::size_t column = 0; column < row.size(); ++column) {
            const auto cssClass = row[column].content.isEmpty() ? row[column].cssClass + " none" : row[column].cssClass;
            html.open("td", { { "data-name", headers[column] }, { "class", cssClass } });
            html.add(row[column].content).close("td");
        }
        html.close("tr");
    }
    html.close("tbody").close("table").close("div");
    return html;
}

std::string formatNumber(double number)
{
    std::string text(32, '\0');
    const bool isWhole = std::floor(number) == number;
    const int length = std::snprintf(text.data(), text.size(), isWhole ? "%.0f" : "%.2f", number);
    text.resize(static_cast<std::size_t>(std::max(0, length)));
    if (!isWhole)
        text.erase(text.find_last_not_of('0') + 1);
    return text;
}

} // namespace lagoontiller::operators
