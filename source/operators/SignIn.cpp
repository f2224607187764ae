#include "operators/SignIn.h"

#include "operators/Layout.h"

#include <algorithm>

namespace lagoontiller::operators {

namespace {

bool isDigit(char character) noexcept
{
    return character >= '0' && character <= '9';
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

} // namespace

std::string cookieName(const callers::IncomingRequest& request, std::string_view purpose)
{
    const auto host = http::headerValue(request.headers, "Host");
    const auto colon = host.rfind(':');
    const auto port = colon == std::string_view::npos ? std::string_view() : host.substr(colon + 1);
    const bool isPort = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), isDigit);
    return "lagoontiller_" + std::string(purpose) + "_" + (isPort ? std::string(port) : "80");
}

std::string cookieValue(const callers::IncomingRequest& request, std::string_view name)
{
    auto cookies = http::headerValue(request.headers, "Cookie");
    while (!cookies.empty()) {
        const auto end = std::min(cookies.find(';'), cookies.size());
        const auto cookie = trimmed(cookies.substr(0, end));
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        const auto equals = cookie.find('=');
        if (equals != std::string_view::npos && cookie.substr(0, equals) == name)
            return std::string(cookie.substr(equals + 1));
    }
    return {};
}

http::Header setCookie(const std::string& name, const std::string& value, bool isDeleted)
{
    const std::string maxAge = isDeleted ? "; Max-Age=0" : "";
    return { "Set-Cookie", name + "=" + value + "; Path=/console; HttpOnly; SameSite=Strict" + maxAge };
}

bool isSameOrigin(const callers::IncomingRequest& request)
{
    const auto host = http::headerValue(request.headers, "Host");
    return !host.empty() && http::headerValue(request.headers, "Origin") == "http://" + std::string(host);
}

Html signInForm(const SignInForm& form)
{
    Html html;
    if (!form.errorMessage.empty())
        html.add(messageBox(MessageKind::Error, form.errorMessage));
    html.open("form", { { "method", "post" }, { "action", "/console/sign-in" }, { "class", "narrow" } });
    html.voidElement("input", { { "type", "hidden" }, { "name", "token" }, { "value", form.csrfToken } });
    if (!form.encodedDraft.empty())
        html.voidElement("input", { { "type", "hidden" }, { "name", "draft" }, { "value", form.encodedDraft } });
    html.open("p").element("label", "Your name", { { "for", "author" } });
    html.voidElement("input",
        { { "type", "text" }, { "id", "author" }, { "name", "author" }, { "value", form.author }, { "required", "" },
            { "maxlength", "60" }, { "autocomplete", "name" } });
    html.element(
        "span", "Written into the history as the author of the versions that you accept.", { { "class", "help" } });
    html.close("p").open("p").element("label", "Operator key", { { "for", "key" } });
    html.voidElement("input",
        { { "type", "password" }, { "id", "key" }, { "name", "key" }, { "required", "" },
            { "autocomplete", "current-password" } });
    html.element("span", "The key whose salt and hash are in this node's settings. There is no default key.",
        { { "class", "help" } });
    html.close("p").element("button", "Sign in", { { "class", "main" } });
    return html.close("form");
}

} // namespace lagoontiller::operators
