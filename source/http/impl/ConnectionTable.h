#pragma once

#include <curl/curl.h>
#include <string>
#include <unordered_map>

namespace lagoontiller::http::impl {

/// \brief Sockets of the open connections by their addresses, which libcurl reports when it is about to send a request.
/// Used on the I/O thread only.
class ConnectionTable {
public:
    /// \brief Opens the socket of a new connection; the result is CURL_SOCKET_BAD if there is none left.
    [[nodiscard]] static curl_socket_t open(const curl_sockaddr& address);
    /// \brief Records the local and remote address, as one text, of a connection.
    void insert(const std::string& addresses, curl_socket_t socket);
    /// \brief Closes a socket and removes its connection; returns 0, or -1 on an error.
    int close(curl_socket_t socket);
    /// \brief Whether the connection was closed by the server or has bytes that belong to no request.
    [[nodiscard]] bool isReadable(const std::string& addresses) const;

private:
    std::unordered_map<std::string, curl_socket_t> sockets;
    std::unordered_map<curl_socket_t, std::string> addressesOf;
};

} // namespace lagoontiller::http::impl
