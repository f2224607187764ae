#include "document/Address.h"

#include "document/impl/Numbers.h"

#include <arpa/inet.h>
#include <array>

namespace lagoontiller::document {

namespace {

constexpr std::int64_t maxPort = 65535;

std::optional<std::string> canonicalIp(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    if (inet_pton(family, text.c_str(), bytes.data()) != 1)
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> printed {};
    if (inet_ntop(family, bytes.data(), printed.data(), printed.size()) == nullptr)
        return std::nullopt;
    return std::string(printed.data());
}

std::optional<std::string> parseHost(std::string_view host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return canonicalIp(AF_INET6, std::string(host.substr(1, host.size() - 2)));
    return canonicalIp(AF_INET, std::string(host));
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    const auto port = parseInteger(text);
    if (!port || *port < 1 || *port > maxPort)
        return std::nullopt;
    return static_cast<std::uint16_t>(*port);
}

} // namespace

std::string Address::text() const
{
    const bool isIpv6 = this->ip.find(':') != std::string::npos;
    const auto host = isIpv6 ? '[' + this->ip + ']' : this->ip;
    return host + ':' + std::to_string(this->port);
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto ip = parseHost(text.substr(0, colon));
    const auto port = parsePort(text.substr(colon + 1));
    if (!ip || !port)
        return std::nullopt;
    return std::optional<Address>(std::in_place, *ip, *port);
}

} // namespace lagoontiller::document
