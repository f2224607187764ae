#include "operators/Console.h"

#include "control/Overloaded.h"
#include "core/Encoding.h"
#include "core/Log.h"
#include "operators/AcceptancePages.h"
#include "operators/DraftForm.h"
#include "operators/Layout.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lagoontiller::operators {

namespace {

using control::Overloaded;
using core::ResultCode;

constexpr std::size_t acceptanceIdBytes = 16;

/// \brief Parsed value of the submit button: `<command> [<section kind>] [<number>]`.
struct Action {
    std::string command;
    std::string sectionKind;
    /// \brief Offset of the first shown section for `show` and `faults`, section index for `remove`.
    std::size_t argument = 0;
};

Action parseAction(const std::string& text)
{
    std::istringstream words(text);
    Action action;
    words >> action.command;
    if (action.command == "show" || action.command == "add")
        words >> action.sectionKind;
    std::string number;
    words >> number;
    action.argument = static_cast<std::size_t>(parseUnsigned(number));
    return action;
}

bool isAcceptanceId(const std::string& text)
{
    const auto isHex = [](char each) { return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f'); };
    return text.size() == 2 * acceptanceIdBytes && std::all_of(text.begin(), text.end(), isHex);
}

Html importForm(const std::string& text, const Session& session)
{
    Html html;
    html.open("form", { { "method", "post" }, { "action", "/console/import" } }).add(csrfField(session.csrfToken));
    html.element("label", "Document text (INI), for example a file of examples/", { { "for", "text" } });
    html.element("textarea", "\n" + text, { { "id", "text" }, { "name", "text" }, { "spellcheck", "false" } });
    html.open("div", { { "class", "bar" } }).element("button", "Read the text into the form").close("div");
    return html.close("form");
}

Html faultList(const document::Faults& faults)
{
    Html html;
    html.add(messageBox(MessageKind::Error, "These lines cannot be read into the form. Your text is kept below."));
    html.open("ul");
    for (const auto& fault : faults)
        html.element("li", document::format(fault, "line"));
    return html.close("ul");
}

std::string rejectionText(const core::Error& error)
{
    return "Nothing was accepted: " + error.message + " (result code " + std::to_string(static_cast<int>(error.code))
        + "). Your draft is kept.";
}

} // namespace

void Console::showDraftForm(const FormData& query, const RequestContext& context)
{
    const auto current = this->documents.current();
    const auto show = [context](const Draft& draft, const Html& notes) {
        Html html;
        html.add(notes).add(draftForm(draft, nullptr, { "deployment" }, context.session));
        html.open("details", draft.baseVersion == 0 ? Attributes { { "open", "" } } : Attributes {});
        html.element("summary", "Replace the whole document with a text");
        html.element(
            "p", "The text replaces all values of the form above. A preview follows.", { { "class", "help" } });
        html.add(importForm("", context.session)).close("details");
        sendPage(context.response, 200, renderPage("Edit document", NavigationItem::Edit, context.session, html));
    };
    document::Faults none;
    const auto from = parseUnsigned(query.value("from"));
    if (from == 0 && current.version == 0)
        return show(initialDraft(),
            messageBox(MessageKind::Info, "No document is in force. Fill in the sections, or paste a text below."));
    if (from == 0) {
        return show(parseDraft(current.text, current.version, none),
            messageBox(MessageKind::Info,
                "You start from version " + std::to_string(current.version) + ", which is in force."));
    }
    this->readVersion(from, [context, show, from, baseVersion = current.version](const auto& row) {
        if (!row || !*row) {
            const auto text = row ? std::string("This version does not exist.") : rejectionText(row.error());
            return sendPage(context.response, row ? 404 : 503,
                renderPage(
                    "Edit document", NavigationItem::Edit, context.session, messageBox(MessageKind::Error, text)));
        }
        document::Faults ignored;
        show(parseDraft((*row)->text, baseVersion, ignored),
            messageBox(MessageKind::Warning,
                "The form has the values of version " + std::to_string(from)
                    + ". Accepting makes a new version that replaces version " + std::to_string(baseVersion)
                    + "; the preview shows the differences between the two."));
    });
}

void Console::importDraft(const FormData& form, const RequestContext& context)
{
    document::Faults faults;
    const auto& text = form.value("text");
    const auto draft = parseDraft(text, this->documents.current().version, faults);
    if (!faults.empty()) {
        auto html = faultList(faults);
        html.add(importForm(text, context.session));
        return sendPage(
            context.response, 422, renderPage("Edit document", NavigationItem::Edit, context.session, html));
    }
    this->showPreview(draft, context);
}

void Console::changeDraft(const FormData& form, const RequestContext& context)
{
    auto draft = decodeDraft(form.value("draft"));
    if (!draft) {
        return sendPage(context.response, 400,
            renderPage("Invalid form", NavigationItem::Edit, context.session,
                messageBox(MessageKind::Error, draft.error().message)));
    }
    applyFields(*draft, form);
    const auto action = parseAction(form.value("do"));
    const auto& submittedId = form.value("acceptance");
    const auto acceptanceId = isAcceptanceId(submittedId) ? submittedId : core::randomHex(acceptanceIdBytes);
    if (action.command == "accept")
        return this->acceptDraft(*draft, acceptanceId, context);
    if (action.command == "outcome")
        return this->resolveOutcome(*draft, acceptanceId, context);
    DraftView view { form.value("kind"), static_cast<std::size_t>(parseUnsigned(form.value("from"))), std::nullopt };
    if (action.command == "show" || action.command == "faults") {
        view = { action.sectionKind, action.argument, std::nullopt };
    } else if (action.command == "add" && document::documentSchema().find(action.sectionKind) != nullptr) {
        const auto added = addSection(*draft, action.sectionKind);
        const auto sameKind = std::count_if(draft->sections.begin(), draft->sections.end(),
            [&action](const DraftSection& section) { return section.kind == action.sectionKind; });
        view
            = { action.sectionKind, static_cast<std::size_t>(sameKind - 1) / sectionsPerPage * sectionsPerPage, added };
    } else if (action.command == "remove") {
        if (action.argument < draft->sections.size())
            draft->sections.erase(draft->sections.begin() + static_cast<std::ptrdiff_t>(action.argument));
    } else {
        return this->showPreview(*draft, context);
    }
    const bool wasChecked = form.value("checked") == "yes";
    const auto faults = wasChecked ? checkDraft(*draft) : DraftFaults {};
    const auto content = draftForm(*draft, wasChecked ? &faults : nullptr, view, context.session);
    sendPage(context.response, 200, renderPage("Edit document", NavigationItem::Edit, context.session, content));
}

void Console::showPreview(const Draft& draft, const RequestContext& context)
{
    const auto faults = checkDraft(draft);
    if (!faults.isEmpty()) {
        const auto kind = faults.bySection.empty() ? faults.general.front().section : std::string();
        return sendPage(context.response, 422,
            renderPage("Edit document", NavigationItem::Edit, context.session,
                draftForm(draft, &faults, { kind }, context.session)));
    }
    const auto current = this->documents.current();
    const auto show
        = [context, draft, version = current.version](const std::vector<document::DocumentValue>& baseValues) {
              const auto draftValues = document::canonicalValues(formatDraft(draft));
              const Preview preview { draft, document::difference(baseValues, draftValues), version,
                  core::randomHex(acceptanceIdBytes) };
              sendPage(context.response, 200,
                  renderPage("Preview", NavigationItem::Edit, context.session, previewPage(preview, context.session)));
          };
    if (draft.baseVersion == 0)
        return show({});
    if (draft.baseVersion == current.version)
        return show(document::canonicalValues(current.text));
    this->readVersion(draft.baseVersion, [context, draft, show](const auto& row) {
        if (row && *row)
            return show(document::canonicalValues((*row)->text));
        const auto reason
            = row ? std::string("The version that the draft started from does not exist.") : rejectionText(row.error());
        sendPage(context.response, 503,
            renderPage(
                "Preview", NavigationItem::Edit, context.session, notAcceptedPage(draft, "", reason, context.session)));
    });
}

void Console::acceptDraft(const Draft& draft, const std::string& acceptanceId, const RequestContext& context)
{
    document::AcceptanceRequest request;
    request.text = formatDraft(draft);
    request.author = context.session.author;
    request.base = draft.baseVersion;
    request.unixMs = core::unixMilliseconds();
    request.acceptanceId = acceptanceId;
    this->documents.accept(
        std::move(request), [this, draft, acceptanceId, context](const document::Acceptance::Step& result) {
            this->onAcceptanceResult(result, draft, acceptanceId, context);
        });
}

void Console::onAcceptanceResult(const document::Acceptance::Step& result, const Draft& draft,
    const std::string& acceptanceId, const RequestContext& context)
{
    const auto send = [&](int status, const std::string& title, const Html& content) {
        sendPage(context.response, status, renderPage(title, NavigationItem::Edit, context.session, content));
    };
    std::visit(
        Overloaded {
            [&](const document::Accepted& accepted) {
                core::logInfo("document_accepted")
                    .with("version", accepted.version)
                    .with("author", context.session.author);
                send(200, "Accepted", acceptedPage(accepted.version, changesTable(accepted.changes)));
            },
            [&](const document::VersionConflict& race) { this->onVersionConflict(race, draft, acceptanceId, context); },
            [&](const document::Refused& refused) {
                if (!refused.faults.empty())
                    return this->showPreview(draft, context);
                if (refused.error.ran == core::RunState::MayHaveRun) {
                    return send(503, "Outcome unknown",
                        outcomeUnknownPage(draft, acceptanceId, refused.error, context.session));
                }
                send(core::httpStatus(refused.error.code), "Not accepted",
                    notAcceptedPage(draft, acceptanceId, rejectionText(refused.error), context.session));
            },
            [&](const auto&) {
                send(500, "Not accepted",
                    notAcceptedPage(draft, acceptanceId, "The acceptance gave no result.", context.session));
            },
        },
        result);
}

void Console::onVersionConflict(const document::VersionConflict& race, const Draft& draft,
    const std::string& acceptanceId, const RequestContext& context)
{
    // When the browser submits a form twice, the second request conflicts with the version that the first one wrote.
    this->readVersion(draft.baseVersion + 1, [race, draft, acceptanceId, context](const auto& row) {
        if (row && *row && (*row)->acceptanceId == acceptanceId) {
            const auto changes = nlohmann::json::parse((*row)->differenceJson, nullptr, false);
            return sendPage(context.response, 200,
                renderPage("Accepted", NavigationItem::Edit, context.session,
                    acceptedPage((*row)->version, changesTable(changes))));
        }
        if (!row) {
            return sendPage(context.response, 503,
                renderPage("Outcome unknown", NavigationItem::Edit, context.session,
                    outcomeUnknownPage(draft, acceptanceId, row.error(), context.session)));
        }
        sendPage(context.response, 409,
            renderPage("Another version was accepted first", NavigationItem::Edit, context.session,
                conflictPage(race, draft, context.session)));
    });
}

void Console::resolveOutcome(const Draft& draft, const std::string& acceptanceId, const RequestContext& context)
{
    this->readVersion(draft.baseVersion + 1, [this, draft, acceptanceId, context](const auto& row) {
        if (!row) {
            return sendPage(context.response, 503,
                renderPage("Outcome unknown", NavigationItem::Edit, context.session,
                    outcomeUnknownPage(draft, acceptanceId, row.error(), context.session)));
        }
        // The version exists. Accepting again tells by the acceptance ID whether this draft wrote it, and otherwise
        // answers with the conflict page.
        if (*row)
            return this->acceptDraft(draft, acceptanceId, context);
        const auto reason = "Version " + std::to_string(draft.baseVersion + 1)
            + " does not exist: your draft was not accepted. Accepting again is safe: at most one of the two takes "
              "effect.";
        sendPage(context.response, 200,
            renderPage("Not accepted", NavigationItem::Edit, context.session,
                notAcceptedPage(draft, acceptanceId, reason, context.session)));
    });
}

} // namespace lagoontiller::operators
