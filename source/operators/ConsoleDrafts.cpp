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

/// \brief Value of the pressed button: a word and its arguments.
struct Action {
    std::string word;
    std::string kind;
    std::size_t number = 0;
};

Action actionOf(const std::string& text)
{
    std::istringstream words(text);
    Action action;
    words >> action.word;
    if (action.word == "show" || action.word == "add")
        words >> action.kind;
    std::string number;
    words >> number;
    action.number = static_cast<std::size_t>(numberOf(number));
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
    html.add(note(NoteKind::Fault, "These lines cannot be read into the form. Your text is kept below."));
    html.open("ul");
    for (const auto& fault : faults)
        html.element("li", document::format(fault, "line"));
    return html.close("ul");
}

std::string reasonOf(const core::Error& error)
{
    return "Nothing was accepted: " + error.message + " (result code " + std::to_string(static_cast<int>(error.code))
        + "). Your draft is kept.";
}

} // namespace

void Console::startDraft(const FormData& query, const Exchange& exchange)
{
    const auto current = this->documents.current();
    const auto show = [exchange](const Draft& draft, const Html& notes) {
        Html html;
        html.add(notes).add(draftForm(draft, nullptr, { "deployment" }, exchange.session));
        html.open("details", draft.base == 0 ? Attributes { { "open", "" } } : Attributes {});
        html.element("summary", "Replace the whole document by a text");
        html.element(
            "p", "The text replaces all values of the form above. A preview follows.", { { "class", "help" } });
        html.add(importForm("", exchange.session)).close("details");
        sendPage(exchange.response, 200, page("Edit document", Place::Edit, exchange.session, html));
    };
    document::Faults none;
    const auto from = numberOf(query.value("from"));
    if (from == 0 && current.version == 0)
        return show(emptyDraft(),
            note(NoteKind::Plain, "No document is in force. Fill in the sections, or paste a text below."));
    if (from == 0) {
        return show(draftFrom(current.text, current.version, none),
            note(
                NoteKind::Plain, "You start from version " + std::to_string(current.version) + ", which is in force."));
    }
    this->readVersion(from, [exchange, show, from, base = current.version](const auto& row) {
        if (!row || !*row) {
            const auto text = row ? std::string("This version does not exist.") : reasonOf(row.error());
            return sendPage(exchange.response, row ? 404 : 503,
                page("Edit document", Place::Edit, exchange.session, note(NoteKind::Fault, text)));
        }
        document::Faults ignored;
        show(draftFrom((*row)->text, base, ignored),
            note(NoteKind::Warning,
                "The form has the values of version " + std::to_string(from)
                    + ". Accepting makes a new version that replaces version " + std::to_string(base)
                    + "; the preview shows the differences between the two."));
    });
}

void Console::importDraft(const FormData& form, const Exchange& exchange)
{
    document::Faults faults;
    const auto& text = form.value("text");
    const auto draft = draftFrom(text, this->documents.current().version, faults);
    if (!faults.empty()) {
        auto html = faultList(faults);
        html.add(importForm(text, exchange.session));
        return sendPage(exchange.response, 422, page("Edit document", Place::Edit, exchange.session, html));
    }
    this->preview(draft, exchange);
}

void Console::changeDraft(const FormData& form, const Exchange& exchange)
{
    auto draft = decodeDraft(form.value("draft"));
    if (!draft) {
        return sendPage(exchange.response, 400,
            page("Not read", Place::Edit, exchange.session, note(NoteKind::Fault, draft.error().message)));
    }
    applyFields(*draft, form);
    const auto action = actionOf(form.value("do"));
    const auto& given = form.value("acceptance");
    const auto acceptanceId = isAcceptanceId(given) ? given : core::randomHex(acceptanceIdBytes);
    if (action.word == "accept")
        return this->accept(*draft, acceptanceId, exchange);
    if (action.word == "outcome")
        return this->askOutcome(*draft, acceptanceId, exchange);
    DraftView view { form.value("kind"), static_cast<std::size_t>(numberOf(form.value("from"))), std::nullopt };
    if (action.word == "show" || action.word == "faults") {
        view = { action.kind, action.number, std::nullopt };
    } else if (action.word == "add" && document::documentSchema().find(action.kind) != nullptr) {
        const auto added = addSection(*draft, action.kind);
        const auto sameKind = std::count_if(draft->sections.begin(), draft->sections.end(),
            [&action](const DraftSection& section) { return section.kind == action.kind; });
        view = { action.kind, static_cast<std::size_t>(sameKind - 1) / sectionsPerPage * sectionsPerPage, added };
    } else if (action.word == "remove") {
        if (action.number < draft->sections.size())
            draft->sections.erase(draft->sections.begin() + static_cast<std::ptrdiff_t>(action.number));
    } else {
        return this->preview(*draft, exchange);
    }
    const bool wasChecked = form.value("checked") == "yes";
    const auto faults = wasChecked ? checkDraft(*draft) : DraftFaults {};
    const auto content = draftForm(*draft, wasChecked ? &faults : nullptr, view, exchange.session);
    sendPage(exchange.response, 200, page("Edit document", Place::Edit, exchange.session, content));
}

void Console::preview(const Draft& draft, const Exchange& exchange)
{
    const auto faults = checkDraft(draft);
    if (!faults.isEmpty()) {
        const auto kind = faults.bySection.empty() ? faults.general.front().section : std::string();
        return sendPage(exchange.response, 422,
            page(
                "Edit document", Place::Edit, exchange.session, draftForm(draft, &faults, { kind }, exchange.session)));
    }
    const auto current = this->documents.current();
    const auto show = [exchange, draft, version = current.version](const std::vector<document::DocumentValue>& base) {
        const auto own = document::canonicalValues(textOf(draft));
        const Preview content { draft, document::difference(base, own), version, core::randomHex(acceptanceIdBytes) };
        sendPage(exchange.response, 200,
            page("Preview", Place::Edit, exchange.session, previewPage(content, exchange.session)));
    };
    if (draft.base == 0)
        return show({});
    if (draft.base == current.version)
        return show(document::canonicalValues(current.text));
    this->readVersion(draft.base, [exchange, draft, show](const auto& row) {
        if (row && *row)
            return show(document::canonicalValues((*row)->text));
        const auto reason
            = row ? std::string("The version that the draft started from does not exist.") : reasonOf(row.error());
        sendPage(exchange.response, 503,
            page("Preview", Place::Edit, exchange.session, notAcceptedPage(draft, "", reason, exchange.session)));
    });
}

void Console::accept(const Draft& draft, const std::string& acceptanceId, const Exchange& exchange)
{
    document::AcceptanceRequest request;
    request.text = textOf(draft);
    request.author = exchange.session.author;
    request.base = draft.base;
    request.unixMs = core::unixMilliseconds();
    request.acceptanceId = acceptanceId;
    this->documents.accept(
        std::move(request), [this, draft, acceptanceId, exchange](const document::Acceptance::Step& result) {
            this->onAcceptance(result, draft, acceptanceId, exchange);
        });
}

void Console::onAcceptance(const document::Acceptance::Step& result, const Draft& draft,
    const std::string& acceptanceId, const Exchange& exchange)
{
    const auto send = [&](int status, const std::string& title, const Html& content) {
        sendPage(exchange.response, status, page(title, Place::Edit, exchange.session, content));
    };
    std::visit(
        Overloaded {
            [&](const document::Accepted& accepted) {
                core::logInfo("document_accepted")
                    .with("version", accepted.version)
                    .with("author", exchange.session.author);
                send(200, "Accepted", acceptedPage(accepted.version, changesTable(accepted.changes)));
            },
            [&](const document::VersionConflict& race) { this->onLostRace(race, draft, acceptanceId, exchange); },
            [&](const document::Refused& refused) {
                if (!refused.faults.empty())
                    return this->preview(draft, exchange);
                if (refused.error.ran == core::RunState::MayHaveRun) {
                    return send(503, "Outcome unknown",
                        outcomeUnknownPage(draft, acceptanceId, refused.error, exchange.session));
                }
                send(core::httpStatus(refused.error.code), "Not accepted",
                    notAcceptedPage(draft, acceptanceId, reasonOf(refused.error), exchange.session));
            },
            [&](const auto&) {
                send(500, "Not accepted",
                    notAcceptedPage(draft, acceptanceId, "The acceptance ended early.", exchange.session));
            },
        },
        result);
}

void Console::onLostRace(const document::VersionConflict& race, const Draft& draft, const std::string& acceptanceId,
    const Exchange& exchange)
{
    // A form that was sent twice loses the race against itself.
    this->readVersion(draft.base + 1, [race, draft, acceptanceId, exchange](const auto& row) {
        if (row && *row && (*row)->acceptanceId == acceptanceId) {
            const auto changes = nlohmann::json::parse((*row)->differenceJson, nullptr, false);
            return sendPage(exchange.response, 200,
                page("Accepted", Place::Edit, exchange.session, acceptedPage((*row)->version, changesTable(changes))));
        }
        if (!row) {
            return sendPage(exchange.response, 503,
                page("Outcome unknown", Place::Edit, exchange.session,
                    outcomeUnknownPage(draft, acceptanceId, row.error(), exchange.session)));
        }
        sendPage(exchange.response, 409,
            page("Another version was accepted first", Place::Edit, exchange.session,
                conflictPage(race, draft, exchange.session)));
    });
}

void Console::askOutcome(const Draft& draft, const std::string& acceptanceId, const Exchange& exchange)
{
    this->readVersion(draft.base + 1, [this, draft, acceptanceId, exchange](const auto& row) {
        if (!row) {
            return sendPage(exchange.response, 503,
                page("Outcome unknown", Place::Edit, exchange.session,
                    outcomeUnknownPage(draft, acceptanceId, row.error(), exchange.session)));
        }
        // With the version present, another acceptance ends in its own version or in the conflict page.
        if (*row)
            return this->accept(draft, acceptanceId, exchange);
        const auto reason = "Version " + std::to_string(draft.base + 1)
            + " does not exist: your draft was not accepted. Accepting again is safe: at most one of the two takes "
              "effect.";
        sendPage(exchange.response, 200,
            page("Not accepted", Place::Edit, exchange.session,
                notAcceptedPage(draft, acceptanceId, reason, exchange.session)));
    });
}

} // namespace lagoontiller::operators
