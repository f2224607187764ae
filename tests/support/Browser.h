#pragma once

#include "core/Encoding.h"
#include "http/Client.h"

#include <future>
#include <map>
#include <string>

namespace lagoontiller::tests {

struct Page {
    int status = 0;
    std::string location;
    std::string body;
    [[nodiscard]] bool has(const std::string& text) const { return this->body.find(text) != std::string::npos; }
};

/// \brief Requests pages, keeps cookies, and sends forms with the hidden fields of the last page.
class Browser {
public:
    using Fields = std::map<std::string, std::string>;

    explicit Browser(std::string address)
        : origin("http://" + address)
        , address(std::move(address))
    {
    }

    Page get(const std::string& path) { return this->send("GET", path, ""); }

    /// \brief Sends the hidden fields of the last page, replaced or extended by the given ones.
    Page submit(const std::string& path, const Fields& fields)
    {
        auto all = this->hidden;
        for (const auto& [name, value] : fields)
            all[name] = value;
        std::string body;
        for (const auto& [name, value] : all)
            body += (body.empty() ? "" : "&") + core::encodeUrl(name) + "=" + core::encodeUrl(value);
        return this->send("POST", path, body);
    }

    Page signIn(const std::string& key, const std::string& author = "Anjali")
    {
        this->get("/console/sign-in");
        return this->submit("/console/sign-in", { { "key", key }, { "author", author } });
    }

    std::map<std::string, std::string> cookies;
    std::string cookieAttributes;
    std::string origin;
    Fields hidden;

private:
    Page send(const std::string& method, const std::string& path, const std::string& body)
    {
        http::Request request;
        request.method = method;
        request.url = "http://" + this->address + path;
        request.body = body;
        request.headers = { { "Origin", this->origin }, { "Content-Type", "application/x-www-form-urlencoded" } };
        std::string cookieText;
        for (const auto& [name, value] : this->cookies)
            cookieText += (cookieText.empty() ? "" : "; ") + name + "=" + value;
        if (!cookieText.empty())
            request.headers.push_back({ "Cookie", cookieText });
        request.firstByteTimeout = core::Duration::zero();
        std::promise<http::Response> done;
        this->client.fetch(std::move(request), [&done](auto answer) {
            done.set_value(answer ? *answer : http::Response { 0, {}, answer.error().message });
        });
        const auto answer = done.get_future().get();
        this->takeCookies(answer.headers);
        this->takeHiddenFields(answer.body);
        return { answer.status, std::string(http::headerValue(answer.headers, "Location")), answer.body };
    }

    void takeCookies(const http::Headers& headers)
    {
        for (const auto& header : headers) {
            if (!http::sameName(header.name, "Set-Cookie"))
                continue;
            const auto equals = header.value.find('=');
            const auto end = header.value.find(';');
            this->cookieAttributes = header.value.substr(end);
            const auto name = header.value.substr(0, equals);
            if (this->cookieAttributes.find("Max-Age=0") != std::string::npos)
                this->cookies.erase(name);
            else
                this->cookies[name] = header.value.substr(equals + 1, end - equals - 1);
        }
    }

    // Of several forms on a page, the first one counts.
    void takeHiddenFields(const std::string& body)
    {
        this->hidden.clear();
        constexpr std::string_view start = "<input type=\"hidden\" name=\"";
        for (auto at = body.find(start); at != std::string::npos; at = body.find(start, at + 1)) {
            const auto name = at + start.size();
            const auto value = body.find("value=\"", name) + 7;
            this->hidden.emplace(body.substr(name, body.find('"', name) - name),
                unescaped(body.substr(value, body.find('"', value) - value)));
        }
    }

    static std::string unescaped(std::string text)
    {
        const std::pair<const char*, const char*> escapes[]
            = { { "&lt;", "<" }, { "&gt;", ">" }, { "&quot;", "\"" }, { "&#39;", "'" }, { "&amp;", "&" } };
        for (const auto& [from, to] : escapes) {
            for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + 1))
                text.replace(at, std::string(from).size(), to);
        }
        return text;
    }

    std::string address;
    http::Client client;
};

} // namespace lagoontiller::tests
