#include "http/impl/ConnectionTable.h"

#include <sys/socket.h>
#include <unistd.h>

namespace lagoontiller::http::impl {

curl_socket_t ConnectionTable::open(const curl_sockaddr& address)
{
    return ::socket(address.family, address.socktype | SOCK_CLOEXEC, address.protocol);
}

void ConnectionTable::insert(const std::string& addresses, curl_socket_t socket)
{
    this->sockets[addresses] = socket;
    this->addressesOf[socket] = addresses;
}

int ConnectionTable::close(curl_socket_t socket)
{
    if (const auto found = this->addressesOf.find(socket); found != this->addressesOf.end()) {
        this->sockets.erase(found->second);
        this->addressesOf.erase(found);
    }
    return ::close(socket);
}

bool ConnectionTable::isReadable(const std::string& addresses) const
{
    const auto found = this->sockets.find(addresses);
    char unread = 0;
    return found != this->sockets.end() && ::recv(found->second, &unread, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace lagoontiller::http::impl
