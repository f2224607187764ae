#include "operators/DraftForm.h"

#include "operators/Layout.h"

#include <algorithm>

namespace lagoontiller::operators {

namespace {

using document::SectionRule;

const document::Faults noFaults;

const document::Faults& sectionFaults(const DraftFaults* faults, std::size_t index)
{
    if (faults == nullptr)
        return noFaults;
    const auto found = faults->bySection.find(index);
    return found == faults->bySection.end() ? noFaults : found->second;
}

std::vector<std::size_t> visibleSections(const Draft& draft, const DraftFaults* faults, const DraftView& view)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < draft.sections.size(); ++index) {
        const bool matches
            = view.kind.empty() ? !sectionFaults(faults, index).empty() : draft.sections[index].kind == view.kind;
        if (matches)
            result.push_back(index);
    }
    return result;
}

/// \brief Button that shows the sections of one kind, labelled with the number of sections and faults.
Html kindButton(const Draft& draft, const DraftFaults* faults, std::string_view kind, const DraftView& view)
{
    std::size_t sections = 0;
    std::size_t faultCount = 0;
    for (std::size_t index = 0; index < draft.sections.size(); ++index) {
        if (draft.sections[index].kind != kind)
            continue;
        ++sections;
        faultCount += sectionFaults(faults, index).size();
    }
    const auto value = "show " + std::string(kind) + " 0";
    Attributes attributes { { "name", "do" }, { "value", value } };
    if (kind == view.kind)
        attributes.emplace_back("aria-current", "true");
    Html html;
    html.open("button", attributes).text(kind).text(" ");
    html.element("span", std::to_string(sections), { { "class", "count" } });
    if (faultCount > 0) {
        html.element("span", " " + std::to_string(faultCount) + (faultCount == 1 ? " fault" : " faults"),
            { { "class", "count faulty" } });
    }
    return html.close("button");
}

Html kindButtons(const Draft& draft, const DraftFaults* faults, const DraftView& view)
{
    Html html;
    html.open("div", { { "class", "bar kinds" } });
    for (const auto& rule : document::documentSchema().sections())
        html.add(kindButton(draft, faults, rule.kind, view));
    if (faults != nullptr && !faults->bySection.empty()) {
        Attributes attributes { { "name", "do" }, { "value", "faults 0" } };
        if (view.kind.empty())
            attributes.emplace_back("aria-current", "true");
        html.element("button", "only sections with faults", attributes);
    }
    return html.close("div");
}

Html faultSummary(const Draft& draft, const DraftFaults& faults, const std::vector<std::size_t>& shown)
{
    Html html;
    const auto count = faults.count();
    html.add(messageBox(MessageKind::Error,
        std::to_string(count) + (count == 1 ? " fault." : " faults.")
            + " Nothing was accepted, and your input is kept below. Correct the fields and check again."));
    html.open("ul");
    for (const auto& fault : faults.general)
        html.element("li", "[" + fault.section + "] " + fault.problem + "; add it with the buttons below");
    for (const auto& [index, list] : faults.bySection) {
        const bool isShown = std::find(shown.begin(), shown.end(), index) != shown.end();
        for (const auto& fault : list) {
            const auto& section = draft.sections[index];
            const auto label
                = "[" + section.heading() + "] " + fault.key + (fault.key.empty() ? "" : ": ") + fault.problem;
            const auto target = "#s" + std::to_string(index) + (fault.key.empty() ? "" : "-" + fault.key);
            html.open("li");
            if (isShown)
                html.element("a", label, { { "href", target } });
            else
                html.text(label);
            html.close("li");
        }
    }
    return html.close("ul");
}

bool canAddSection(const Draft& draft, const SectionRule& rule)
{
    if (isNamed(rule))
        return true;
    return std::none_of(draft.sections.begin(), draft.sections.end(),
        [&rule](const DraftSection& section) { return section.kind == rule.kind; });
}

Html pagination(std::size_t count, const DraftView& view)
{
    Html html;
    if (count <= sectionsPerPage)
        return html;
    const auto action = [&view](std::size_t offset) {
        return (view.kind.empty() ? "faults " : "show " + view.kind + " ") + std::to_string(offset);
    };
    html.open("div", { { "class", "bar" } });
    if (view.offset > 0) {
        const auto previous = view.offset < sectionsPerPage ? 0 : view.offset - sectionsPerPage;
        html.element("button", "Previous", { { "name", "do" }, { "value", action(previous) } });
    }
    const auto end = std::min(count, view.offset + sectionsPerPage);
    html.element(
        "span", std::to_string(view.offset + 1) + " to " + std::to_string(end) + " of " + std::to_string(count));
    if (end < count)
        html.element("button", "Next", { { "name", "do" }, { "value", action(end) } });
    return html.close("div");
}

} // namespace

Html draftFields(const Draft& draft, const Session& session)
{
    Html html;
    html.add(csrfField(session.csrfToken));
    html.voidElement("input", { { "type", "hidden" }, { "name", "draft" }, { "value", encodeDraft(draft) } });
    return html;
}

Html draftForm(const Draft& draft, const DraftFaults* faults, const DraftView& view, const Session& session)
{
    const auto shown = visibleSections(draft, faults, view);
    const auto* const rule = document::documentSchema().find(view.kind);
    Html html;
    if (faults != nullptr && !faults->isEmpty())
        html.add(faultSummary(draft, *faults, shown));
    html.open("form", { { "method", "post" }, { "action", "/console/draft" } }).add(draftFields(draft, session));
    html.voidElement("input", { { "type", "hidden" }, { "name", "kind" }, { "value", view.kind } });
    html.voidElement("input", { { "type", "hidden" }, { "name", "from" }, { "value", std::to_string(view.offset) } });
    html.voidElement(
        "input", { { "type", "hidden" }, { "name", "checked" }, { "value", faults == nullptr ? "" : "yes" } });
    // The Enter key activates the first submit button of a form, so this one comes first.
    html.open("div", { { "class", "bar" } });
    html.element("button", "Check and preview", { { "class", "main" }, { "name", "do" }, { "value", "check" } });
    html.element("span", "Nothing takes effect before you accept the preview.", { { "class", "help" } }).close("div");
    html.add(kindButtons(draft, faults, view));
    html.element("h2", rule == nullptr ? std::string("Sections with faults") : std::string(rule->kind));
    if (rule != nullptr)
        html.element("p", rule->help, { { "class", "help" } });
    const auto end = std::min(shown.size(), view.offset + sectionsPerPage);
    for (std::size_t position = view.offset; position < end; ++position) {
        const auto index = shown[position];
        html.add(sectionFields(draft, index, sectionFaults(faults, index), view.focusedSection == index));
    }
    if (shown.empty() && rule != nullptr)
        html.add(messageBox(MessageKind::Info, "There is no such section."));
    html.add(pagination(shown.size(), view)).open("div", { { "class", "bar sticky" } });
    if (rule != nullptr && canAddSection(draft, *rule)) {
        html.element("button", "Add " + std::string(rule->kind),
            { { "name", "do" }, { "value", "add " + std::string(rule->kind) } });
    }
    html.element("button", "Check and preview", { { "class", "main" }, { "name", "do" }, { "value", "check" } });
    return html.close("div").close("form");
}

} // namespace lagoontiller::operators
