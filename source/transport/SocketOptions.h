#pragma once

#include <asio/ip/tcp.hpp>

namespace lagoontiller::transport {

/// \brief Disables Nagle's algorithm and limits how long sent data may stay unacknowledged, so that connections to
/// unreachable peers are closed. Logs a warning if an option cannot be set.
void configureSocket(asio::ip::tcp::socket& socket);

} // namespace lagoontiller::transport
