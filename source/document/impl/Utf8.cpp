#include "document/impl/Utf8.h"

#include <algorithm>
#include <boost/nowide/utf/utf.hpp>

namespace lagoontiller::document {

std::optional<std::size_t> firstInvalidCharacter(std::string_view bytes)
{
    namespace utf = boost::nowide::utf;
    const char* position = bytes.data();
    const char* const end = position + bytes.size();
    while (position != end) {
        const char* const start = position;
        const auto point = utf::utf_traits<char>::decode(position, end);
        const bool invalid = point == utf::illegal || point == utf::incomplete;
        const bool control = (point < 0x20 && point != '\t') || point == 0x7f;
        if (invalid || control)
            return static_cast<std::size_t>(start - bytes.data());
    }
    return std::nullopt;
}

int columnAt(std::string_view line, std::size_t offset) noexcept
{
    const auto isFirstByte = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; };
    const auto before = line.substr(0, offset);
    return 1 + static_cast<int>(std::count_if(before.begin(), before.end(), isFirstByte));
}

} // namespace lagoontiller::document
