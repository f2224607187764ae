#include "operators/HistoryPages.h"

#include "operators/AcceptancePages.h"
#include "operators/Layout.h"
#include "operators/Tables.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

namespace {

nlohmann::json parseChanges(const document::VersionRow& row)
{
    auto changes = nlohmann::json::parse(row.differenceJson, nullptr, false);
    return changes.is_array() ? changes : nlohmann::json::array();
}

Html link(const std::string& target, std::string_view text)
{
    Html html;
    return html.element("a", text, { { "href", target } });
}

} // namespace

Html historyPage(const std::vector<document::VersionRow>& rows, document::DocumentVersion current)
{
    Html html;
    if (rows.empty()) {
        html.add(messageBox(MessageKind::Info, "No version has been accepted yet."));
        html.element("a", "Write the first document", { { "href", "/console/edit" }, { "class", "button" } });
        return html;
    }
    std::vector<std::vector<Cell>> cells;
    for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
        const auto number = std::to_string(row->version);
        const auto changes = parseChanges(*row).size();
        Cell versionLink { link("/console/version?n=" + number, "Version " + number) };
        Cell state = row->version == current ? textCell("in force", "state-good") : textCell("");
        Cell editLink { link("/console/edit?from=" + number, "use as base of a new version") };
        cells.push_back({ std::move(versionLink), std::move(state), textCell(formatTime(row->unixMs)),
            textCell(row->author), numberCell(static_cast<double>(changes)), std::move(editLink) });
    }
    html.add(table({ "version", "state", "accepted", "author", "differences", "" }, cells));
    if (rows.front().version > 1) {
        html.element("a", "Older versions",
            { { "href", "/console/history?before=" + std::to_string(rows.front().version) }, { "class", "button" } });
    }
    return html;
}

Html versionPage(const document::VersionRow& row, document::DocumentVersion current)
{
    const auto number = std::to_string(row.version);
    Html html;
    html.add(messageBox(row.version == current ? MessageKind::Success : MessageKind::Info,
        "Accepted " + formatTime(row.unixMs) + " by " + row.author + ", made from version " + std::to_string(row.base)
            + (row.version == current ? "; in force." : ".")));
    html.element("h2", "Differences from version " + std::to_string(row.base)).add(changesTable(parseChanges(row)));
    html.open("div", { { "class", "bar" } });
    html.element(
        "a", "Use as base of a new version", { { "href", "/console/edit?from=" + number }, { "class", "button" } });
    html.element("a", "History", { { "href", "/console/history" }, { "class", "button" } });
    return html.close("div");
}

} // namespace lagoontiller::operators
