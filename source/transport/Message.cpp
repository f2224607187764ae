#include "transport/Message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoontiller::transport {

namespace {

constexpr char toLower(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimBlanks(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool listHasToken(std::string_view list, std::string_view token) noexcept
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (sameName(trimBlanks(list.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

struct ReasonPhrase {
    int status;
    std::string_view text;
};

constexpr std::array reasonPhrases {
    ReasonPhrase { 200, "OK" },
    ReasonPhrase { 400, "Bad Request" },
    ReasonPhrase { 402, "Payment Required" },
    ReasonPhrase { 404, "Not Found" },
    ReasonPhrase { 408, "Request Timeout" },
    ReasonPhrase { 413, "Content Too Large" },
    ReasonPhrase { 421, "Misdirected Request" },
    ReasonPhrase { 429, "Too Many Requests" },
    ReasonPhrase { 431, "Request Header Fields Too Large" },
    ReasonPhrase { 500, "Internal Server Error" },
    ReasonPhrase { 502, "Bad Gateway" },
    ReasonPhrase { 503, "Service Unavailable" },
    ReasonPhrase { 504, "Gateway Timeout" },
};

} // namespace

bool sameName(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return toLower(a) == toLower(b); });
}

std::optional<std::string_view> Fields::find(std::string_view name) const noexcept
{
    for (const auto& field : this->entries) {
        if (sameName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::size_t Fields::count(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        this->entries.begin(), this->entries.end(), [name](const Field& field) { return sameName(field.name, name); }));
}

bool Fields::hasToken(std::string_view name, std::string_view token) const noexcept
{
    return std::any_of(this->entries.begin(), this->entries.end(),
        [name, token](const Field& field) { return sameName(field.name, name) && listHasToken(field.value, token); });
}

bool isConnectionField(const Fields& fields, std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 11> names { "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
        "Transfer-Encoding", "Content-Length", "Upgrade", "Expect", "Proxy-Authenticate", "Proxy-Authorization" };
    if (std::any_of(names.begin(), names.end(), [name](std::string_view each) { return sameName(each, name); }))
        return true;
    return fields.hasToken("Connection", name);
}

void appendField(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string statusLine(int status)
{
    const auto* const found = std::find_if(reasonPhrases.begin(), reasonPhrases.end(),
        [status](const ReasonPhrase& each) { return each.status == status; });
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    line.append(found == reasonPhrases.end() ? std::string_view("Status") : found->text).append("\r\n");
    return line;
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 20> digits {};
    auto* const end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    std::string result(digits.data(), end);
    result.reserve(result.size() + bytes.size() + 4);
    result.append("\r\n").append(bytes).append("\r\n");
    return result;
}

} // namespace lagoontiller::transport
