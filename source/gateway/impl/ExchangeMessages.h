#pragma once

#include "gateway/ResponseCompleteness.h"
#include "proto/gateway.pb.h"
#include "transport/ClientPool.h"

/// \brief Conversion of relayed exchanges to and from messages between nodes.
namespace lagoontiller::gateway::impl {

/// \brief Path of relayed exchanges at the peer server.
inline constexpr std::string_view relayTarget = "/relay";
/// \brief Content type of the parts of a relayed response, which shows that the peer has taken over the exchange.
inline constexpr std::string_view relayContentType = "application/x-lagoontiller-relay";

/// \brief The message after its size as four bytes in network order.
[[nodiscard]] std::string encodePart(const wire::RelayedPart& part);

/// \brief Splits received bytes into parts.
class PartReader {
public:
    /// \brief The parts that are complete with these bytes; empty if the bytes are no parts.
    [[nodiscard]] std::optional<std::vector<wire::RelayedPart>> feed(std::string_view bytes);

private:
    std::string pending;
};

[[nodiscard]] wire::RelayedHead encodeHead(const transport::ResponseHead& head);
[[nodiscard]] transport::ResponseHead decodeHead(const wire::RelayedHead& message);
/// \brief How an exchange at the peer ended for this node; `Broken` for an unknown value.
[[nodiscard]] transport::ExchangeEnd decodeEnd(const wire::RelayedEnd& message);
[[nodiscard]] transport::OtherConnections decodeConnections(const wire::RelayedEnd& message);
[[nodiscard]] transport::ProbeResult decodeProbe(const wire::RelayedEnd& message);

} // namespace lagoontiller::gateway::impl
