#include "transport/StatusLine.h"

namespace lagoontiller::transport {

namespace {

/// \brief `#` stands for a digit, `|` for a space or the end of the line.
constexpr std::string_view pattern = "HTTP/1.# ###|";

bool matches(char expected, char actual) noexcept
{
    switch (expected) {
    case '#':
        return actual >= '0' && actual <= '9';
    case '|':
        return actual == ' ' || actual == '\r' || actual == '\n';
    default:
        return actual == expected;
    }
}

} // namespace

bool StatusLineCheck::feed(std::string_view bytes) noexcept
{
    for (const char byte : bytes) {
        if (this->position == pattern.size())
            return true;
        // http_parser skips empty lines before a response.
        if (this->position == 0 && (byte == '\r' || byte == '\n'))
            continue;
        if (!matches(pattern[this->position], byte))
            return false;
        ++this->position;
    }
    return true;
}

} // namespace lagoontiller::transport
