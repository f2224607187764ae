#include "document/impl/Numbers.h"

#include <array>
#include <charconv>
#include <cmath>

namespace lagoontiller::document {

namespace {

template <typename Number> std::optional<Number> parseWhole(std::string_view text) noexcept
{
    Number number {};
    const auto* const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || position != end)
        return std::nullopt;
    return number;
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text) noexcept
{
    return parseWhole<std::int64_t>(text);
}

std::optional<double> parseDecimal(std::string_view text) noexcept
{
    const auto number = parseWhole<double>(text);
    return number && std::isfinite(*number) ? number : std::nullopt;
}

std::string printNumber(double number)
{
    // The longest fixed-point representation of a double, that of a denormal number, has about 770 characters.
    std::array<char, 1100> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, std::chars_format::fixed).ptr;
    return { buffer.data(), end };
}

} // namespace lagoontiller::document
