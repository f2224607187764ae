#include "document/impl/StringUtil.h"

namespace lagoontiller::document {

namespace {

template <typename Words> std::string join(const Words& words, std::string_view separator)
{
    std::string text;
    for (const auto& word : words) {
        if (!text.empty())
            text += separator;
        text += word;
    }
    return text;
}

} // namespace

std::string_view trimmed(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> words;
    if (trimmed(text).empty())
        return words;
    for (std::size_t start = 0; start <= text.size();) {
        const auto end = std::min(text.find(separator, start), text.size());
        words.push_back(trimmed(text.substr(start, end - start)));
        start = end + 1;
    }
    return words;
}

std::string joined(const std::vector<std::string_view>& words, std::string_view separator)
{
    return join(words, separator);
}

std::string joined(const std::vector<std::string>& words, std::string_view separator)
{
    return join(words, separator);
}

} // namespace lagoontiller::document
