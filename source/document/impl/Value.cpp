#include "document/impl/Value.h"

#include "document/Address.h"
#include "document/impl/NearestName.h"
#include "document/impl/Numbers.h"
#include "document/impl/StringUtil.h"

#include <algorithm>
#include <functional>
#include <set>

namespace lagoontiller::document {

namespace {

using CanonicalResult = tl::expected<std::string, ValueFault>;

constexpr std::size_t maxNameBytes = 40;
constexpr std::size_t maxTextValueBytes = 200;
constexpr std::size_t z85KeyLength = 40;
constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view digits = "0123456789";
constexpr std::string_view z85Symbols = ".-:+=^!/*?&<>()[]{}@%$#";

bool contains(std::string_view characters, char character) noexcept
{
    return characters.find(character) != std::string_view::npos;
}

bool isNameCharacter(char character) noexcept
{
    return contains(letters, character) || contains(digits, character) || contains("-_.", character);
}

bool isZ85Character(char character) noexcept
{
    return contains(letters, character) || contains(digits, character) || contains(z85Symbols, character);
}

bool isPath(std::string_view text) noexcept
{
    const auto isPrintable = [](char character) { return character > ' ' && character < '\x7f'; };
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), isPrintable);
}

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

tl::unexpected<ValueFault> valueFault(std::string problem, std::string hint = "")
{
    return tl::unexpected<ValueFault>({ std::move(problem), 0, std::move(hint) });
}

CanonicalResult canonicalText(std::string_view text)
{
    if (text.size() > maxTextValueBytes)
        return valueFault("the text has " + std::to_string(text.size()) + " bytes");
    return std::string(text);
}

CanonicalResult canonicalName(std::string_view text)
{
    if (!isName(text))
        return valueFault(quoted(text) + " is not a name");
    return std::string(text);
}

CanonicalResult canonicalPath(std::string_view text)
{
    if (!isPath(text))
        return valueFault(quoted(text) + " is not a path");
    return std::string(text);
}

CanonicalResult canonicalAddress(std::string_view text)
{
    const auto address = parseAddress(text);
    if (!address)
        return valueFault(quoted(text) + " is not an IP number with a port");
    return address->text();
}

CanonicalResult canonicalInteger(const Field& field, std::string_view text)
{
    const auto number = parseInteger(text);
    if (!number)
        return valueFault(quoted(text) + " is not a whole number");
    if (static_cast<double>(*number) < field.minimum || static_cast<double>(*number) > field.maximum)
        return valueFault(std::to_string(*number) + " is out of range");
    return std::to_string(*number);
}

CanonicalResult canonicalDecimal(const Field& field, std::string_view text)
{
    const auto number = parseDecimal(text);
    if (!number)
        return valueFault(quoted(text) + " is not a number");
    if (*number < field.minimum || *number > field.maximum)
        return valueFault(printNumber(*number) + " is out of range");
    // Adding 0 turns negative zero into positive zero, so that both have the same canonical text.
    return printNumber(*number + 0.0);
}

CanonicalResult canonicalChoice(const std::vector<std::string_view>& choices, std::string_view text)
{
    if (std::find(choices.begin(), choices.end(), text) == choices.end())
        return valueFault(quoted(text) + " is not a choice", nearestName(text, choices));
    return std::string(text);
}

// Messages do not contain salts, hashes and keys, because they may end up in terminal output or logs.
CanonicalResult canonicalHex(const Field& field, std::string_view text)
{
    const auto isHexDigit = [](char digit) { return contains("0123456789abcdefABCDEF", digit); };
    if (text.size() % 2 != 0 || !std::all_of(text.begin(), text.end(), isHexDigit))
        return valueFault("the value is not an even number of hexadecimal digits");
    const auto bytes = text.size() / 2;
    if (static_cast<double>(bytes) < field.minimum || static_cast<double>(bytes) > field.maximum)
        return valueFault("the value has " + std::to_string(bytes) + " bytes");
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](char digit) { return digit >= 'A' && digit <= 'F' ? static_cast<char>(digit - 'A' + 'a') : digit; });
    return lower;
}

CanonicalResult canonicalZ85(std::string_view text)
{
    if (text.size() != z85KeyLength)
        return valueFault("the key has " + std::to_string(text.size()) + " characters");
    if (!std::all_of(text.begin(), text.end(), isZ85Character))
        return valueFault("the key has characters outside Z85");
    return std::string(text);
}

CanonicalResult canonicalList(
    std::string_view text, const std::function<CanonicalResult(std::string_view)>& canonicalElement)
{
    std::vector<std::string> elements;
    std::set<std::string> seen;
    for (const auto element : split(text, ',')) {
        const auto offset = static_cast<std::size_t>(element.data() - text.data());
        if (element.empty())
            return tl::unexpected<ValueFault>({ "an empty entry between commas", offset, "" });
        const auto canonical = canonicalElement(element);
        if (!canonical)
            return tl::unexpected<ValueFault>({ canonical.error().problem, offset, canonical.error().hint });
        if (!seen.insert(*canonical).second)
            return tl::unexpected<ValueFault>({ quoted(element) + " is listed twice", offset, "" });
        elements.push_back(*canonical);
    }
    return joined(elements, ", ");
}

} // namespace

bool isName(std::string_view text) noexcept
{
    const bool fits = !text.empty() && text.size() <= maxNameBytes;
    return fits && std::all_of(text.begin(), text.end(), isNameCharacter);
}

tl::expected<std::string, ValueFault> canonicalValue(const Field& field, std::string_view text)
{
    switch (field.type) {
    case ValueType::Text:
        return canonicalText(text);
    case ValueType::Name:
        return canonicalName(text);
    case ValueType::NameList:
        return canonicalList(text, canonicalName);
    case ValueType::PathList:
        return canonicalList(text, canonicalPath);
    case ValueType::Integer:
        return canonicalInteger(field, text);
    case ValueType::Decimal:
        return canonicalDecimal(field, text);
    case ValueType::Boolean:
        return canonicalChoice({ "true", "false" }, text);
    case ValueType::Choice:
        return canonicalChoice(choicesOf(field), text);
    case ValueType::Address:
        return canonicalAddress(text);
    case ValueType::AddressList:
        return canonicalList(text, canonicalAddress);
    case ValueType::Hex:
        return canonicalHex(field, text);
    case ValueType::Z85Key:
        return canonicalZ85(text);
    }
    return valueFault("unknown value type");
}

} // namespace lagoontiller::document
