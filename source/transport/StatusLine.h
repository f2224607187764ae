#pragma once

#include <cstddef>
#include <string_view>

namespace lagoontiller::transport {

/// \brief Lowest and highest status code of HTTP (RFC 9110, section 15); others are invalid.
inline constexpr int minStatusCode = 100;
inline constexpr int maxStatusCode = 599;
/// \brief Status of a response that changes the protocol of the connection, which no request here asks for.
inline constexpr int switchingProtocolsStatus = 101;

/// \brief Whether a response with this status can answer a request.
[[nodiscard]] constexpr bool isValidStatus(unsigned int status) noexcept
{
    return status >= minStatusCode && status <= maxStatusCode && status != switchingProtocolsStatus;
}

/// \brief Checks the form of status lines, which http_parser accepts with any version and with codes of any length:
/// `HTTP/1.`, a digit, a space, three digits, and a space or the end of the line (RFC 9112, section 4).
class StatusLineCheck {
public:
    /// \brief Checks the next bytes of a response head; ignores those after the code. False if the line is malformed.
    [[nodiscard]] bool feed(std::string_view bytes) noexcept;
    /// \brief Begins with the status line of the next head.
    void reset() noexcept { this->position = 0; }

private:
    std::size_t position = 0;
};

} // namespace lagoontiller::transport
