#include "operators/AcceptancePages.h"

#include "operators/DraftForm.h"
#include "operators/Layout.h"
#include "operators/Tables.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::operators {

namespace {

std::vector<Cell> changeRow(std::string_view kind, std::string_view section, std::string_view key,
    std::string_view before, std::string_view after)
{
    const auto cssClass = kind == "removed" ? "state-bad" : kind == "added" ? "state-good" : "state-warn";
    return { textCell(kind, cssClass), textCell("[" + std::string(section) + "]"), textCell(key), textCell(before),
        textCell(after) };
}

Html changeRowsTable(const std::vector<std::vector<Cell>>& rows)
{
    if (rows.empty())
        return messageBox(MessageKind::Info, "No differences.");
    return table({ "change", "section", "key", "before", "after" }, rows);
}

/// \brief Builds a form whose hidden fields hold the draft, with one submit button for each action.
class DraftActionForm {
public:
    DraftActionForm(const Draft& draft, const Session& session, const std::string& acceptanceId = {})
    {
        this->html.open("form", { { "method", "post" }, { "action", "/console/draft" } });
        this->html.add(draftFields(draft, session));
        if (!acceptanceId.empty())
            this->html.voidElement(
                "input", { { "type", "hidden" }, { "name", "acceptance" }, { "value", acceptanceId } });
        this->html.open("div", { { "class", "bar" } });
    }

    DraftActionForm& addButton(std::string_view action, std::string_view text, std::string_view cssClass = "")
    {
        this->html.element("button", text, { { "name", "do" }, { "value", action }, { "class", cssClass } });
        return *this;
    }

    [[nodiscard]] Html finish() { return this->html.close("div").close("form"); }

private:
    Html html;
};

constexpr std::string_view showFormAction = "show deployment 0";

Html conflictTable(const std::vector<document::MergeConflict>& conflicts)
{
    std::vector<std::vector<Cell>> rows;
    rows.reserve(conflicts.size());
    for (const auto& conflict : conflicts)
        rows.push_back({ textCell(document::format(conflict.mine)), textCell(document::format(conflict.theirs)) });
    return table({ "your change", "their change" }, rows);
}

std::string versionText(document::DocumentVersion version)
{
    return "version " + std::to_string(version);
}

} // namespace

Html changesTable(const document::Changes& changes)
{
    std::vector<std::vector<Cell>> rows;
    for (const auto& change : changes)
        rows.push_back(changeRow(document::name(change.kind()), change.section(),
            change.key().empty() ? "(whole section)" : change.key(), change.redactedBefore(), change.redactedAfter()));
    return changeRowsTable(rows);
}

Html changesTable(const nlohmann::json& changes)
{
    const auto text = [](const nlohmann::json& change, const char* key) {
        return change.is_object() ? change.value(key, std::string()) : std::string();
    };
    std::vector<std::vector<Cell>> rows;
    for (const auto& change : changes) {
        const auto key = text(change, "key");
        rows.push_back(changeRow(text(change, "change"), text(change, "section"), key.empty() ? "(whole section)" : key,
            text(change, "old"), text(change, "new")));
    }
    return changeRowsTable(rows);
}

Html previewPage(const Preview& preview, const Session& session)
{
    Html html;
    if (preview.changes.empty()) {
        html.add(messageBox(MessageKind::Info,
            "The draft has no faults and does not differ from " + versionText(preview.draft.baseVersion)
                + ". There is nothing to accept."));
        return html.add(DraftActionForm(preview.draft, session).addButton(showFormAction, "Back to the form").finish());
    }
    html.add(messageBox(MessageKind::Success,
        "The draft has no faults. These are its differences from " + versionText(preview.draft.baseVersion)
            + (preview.draft.baseVersion == 0 ? ", the empty document." : ". Nothing has taken effect yet.")));
    if (preview.current > preview.draft.baseVersion) {
        html.add(messageBox(MessageKind::Warning,
            "Meanwhile " + versionText(preview.current)
                + " was accepted. Accept shows how your changes merge with it; your input is kept."));
    }
    html.add(changesTable(preview.changes));
    html.element("p", "The history will name you as the author: " + session.author + ".", { { "class", "help" } });
    return html.add(
        DraftActionForm(preview.draft, session, preview.acceptanceId)
            .addButton("accept", "Accept as version " + std::to_string(preview.draft.baseVersion + 1), "main")
            .addButton(showFormAction, "Back to the form")
            .finish());
}

Html acceptedPage(document::DocumentVersion version, const Html& changes)
{
    Html html;
    const auto number = std::to_string(version);
    html.add(messageBox(MessageKind::Success,
        "Version " + number
            + " is accepted. All nodes apply it within seconds; calls in progress finish under the version they "
              "started with."));
    html.add(changes);
    html.open("div", { { "class", "bar" } });
    html.element("a", "Document version of each node", { { "href", "/console/status#nodes" }, { "class", "button" } });
    html.element("a", "History", { { "href", "/console/history" }, { "class", "button" } });
    return html.close("div");
}

Html conflictPage(const document::VersionConflict& race, const Draft& draft, const Session& session)
{
    Html html;
    html.add(messageBox(MessageKind::Warning,
        race.currentAuthor + " was faster: " + versionText(race.currentVersion)
            + " was accepted after you started from " + versionText(draft.baseVersion)
            + ". Nothing of your draft has taken effect, and all of your input is kept."));
    html.element("h2", "What " + versionText(race.currentVersion) + " changed")
        .add(changesTable(race.changesSinceBase));
    html.element("h2", "Your changes that still fit");
    html.add(changesTable(race.merge.kept));
    Draft merged;
    document::Faults ignoredFaults;
    merged = parseDraft(document::print(race.merge.values), race.currentVersion, ignoredFaults);
    if (!race.merge.conflicts.empty()) {
        html.element("h2", "Your changes that do not fit").add(conflictTable(race.merge.conflicts));
        html.element("p",
            "The merged draft has the values of " + versionText(race.currentVersion)
                + " in these places. To enter your own values again, copy them from the table above before you "
                  "continue.",
            { { "class", "help" } });
    }
    html.add(DraftActionForm(merged, session).addButton("check", "Continue with the merged draft", "main").finish());
    auto rebased = draft;
    rebased.baseVersion = race.currentVersion;
    html.element("h2", "Or keep your draft as it is");
    html.element("p",
        "This takes back the changes of " + versionText(race.currentVersion)
            + " that your draft does not have. The preview shows them before anything is accepted.",
        { { "class", "help" } });
    return html.add(DraftActionForm(rebased, session).addButton("check", "Continue with my whole draft").finish());
}

Html outcomeUnknownPage(
    const Draft& draft, const std::string& acceptanceId, const core::Error& error, const Session& session)
{
    Html html;
    html.add(messageBox(MessageKind::Warning,
        "It is not known yet whether " + versionText(draft.baseVersion + 1)
            + " was accepted: the reply of the store was lost. Your draft is kept. Ask again; the console reads the "
              "version back and says whether it is yours."));
    html.element("p",
        "Result code " + std::to_string(static_cast<int>(error.code)) + " (" + std::string(core::name(error.code))
            + "): " + error.message,
        { { "class", "help" } });
    return html.add(DraftActionForm(draft, session, acceptanceId)
                        .addButton("outcome", "Ask whether it was accepted", "main")
                        .addButton(showFormAction, "Back to the form")
                        .finish());
}

Html notAcceptedPage(
    const Draft& draft, const std::string& acceptanceId, const std::string& reason, const Session& session)
{
    Html html;
    html.add(messageBox(MessageKind::Error, reason));
    // The acceptance ID is created with the preview; without one, the preview failed and has to be repeated.
    const bool wasPreviewed = !acceptanceId.empty();
    return html.add(DraftActionForm(draft, session, acceptanceId)
                        .addButton(wasPreviewed ? "accept" : "check",
                            wasPreviewed ? "Try to accept again" : "Check and preview again", "main")
                        .addButton(showFormAction, "Back to the form")
                        .finish());
}

} // namespace lagoontiller::operators
