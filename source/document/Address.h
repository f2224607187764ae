#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief IP number and TCP port. Names are not accepted: no process resolves names.
class Address {
public:
    Address(std::string ip, std::uint16_t port)
        : ip(std::move(ip))
        , port(port)
    {
    }

    [[nodiscard]] auto operator<=>(const Address&) const = default;

    /// \brief `IP:port`, with an IPv6 address in brackets.
    [[nodiscard]] std::string text() const;

    /// \brief Without brackets, in the canonical form of inet_ntop.
    const std::string ip;
    const std::uint16_t port;
};

/// \brief Reads `IP:port`. Port 0 is refused because it stands for any port.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

} // namespace lagoontiller::document
