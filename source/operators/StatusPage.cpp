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

constexpr double bytesPerMegabyte = 1024.0 * 1024.0;

json part(const json& status, const char* key)
{
    return status.contains(key) ? status[key] : json::array();
}

std::string text(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double number(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

bool flag(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

void tile(Html& html, std::string_view label, std::string_view value, std::string_view style = "")
{
    html.open("div", { { "class", "tile" } }).element("b", value, { { "class", style } });
    html.element("span", label).close("div");
}

Html summary(const json& status)
{
    Html html;
    html.open("div", { { "class", "tiles" } });
    const auto version = number(status, "document_version");
    tile(html, "this node", text(status, "node"));
    tile(html, "document version", version > 0 ? formatNumber(version) : "none", version > 0 ? "" : "state-bad");
    const bool store = flag(status, "store_available");
    tile(html, "table service", store ? "available" : "not available", store ? "state-good" : "state-bad");
    tile(html, "partitions of this node",
        formatNumber(number(status, "partitions")) + " of " + formatNumber(number(status, "all_partitions")));
    tile(html, "calls under way here", formatNumber(number(status, "calls")));
    tile(html, "store writes since start", formatNumber(number(status, "store_writes")));
    tile(html, "store reads since start", formatNumber(number(status, "store_reads")));
    tile(html, "program state in memory", formatNumber(number(status, "state_bytes") / bytesPerMegabyte) + " MB");
    return html.close("div");
}

Html warnings(const json& status)
{
    Html html;
    if (number(status, "document_version") == 0)
        html.add(note(NoteKind::Fault,
            "No document is in force on this node, so that it refuses all calls. Write the "
            "first document, or wait when one exists and the table service is down."));
    if (!flag(status, "store_available"))
        html.add(note(NoteKind::Warning,
            "The table service does not answer. Calls under way go on; new programs and "
            "calls that may not be repeated are refused and have not run."));
    if (flag(status, "draining"))
        html.add(
            note(NoteKind::Warning, "This node is leaving. It accepts no new program and stops when its calls end."));
    if (status.contains("vm_list_known") && !flag(status, "vm_list_known"))
        html.add(note(NoteKind::Warning, "No VM list has arrived yet; the endpoints below are those of the document."));
    return html;
}

Html nodes(const json& status)
{
    std::map<std::string, Rows> zones;
    const auto newest = [&status] {
        double version = 0;
        for (const auto& member : part(status, "members"))
            version = std::max(version, number(member, "document_version"));
        return version;
    }();
    for (const auto& member : part(status, "members")) {
        const auto version = number(member, "document_version");
        const bool leaving = flag(member, "leaving");
        zones[text(member, "region") + " / " + text(member, "zone")].push_back(
            { textCell(text(member, "node")), textCell(text(member, "caller_address")),
                leaving ? textCell("leaving", "state-warn") : textCell("live", "state-good"),
                textCell(formatNumber(version), version < newest ? "number state-warn" : "number") });
    }
    Html html;
    html.element("h2", "Nodes", { { "id", "nodes" } });
    html.element("p",
        "Living nodes as this node knows them. A version in another colour is behind and should catch up "
        "within seconds.",
        { { "class", "help" } });
    for (const auto& [zone, rows] : zones) {
        html.element("h3", zone + ": " + std::to_string(rows.size()) + (rows.size() == 1 ? " node" : " nodes"));
        html.add(table({ "node", "caller address", "state", "document version" }, rows));
    }
    if (zones.empty())
        html.add(note(NoteKind::Plain, "No nodes are known yet."));
    return html;
}

Html endpoints(const json& status)
{
    std::map<std::string, Rows> services;
    for (const auto& endpoint : part(status, "endpoints")) {
        const auto state = text(endpoint, "state");
        const auto style = state == "live"          ? "state-good"
            : state == "ejected" || state == "gone" ? "state-bad"
                                                    : "state-warn";
        const auto age = endpoint.contains("load_report_age_ms")
            ? formatNumber(number(endpoint, "load_report_age_ms")) + " ms ago"
            : std::string("none");
        services[text(endpoint, "service")].push_back(
            { textCell(text(endpoint, "address")), textCell(text(endpoint, "zone")), textCell(state, style),
                textCell(text(endpoint, "reason")), numberCell(number(endpoint, "calls_of_this_node")),
                numberCell(number(endpoint, "calls_of_others")), textCell(age) });
    }
    Html html;
    html.element("h2", "Endpoints");
    for (const auto& [service, rows] : services) {
        html.element("h3", service);
        html.add(
            table({ "address", "zone", "state", "why", "calls of this node", "calls of others", "load report" }, rows));
    }
    if (services.empty())
        html.add(note(NoteKind::Plain, "No endpoints are known yet."));
    return html;
}

Html programs(const json& status)
{
    const auto programs = status.value("programs", json::object());
    Html html;
    html.element("h2", "Programs under way");
    html.element("p",
        formatNumber(number(programs, "under_way"))
            + " programs have their state on this node. Other nodes own the rest; open their status too.",
        { { "class", "help" } });
    Rows counts;
    for (const auto& each : part(programs, "by_class"))
        counts.push_back(
            { textCell(text(each, "customer")), textCell(text(each, "class")), numberCell(number(each, "count")) });
    if (!counts.empty())
        html.add(table({ "customer", "class", "programs" }, counts));
    Rows oldest;
    for (const auto& each : part(programs, "oldest")) {
        oldest.push_back(
            { textCell(text(each, "program")), textCell(text(each, "customer")), textCell(text(each, "class")),
                textCell(formatTime(static_cast<std::int64_t>(number(each, "opened_unix_ms")))),
                numberCell(number(each, "turns")), numberCell(number(each, "root_calls")),
                numberCell(number(each, "root_tokens")) });
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
    for (const auto& each : part(status, "refusals")) {
        const auto customer = text(each, "customer");
        rows.push_back({ textCell(customer.empty() ? "(no known customer)" : customer),
            numberCell(number(each, "code")), textCell(text(each, "name")), numberCell(number(each, "count")) });
    }
    Html html;
    html.element("h2", "Refused, and why");
    if (rows.empty())
        return html.add(note(NoteKind::Plain, "This node has refused nothing since it started."));
    html.element("p", "Since this node started. docs/result-codes.md says what each code asks you to do.",
        { { "class", "help" } });
    return html.add(table({ "customer", "code", "reason", "calls" }, rows));
}

std::vector<Bar> barsOf(const json& histogram)
{
    std::vector<Bar> bars;
    double previous = 0;
    for (const auto& bucket : part(histogram, "buckets")) {
        const auto cumulative = number(bucket, "count");
        bars.push_back({ number(bucket, "upper"), cumulative - previous });
        previous = cumulative;
    }
    return bars;
}

std::string chartTitle(const json& histogram)
{
    static const std::map<std::string, std::string> names { { "lagoontiller_turn_ms", "Model turns" },
        { "lagoontiller_call_ms", "Service calls" }, { "lagoontiller_first_token_ms", "First token" } };
    const auto name = text(histogram, "name");
    const auto found = names.find(name);
    auto title = found == names.end() ? name : found->second;
    for (const auto* const label : { "customer", "class" }) {
        if (const auto value = text(histogram, label); !value.empty())
            title += ", " + value;
    }
    return title;
}

Html histograms(const json& status)
{
    Html html;
    html.element("h2", "Times by customer and class");
    const auto list = part(status, "histograms");
    if (list.empty())
        return html.add(note(NoteKind::Plain, "No call has ended on this node yet."));
    html.element("p", "Milliseconds on a logarithmic axis, since this node started.", { { "class", "help" } });
    html.open("div", { { "class", "charts" } });
    for (const auto& histogram : list)
        html.add(histogramChart(chartTitle(histogram), "ms", barsOf(histogram)));
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
