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
constexpr std::size_t maxAuthorBytes = 200;

constexpr std::string_view sessionCookie = "session";
constexpr std::string_view signInCookie = "sign_in";

std::string targetPath(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

void sendSignIn(const IncomingRequest& request, const ResponseStreamPointer& response, int status, SignInForm form)
{
    form.csrfToken = core::randomHex(tokenBytes);
    sendPage(response, status, renderPage("Sign in", NavigationItem::SignIn, std::nullopt, signInForm(form)),
        { setCookie(cookieName(request, signInCookie), form.csrfToken) });
}

void sendMessage(const ResponseStreamPointer& response, int status, const Session& session, const std::string& title,
    const std::string& text)
{
    sendPage(
        response, status, renderPage(title, NavigationItem::Status, session, messageBox(MessageKind::Error, text)));
}

/// \brief Returns the encoded draft of a submitted form after applying the form's fields. Empty when the request comes
/// from another origin or holds no valid draft.
std::string encodedSubmittedDraft(const IncomingRequest& request)
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
    const auto path = targetPath(request.target);
    const bool isPost = request.method == "POST";
    if (!isPost && request.method != "GET")
        return sendPage(response, 404, renderPage("Unknown method", NavigationItem::SignIn, std::nullopt, {}));
    if (path == "/console/style.css")
        return sendStyleSheet(response);
    if (path == "/console/sign-in") {
        if (isPost)
            this->handleSignIn(request, response);
        else
            sendSignIn(request, response, 200, {});
        return;
    }
    const auto session
        = this->sessions.findAndRefresh(cookieValue(request, cookieName(request, sessionCookie)), this->clock());
    if (!session)
        return this->rejectWithoutSession(request, response);
    if (isPost)
        return this->handlePost(request, path, { *session, response });
    const auto query = parseForm(queryString(request.target));
    this->handleGet(path, query ? *query : FormData(), { *session, response });
}

void Console::rejectWithoutSession(const IncomingRequest& request, const ResponseStreamPointer& response) const
{
    if (request.method == "GET")
        return redirect(response, "/console/sign-in");
    SignInForm form;
    form.encodedDraft = encodedSubmittedDraft(request);
    form.errorMessage = form.encodedDraft.empty()
        ? "Your session has ended. Nothing was changed. Sign in again."
        : "Your session has ended. Nothing was changed. Sign in again to continue with your draft.";
    sendSignIn(request, response, 401, form);
}

void Console::handleSignIn(const IncomingRequest& request, const ResponseStreamPointer& response)
{
    const auto form = parseForm(request.body);
    if (!form)
        return sendSignIn(
            request, response, 400, { .csrfToken = {}, .errorMessage = "The submitted form is malformed." });
    SignInForm retryForm {
        .csrfToken = {}, .errorMessage = {}, .author = form->value("author"), .encodedDraft = form->value("draft")
    };
    const auto refuse = [&](int status, std::string errorMessage) {
        retryForm.errorMessage = std::move(errorMessage);
        sendSignIn(request, response, status, retryForm);
    };
    if (!constantTimeEquals(cookieValue(request, cookieName(request, signInCookie)), form->value("token"))) {
        // A page of another origin may have supplied the draft.
        retryForm.encodedDraft.clear();
        return refuse(403, "The sign-in form was opened in another browser or is no longer valid. Try again.");
    }
    const auto now = this->clock();
    if (!this->sessions.mayAttemptSignIn(request.remoteAddress, now)) {
        core::logWarning("sign_in_limited").with("address", request.remoteAddress);
        return refuse(429, "Too many failed sign-ins. The key was not checked. Wait ten minutes and try again.");
    }
    if (!document::matchesKey(this->operatorKey, form->value("key"))) {
        this->sessions.recordFailure(request.remoteAddress, now);
        core::logWarning("sign_in_refused").with("address", request.remoteAddress);
        return refuse(401, "This is not the operator key.");
    }
    const auto& author = form->value("author");
    if (author.find_first_not_of(' ') == std::string::npos || author.size() > maxAuthorBytes)
        return refuse(422, "Enter your name, at most 200 bytes long.");
    this->openSession(request, *form, response);
}

void Console::openSession(const IncomingRequest& request, const FormData& form, const ResponseStreamPointer& response)
{
    const auto session = this->sessions.open(form.value("author"), this->clock());
    core::logInfo("sign_in").with("address", request.remoteAddress).with("author", session.author);
    const http::Headers cookies { setCookie(cookieName(request, sessionCookie), session.id),
        setCookie(cookieName(request, signInCookie), "", true) };
    const auto draft = decodeDraft(form.value("draft"));
    if (!draft)
        return redirect(response, "/console/status", cookies);
    const auto faults = checkDraft(*draft);
    sendPage(response, 200,
        renderPage(
            "Edit document", NavigationItem::Edit, session, draftForm(*draft, &faults, { "deployment" }, session)),
        cookies);
}

void Console::handleGet(const std::string& path, const FormData& query, const RequestContext& context)
{
    if (path == "/" || path == "/console" || path == "/console/")
        redirect(context.response, "/console/status");
    else if (path == "/console/status")
        sendPage(context.response, 200,
            renderPage("Status", NavigationItem::Status, context.session, statusPage(this->status())));
    else if (path == "/console/edit")
        this->showDraftForm(query, context);
    else if (path == "/console/history")
        this->showHistory(query, context);
    else if (path == "/console/version")
        this->showVersion(query, context);
    else if (path == "/console/draft" || path == "/console/import")
        redirect(context.response, "/console/edit");
    else
        sendMessage(context.response, 404, context.session, "Unknown page", "There is no such page.");
}

void Console::handlePost(const IncomingRequest& request, const std::string& path, const RequestContext& context)
{
    const auto form = parseForm(request.body);
    if (!form)
        return sendMessage(context.response, 400, context.session, "Invalid form", form.error().message);
    if (!constantTimeEquals(context.session.csrfToken, form->value("csrf"))) {
        Html html;
        html.add(messageBox(MessageKind::Error, "This form does not belong to your session. Nothing was changed."));
        if (const auto draft = decodeDraft(encodedSubmittedDraft(request))) {
            html.open("form", { { "method", "post" }, { "action", "/console/draft" } });
            html.add(draftFields(*draft, context.session));
            html.element("button", "Continue with the submitted draft", { { "name", "do" }, { "value", "check" } });
            html.close("form");
        }
        return sendPage(context.response, 403, renderPage("Refused", NavigationItem::Edit, context.session, html));
    }
    if (path == "/console/draft")
        return this->changeDraft(*form, context);
    if (path == "/console/import")
        return this->importDraft(*form, context);
    if (path == "/console/sign-out") {
        this->sessions.close(context.session.id);
        return redirect(
            context.response, "/console/sign-in", { setCookie(cookieName(request, sessionCookie), "", true) });
    }
    sendMessage(context.response, 404, context.session, "Unknown page", "There is no such page.");
}

} // namespace lagoontiller::operators
