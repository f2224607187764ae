#include "callers/impl/RequestFields.h"

#include <algorithm>
#include <charconv>

namespace lagoontiller::callers::impl {

namespace {

constexpr std::size_t maxIdentifierLength = 200;
constexpr std::uint32_t maxTurn = 100000;

} // namespace

bool isIdentifier(std::string_view text) noexcept
{
    const auto allowed = [](char character) {
        return character > ' ' && character < 0x7F && character != '/' && character != '"' && character != '\\';
    };
    return !text.empty() && text.size() <= maxIdentifierLength && std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::uint32_t> parseTurn(std::string_view text) noexcept
{
    std::uint32_t turn = 0;
    const auto [parsedEnd, error] = std::from_chars(text.data(), text.data() + text.size(), turn);
    if (error != std::errc() || parsedEnd != text.data() + text.size() || turn == 0 || turn > maxTurn)
        return std::nullopt;
    return turn;
}

core::Expected<std::string> identifierHeader(const IncomingRequest& request, std::string_view name)
{
    const auto value = http::headerValue(request.headers, name);
    if (!value.empty() && !isIdentifier(value)) {
        return core::failure(core::ResultCode::InvalidField,
            std::string(name) + " must have 1 to 200 printable ASCII characters except space, / \" and \\");
    }
    return std::string(value);
}

core::Expected<std::optional<std::uint32_t>> turnHeader(const IncomingRequest& request)
{
    const auto value = http::headerValue(request.headers, "X-Turn");
    if (value.empty())
        return std::optional<std::uint32_t> {};
    const auto turn = parseTurn(value);
    if (!turn)
        return core::failure(core::ResultCode::InvalidField, "X-Turn must be a whole number from 1 to 100000");
    return turn;
}

core::Expected<bool> booleanHeader(const IncomingRequest& request, std::string_view name, bool defaultValue)
{
    const auto value = http::headerValue(request.headers, name);
    if (value.empty())
        return defaultValue;
    if (value != "true" && value != "false")
        return core::failure(core::ResultCode::InvalidField, std::string(name) + " must be true or false");
    return value == "true";
}

} // namespace lagoontiller::callers::impl
