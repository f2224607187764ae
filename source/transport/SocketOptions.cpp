#include "transport/SocketOptions.h"

#include "core/Log.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoontiller::transport {

namespace {

/// \brief Time without an acknowledgement after which the kernel closes a connection. Less than half of the shortest
/// request deadline in use (1.5 s) would close connections on short packet loss; a longer time would hide
/// a network partition.
constexpr unsigned userTimeoutMs = 3'000;

} // namespace

void configureSocket(asio::ip::tcp::socket& socket)
{
    asio::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (error)
        core::logWarning("socket_option_failed").with("option", "no_delay").with("message", error.message());
    if (::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs)) != 0)
        core::logWarning("socket_option_failed").with("option", "user_timeout");
}

} // namespace lagoontiller::transport
