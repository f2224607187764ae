#pragma once

#include <random>
#include <string>
#include <vector>

namespace lagoontiller::support {

/// \brief A text with some bytes replaced, removed, repeated or exchanged with digits or characters of the INI syntax.
inline std::string mutated(std::string text, std::mt19937& random)
{
    static const std::string syntax = "[]=:;#\n\r\t ,.\"\\\xEF\xBB\xBF\xC0\xFF";
    static const std::string digits = "0123456789abcdef";
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    for (std::size_t edits = random() % 2 == 0 ? 1 : 1 + below(20); edits > 0 && !text.empty(); --edits) {
        const auto position = below(text.size());
        switch (below(6)) {
        case 0:
            text[position] = static_cast<char>(below(256));
            break;
        case 1:
            text[position] = syntax[below(syntax.size())];
            break;
        case 2:
            text.erase(position, 1 + below(40));
            break;
        case 3:
            text[position] = digits[below(digits.size())];
            break;
        case 4:
            text.erase(position, text.find('\n', position) - position);
            break;
        default:
            text.insert(position, text.substr(below(text.size()), 1 + below(200)));
            break;
        }
    }
    return text;
}

} // namespace lagoontiller::support
