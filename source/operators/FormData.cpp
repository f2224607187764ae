#include "operators/FormData.h"

#include "core/Encoding.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lagoontiller::operators {

namespace {

constexpr std::size_t maxFields = 100'000;

std::optional<std::string> decodeComponent(std::string_view encoded)
{
    std::string text(encoded);
    std::replace(text.begin(), text.end(), '+', ' ');
    auto result = core::decodeUrl(text);
    return result && core::isUtf8(*result) ? result : std::nullopt;
}

} // namespace

const std::string& FormData::value(std::string_view name) const
{
    static const std::string absent;
    const auto found = std::find_if(
        this->allFields.begin(), this->allFields.end(), [name](const Field& field) { return field.first == name; });
    return found == this->allFields.end() ? absent : found->second;
}

core::Expected<FormData> parseForm(std::string_view text)
{
    std::vector<FormData::Field> fields;
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (pair.empty())
            continue;
        const auto equals = std::min(pair.find('='), pair.size());
        auto name = decodeComponent(pair.substr(0, equals));
        auto value = decodeComponent(pair.substr(std::min(equals + 1, pair.size())));
        if (!name || !value || fields.size() == maxFields)
            return core::failure(core::ResultCode::InvalidField,
                "malformed form data: invalid percent escape, invalid UTF-8 or too many fields");
        fields.emplace_back(std::move(*name), std::move(*value));
    }
    return FormData(std::move(fields));
}

std::string_view queryString(std::string_view target) noexcept
{
    const auto questionMark = target.find('?');
    return questionMark == std::string_view::npos ? std::string_view() : target.substr(questionMark + 1);
}

std::uint64_t parseUnsigned(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && rest == text.data() + text.size() ? number : 0;
}

} // namespace lagoontiller::operators
