#include "operators/Console.h"

#include "core/Encoding.h"
#include "core/Log.h"
#include "operators/DraftForm.h"
#include "operators/Layout.h"
#include "operators/SignIn.h"
#include "operators/StatusPage.h"

#include <sodium.h>

namespace lagoontiller::operators {

namespace {

using callers::IncomingRequest;
using callers::ResponseStreamPointer;

constexpr std::size_t tokenBytes = 32;
constexpr std::size_t longestAuthorBytes = 200;

constexpr std::string_view sessionPurpose = "session";
constexpr std::string_view signInPurpose = "sign_in";

std::string pathOf(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

void sendSignIn(const IncomingRequest& request, const ResponseStreamPointer& response, int status, SignInForm form)
{
    form.token = core::randomHex(tokenBytes);
    sendPage(response, status, page("Sign in", Place::SignIn, std::nullopt, signInForm(form)),
        { setCookie(cookieName(request, signInPurpose), form.token) });
}

void sendMessage(const ResponseStreamPointer& response, int status, const Session& session, const std::string& title,
    const std::string& text)
{
    sendPage(response, status, page(title, Place::Status, session, note(NoteKind::Fault, text)));
}

/// \brief The draft of a submitted form with its fields applied, as text; empty when there is none.
std::string submittedDraft(const IncomingRequest& request)
{
    if (!isSameOrigin(request))
        return {};
    const auto form = parseForm(request.body);
    if (!form)
        return {};
    auto draft = decodeDraft(form->value("draft"));
    if (!draft)
        return {};
    applyFields(*draft, *form);
    return encodeDraft(*draft);
}

} // namespace

Console::Console(control::DocumentRepository& documents, document::KeyHash operatorKey, StatusFunction status,
    Clock clock, SessionLimits limits)
    : documents(documents)
    , operatorKey(std::move(operatorKey))
    , status(std::move(status))
    , clock(std::move(clock))
    , sessions(limits)
{
}

bool Console::serves(const std::string& target) noexcept
{
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    return path == "/" || path == "/console" || path.starts_with("/console/");
}

void Console::handle(const IncomingRequest& request, const ResponseStreamPointer& response)
{
    const auto path = pathOf(request.target);
    const bool isPost = request.method == "POST";
    if (!isPost && request.method != "GET")
        return sendPage(response, 404, page("Unknown method", Place::SignIn, std::nullopt, {}));
    if (path == "/console/style.css")
        return sendStyleSheet(response);
    if (path == "/console/sign-in") {
        if (isPost)
            this->signIn(request, response);
        else
            sendSignIn(request, response, 200, {});
        return;
    }
    const auto session = this->sessions.use(cookieValue(request, cookieName(request, sessionPurpose)), this->clock());
    if (!session)
        return this->refuseWithoutSession(request, response);
    if (isPost)
        return this->post(request, path, { *session, response });
    const auto query = parseForm(queryOf(request.target));
    this->get(path, query ? *query : FormData(), { *session, response });
}

void Console::refuseWithoutSession(const IncomingRequest& request, const ResponseStreamPointer& response) const
{
    if (request.method == "GET")
        return redirect(response, "/console/sign-in");
    SignInForm form;
    form.draft = submittedDraft(request);
    form.problem = form.draft.empty()
        ? "Your session has ended. Nothing was changed. Sign in again."
        : "Your session has ended. Nothing was changed. Sign in again to go on with your draft.";
    sendSignIn(request, response, 401, form);
}

void Console::signIn(const IncomingRequest& request, const ResponseStreamPointer& response)
{
    const auto form = parseForm(request.body);
    if (!form)
        return sendSignIn(request, response, 400, { .token = {}, .problem = "The form cannot be read." });
    SignInForm again { .token = {}, .problem = {}, .author = form->value("author"), .draft = form->value("draft") };
    const auto refuse = [&](int status, std::string problem) {
        again.problem = std::move(problem);
        sendSignIn(request, response, status, again);
    };
    if (!sameToken(cookieValue(request, cookieName(request, signInPurpose)), form->value("token"))) {
        // The draft may come from a foreign page.
        again.draft.clear();
        return refuse(403, "This form was not opened in this browser, or too long ago. Try again.");
    }
    const auto now = this->clock();
    if (!this->sessions.mayTry(request.remoteAddress, now)) {
        core::logWarning("sign_in_limited").with("address", request.remoteAddress);
        return refuse(429, "Too many failed sign-ins. The key was not checked. Wait ten minutes and try again.");
    }
    if (!document::matchesKey(this->operatorKey, form->value("key"))) {
        this->sessions.recordFailure(request.remoteAddress, now);
        core::logWarning("sign_in_refused").with("address", request.remoteAddress);
        return refuse(401, "This is not the operator key.");
    }
    const auto& author = form->value("author");
    if (author.find_first_not_of(' ') == std::string::npos || author.size() > longestAuthorBytes)
        return refuse(422, "Give your name, at most 200 bytes long.");
    this->openSession(request, *form, response);
}

void Console::openSession(const IncomingRequest& request, const FormData& form, const ResponseStreamPointer& response)
{
    const auto session = this->sessions.open(form.value("author"), this->clock());
    core::logInfo("sign_in").with("address", request.remoteAddress).with("author", session.author);
    const http::Headers cookies { setCookie(cookieName(request, sessionPurpose), session.id),
        setCookie(cookieName(request, signInPurpose), "", true) };
    const auto draft = decodeDraft(form.value("draft"));
    if (!draft)
        return redirect(response, "/console/status", cookies);
    const auto faults = checkDraft(*draft);
    sendPage(response, 200,
        page("Edit document", Place::Edit, session, draftForm(*draft, &faults, { "deployment" }, session)), cookies);
}

void Console::get(const std::string& path, const FormData& query, const Exchange& exchange)
{
    if (path == "/" || path == "/console" || path == "/console/")
        redirect(exchange.response, "/console/status");
    else if (path == "/console/status")
        sendPage(exchange.response, 200, page("Status", Place::Status, exchange.session, statusPage(this->status())));
    else if (path == "/console/edit")
        this->startDraft(query, exchange);
    else if (path == "/console/history")
        this->history(query, exchange);
    else if (path == "/console/version")
        this->version(query, exchange);
    else if (path == "/console/draft" || path == "/console/import")
        redirect(exchange.response, "/console/edit");
    else
        sendMessage(exchange.response, 404, exchange.session, "Unknown page", "There is no such page.");
}

void Console::post(const IncomingRequest& request, const std::string& path, const Exchange& exchange)
{
    const auto form = parseForm(request.body);
    if (!form)
        return sendMessage(exchange.response, 400, exchange.session, "Not read", form.error().message);
    if (!sameToken(exchange.session.csrfToken, form->value("csrf"))) {
        Html html;
        html.add(note(NoteKind::Fault, "This form does not belong to your session. Nothing was changed."));
        if (const auto draft = decodeDraft(submittedDraft(request))) {
            html.open("form", { { "method", "post" }, { "action", "/console/draft" } });
            html.add(draftFields(*draft, exchange.session));
            html.element("button", "Go on with the draft of the form", { { "name", "do" }, { "value", "check" } });
            html.close("form");
        }
        return sendPage(exchange.response, 403, page("Refused", Place::Edit, exchange.session, html));
    }
    if (path == "/console/draft")
        return this->changeDraft(*form, exchange);
    if (path == "/console/import")
        return this->importDraft(*form, exchange);
    if (path == "/console/sign-out") {
        this->sessions.close(exchange.session.id);
        return redirect(
            exchange.response, "/console/sign-in", { setCookie(cookieName(request, sessionPurpose), "", true) });
    }
    sendMessage(exchange.response, 404, exchange.session, "Unknown page", "There is no such page.");
}

} // namespace lagoontiller::operators
