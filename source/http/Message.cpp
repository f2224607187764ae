#include "http/Message.h"

#include <algorithm>
#include <cctype>

namespace lagoontiller::http {

bool sameName(std::string_view left, std::string_view right) noexcept
{
    const auto same = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), same);
}

std::string_view headerValue(const Headers& headers, std::string_view name) noexcept
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const Header& header) { return sameName(header.name, name); });
    return found == headers.end() ? std::string_view {} : std::string_view(found->value);
}

std::string_view name(FailureKind kind) noexcept
{
    switch (kind) {
    case FailureKind::NotConnected:
        return "not_connected";
    case FailureKind::NoAnswer:
        return "no_answer";
    case FailureKind::Interrupted:
        return "interrupted";
    case FailureKind::FirstByteTimeout:
        return "first_byte_timeout";
    case FailureKind::SilenceTimeout:
        return "silence_timeout";
    case FailureKind::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace lagoontiller::http
