#include "operators/StatusPage.h"

#include "operators/Charts.h"
#include "operators/Layout.h"
#include "operators/Tables.h"

#include <map>
#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<Cell>>;

constexpr double bytesPerMebibyte = 1024.0 * 1024.0;

json arrayField(const json& status, const char* key)
{
    return status.contains(key) ? status[key] : json::array();
}

std::string textField(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberField(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

bool booleanField(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

void addTile(Html& html, std::string_view label, std::string_view value, std::string_view cssClass = "")
{
    html.open("div", { { "class", "tile" } }).element("b", value, { { "class", cssClass } });
    html.element("span", label).close("div");
}

Html summary(const json& status)
{
    Html html;
    html.open("div", { { "class", "tiles" } });
    const auto version = numberField(status, "document_version");
    addTile(html, "this node", textField(status, "node"));
    addTile(html, "document version", version > 0 ? formatNumber(version) : "none", version > 0 ? "" : "state-bad");
    const bool isStoreAvailable = booleanField(status, "store_available");
    addTile(html, "table service", isStoreAvailable ? "available" : "not available",
        isStoreAvailable ? "state-good" : "state-bad");
    addTile(html, "partitions of this node",
        formatNumber(numberField(status, "partitions")) + " of " + formatNumber(numberField(status, "all_partitions")));
    addTile(html, "calls under way here", formatNumber(numberField(status, "calls")));
    addTile(html, "store writes since start", formatNumber(numberField(status, "store_writes")));
    addTile(html, "store reads since start", formatNumber(numberField(status, "store_reads")));
    addTile(
        html, "program state in memory", formatNumber(numberField(status, "state_bytes") / bytesPerMebibyte) + " MB");
    return html.close("div");
}

Html warnings(const json& status)
{
    Html html;
    if (numberField(status, "document_version") == 0)
        html.add(messageBox(MessageKind::Error,
            "No document is in force on this node, so it refuses all calls. Write the "
            "first document; if one exists already, wait until the table service is available again."));
    if (!booleanField(status, "store_available"))
        html.add(messageBox(MessageKind::Warning,
            "The table service does not answer. Calls in progress continue; new programs and "
            "calls that must not be repeated are refused before they run."));
    if (booleanField(status, "draining"))
        html.add(messageBox(
            MessageKind::Warning, "This node is leaving. It accepts no new program and stops when its calls end."));
    if (status.contains("vm_list_known") && !booleanField(status, "vm_list_known"))
        html.add(messageBox(
            MessageKind::Warning, "No VM list has arrived yet; the endpoints below are those of the document."));
    return html;
}

Html nodes(const json& status)
{
    std::map<std::string, Rows> zones;
    const auto newestVersion = [&status] {
        double version = 0;
        for (const auto& member : arrayField(status, "members"))
            version = std::max(version, numberField(member, "document_version"));
        return version;
    }();
    for (const auto& member : arrayField(status, "members")) {
        const auto version = numberField(member, "document_version");
        const bool isLeaving = booleanField(member, "leaving");
        zones[textField(member, "region") + " / " + textField(member, "zone")].push_back(
            { textCell(textField(member, "node")), textCell(textField(member, "caller_address")),
                isLeaving ? textCell("leaving", "state-warn") : textCell("live", "state-good"),
                textCell(formatNumber(version), version < newestVersion ? "number state-warn" : "number") });
    }
    Html html;
    html.element("h2", "Nodes", { { "id", "nodes" } });
    html.element("p",
        "Live nodes known to this node. A highlighted document version is older than the newest known one; the "
        "node should receive the newest version within seconds.",
        { { "class", "help" } });
    for (const auto& [zone, rows] : zones) {
        html.element("h3", zone + ": " + std::to_string(rows.size()) + (rows.size() == 1 ? " node" : " nodes"));
        html.add(table({ "node", "caller address", "state", "document version" }, rows));
    }
    if (zones.empty())
        html.add(messageBox(MessageKind::Info, "No nodes are known yet."));
    return html;
}

Html endpoints(const json& status)
{
    std::map<std::string, Rows> services;
    for (const auto& endpoint : arrayField(status, "endpoints")) {
        const auto state = textField(endpoint, "state");
        const auto stateClass = state == "live"     ? "state-good"
            : state == "ejected" || state == "gone" ? "state-bad"
                                                    : "state-warn";
        const auto age = endpoint.contains("load_report_age_ms")
            ? formatNumber(numberField(endpoint, "load_report_age_ms")) + " ms ago"
            : std::string("none");
        services[textField(endpoint, "service")].push_back({ textCell(textField(endpoint, "address")),
            textCell(textField(endpoint, "zone")), textCell(state, stateClass), textCell(textField(endpoint, "reason")),
            numberCell(numberField(endpoint, "calls_of_this_node")),
            numberCell(numberField(endpoint, "calls_of_others")), textCell(age) });
    }
    Html html;
    html.element("h2", "Endpoints");
    for (const auto& [service, rows] : services) {
        html.element("h3", service);
        html.add(
            table({ "address", "zone", "state", "why", "calls of this node", "calls of others", "load report" }, rows));
    }
    if (services.empty())
        html.add(messageBox(MessageKind::Info, "No endpoints are known yet."));
    return html;
}

Html programs(const json& status)
{
    const auto programs = status.value("programs", json::object());
    Html html;
    html.element("h2", "Programs under way");
    html.element("p",
        formatNumber(numberField(programs, "under_way"))
            + " programs have their state on this node. Other nodes own the other programs; see their status pages.",
        { { "class", "help" } });
    Rows counts;
    for (const auto& each : arrayField(programs, "by_class"))
        counts.push_back({ textCell(textField(each, "customer")), textCell(textField(each, "class")),
            numberCell(numberField(each, "count")) });
    if (!counts.empty())
        html.add(table({ "customer", "class", "programs" }, counts));
    Rows oldest;
    for (const auto& each : arrayField(programs, "oldest")) {
        oldest.push_back({ textCell(textField(each, "program")), textCell(textField(each, "customer")),
            textCell(textField(each, "class")),
            textCell(formatTime(static_cast<std::int64_t>(numberField(each, "opened_unix_ms")))),
            numberCell(numberField(each, "turns")), numberCell(numberField(each, "root_calls")),
            numberCell(numberField(each, "root_tokens")) });
    }
    if (!oldest.empty()) {
        html.element("h3", "The " + std::to_string(oldest.size()) + " oldest");
        html.add(table({ "program", "customer", "class", "started", "turns", "calls used", "tokens used" }, oldest));
    }
    Rows phases;
    const auto callPhases = status.value("call_phases", json::object());
    for (const auto& [phase, count] : callPhases.items())
        phases.push_back({ textCell(phase), numberCell(count.is_number() ? count.get<double>() : 0) });
    if (!phases.empty())
        html.element("h3", "Calls under way here").add(table({ "phase", "calls" }, phases));
    return html;
}

Html refusals(const json& status)
{
    Rows rows;
    for (const auto& each : arrayField(status, "refusals")) {
        const auto customer = textField(each, "customer");
        rows.push_back(
            { textCell(customer.empty() ? "(no known customer)" : customer), numberCell(numberField(each, "code")),
                textCell(textField(each, "name")), numberCell(numberField(each, "count")) });
    }
    Html html;
    html.element("h2", "Refused, and why");
    if (rows.empty())
        return html.add(messageBox(MessageKind::Info, "This node has refused nothing since it started."));
    html.element("p", "Since this node started. docs/result-codes.md says what each code asks you to do.",
        { { "class", "help" } });
    return html.add(table({ "customer", "code", "reason", "calls" }, rows));
}

std::vector<HistogramBar> histogramBars(const json& histogram)
{
    std::vector<HistogramBar> bars;
    double previousCumulative = 0;
    for (const auto& bucket : arrayField(histogram, "buckets")) {
        const auto cumulative = numberField(bucket, "count");
        bars.push_back({ numberField(bucket, "upper"), cumulative - previousCumulative });
        previousCumulative = cumulative;
    }
    return bars;
}

std::string chartTitle(const json& histogram)
{
    static const std::map<std::string, std::string> names { { "lagoontiller_turn_ms", "Model turns" },
        { "lagoontiller_call_ms", "Service calls" }, { "lagoontiller_first_token_ms", "First token" } };
    const auto name = textField(histogram, "name");
    const auto found = names.find(name);
    auto title = found == names.end() ? name : found->second;
    for (const auto* const label : { "customer", "class" }) {
        if (const auto value = textField(histogram, label); !value.empty())
            title += ", " + value;
    }
    return title;
}

Html histograms(const json& status)
{
    Html html;
    html.element("h2", "Times by customer and class");
    const auto list = arrayField(status, "histograms");
    if (list.empty())
        return html.add(messageBox(MessageKind::Info, "No call has ended on this node yet."));
    html.element("p", "Milliseconds on a logarithmic axis, since this node started.", { { "class", "help" } });
    html.open("div", { { "class", "charts" } });
    for (const auto& histogram : list)
        html.add(histogramChart(chartTitle(histogram), "ms", histogramBars(histogram)));
    return html.close("div");
}

} // namespace

Html statusPage(const json& status)
{
    Html html;
    html.open("div", { { "class", "bar" } });
    html.element("a", "Reload", { { "href", "/console/status" }, { "class", "button" } }).close("div");
    html.add(warnings(status)).add(summary(status)).add(nodes(status)).add(endpoints(status));
    return html.add(programs(status)).add(refusals(status)).add(histograms(status));
}

} // namespace lagoontiller::operators
