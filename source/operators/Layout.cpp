#include "operators/Layout.h"

#include <array>
#include <ctime>

namespace lagoontiller::operators {

namespace {

constexpr std::string_view messageClass(MessageKind kind) noexcept
{
    switch (kind) {
    case MessageKind::Info:
        return "note";
    case MessageKind::Success:
        return "note success";
    case MessageKind::Warning:
        return "note warning";
    case MessageKind::Error:
        return "note fault";
    }
    return "note";
}

void addLink(Html& html, std::string_view target, std::string_view text, bool isCurrent)
{
    if (isCurrent)
        html.element("a", text, { { "href", target }, { "aria-current", "page" } });
    else
        html.element("a", text, { { "href", target } });
}

Html navigation(NavigationItem activeItem, const Session& session)
{
    Html html;
    html.open("nav");
    addLink(html, "/console/status", "Status", activeItem == NavigationItem::Status);
    addLink(html, "/console/edit", "Edit document", activeItem == NavigationItem::Edit);
    addLink(html, "/console/history", "History", activeItem == NavigationItem::History);
    html.open("form", { { "method", "post" }, { "action", "/console/sign-out" } });
    html.add(csrfField(session.csrfToken));
    html.element("span", session.author, { { "class", "author" } });
    html.element("button", "Sign out", { { "class", "quiet" } });
    html.close("form").close("nav");
    return html;
}

} // namespace

std::string renderPage(
    const std::string& title, NavigationItem activeItem, const std::optional<Session>& session, const Html& mainContent)
{
    Html html;
    html.open("html", { { "lang", "en" } }).open("head");
    html.voidElement("meta", { { "charset", "utf-8" } });
    html.voidElement("meta", { { "name", "viewport" }, { "content", "width=device-width, initial-scale=1" } });
    html.element("title", title + " - lagoontiller");
    html.voidElement("link", { { "rel", "stylesheet" }, { "href", "/console/style.css" } });
    html.close("head").open("body").open("header");
    html.element("span", "lagoontiller", { { "class", "brand" } });
    if (session)
        html.add(navigation(activeItem, *session));
    html.close("header").open("main").element("h1", title).add(mainContent).close("main").close("body").close("html");
    return "<!DOCTYPE html>\n" + html.content();
}

Html csrfField(const std::string& token)
{
    Html html;
    html.voidElement("input", { { "type", "hidden" }, { "name", "csrf" }, { "value", token } });
    return html;
}

Html messageBox(MessageKind kind, std::string_view text)
{
    Html html;
    const bool isAlert = kind == MessageKind::Error || kind == MessageKind::Warning;
    html.element("p", text, { { "class", messageClass(kind) }, { "role", isAlert ? "alert" : "status" } });
    return html;
}

void sendPage(const callers::ResponseStreamPointer& response, int status, std::string content, http::Headers headers)
{
    headers.push_back({ "Content-Type", "text/html; charset=utf-8" });
    headers.push_back({ "Content-Security-Policy",
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'" });
    headers.push_back({ "X-Content-Type-Options", "nosniff" });
    headers.push_back({ "Referrer-Policy", "same-origin" });
    headers.push_back({ "Cache-Control", "no-store" });
    response->respond(status, headers, std::move(content));
}

void sendStyleSheet(const callers::ResponseStreamPointer& response)
{
    response->respond(
        200, { { "Content-Type", "text/css; charset=utf-8" }, { "Cache-Control", "max-age=300" } }, styleSheet());
}

void redirect(const callers::ResponseStreamPointer& response, const std::string& target, http::Headers headers)
{
    headers.push_back({ "Location", target });
    headers.push_back({ "Cache-Control", "no-store" });
    response->respond(303, headers, "");
}

std::string formatTime(std::int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return { text.data(), length };
}

} // namespace lagoontiller::operators
