#pragma once

#include <asio/ip/tcp.hpp>

namespace lagoontiller::transport {

/// \brief Sets no-delay and, against peers that vanished, the limit of unacknowledged data.
void configureSocket(asio::ip::tcp::socket& socket);

} // namespace lagoontiller::transport
