#include "transport/SocketOptions.h"

#include "core/Log.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoontiller::transport {

namespace {

/// \brief Milliseconds without acknowledgement after which the kernel ends a connection: under half of the shortest
/// request deadline in use (1.5 s) would end connections on short losses, over it hides a cut.
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
