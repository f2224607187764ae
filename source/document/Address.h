#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief IP address and TCP port. Host names are not supported because no process uses DNS.
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

    /// \brief IPv4 or IPv6 address without brackets, in the canonical form of `inet_ntop`.
    const std::string ip;
    const std::uint16_t port;
};

/// \brief Parses `IP:port`; IPv6 addresses need brackets. Returns nothing if the text is malformed or the port is 0,
/// which would let the system choose a port.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

} // namespace lagoontiller::document
