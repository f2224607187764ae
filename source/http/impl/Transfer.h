#pragma once

#include "http/Client.h"
#include "http/impl/ConnectionTable.h"

#include <curl/curl.h>

namespace lagoontiller::http::impl {

/// \brief A request on a libcurl easy handle, with the state of its response.
class Transfer {
public:
    /// \param connections Table of the connections of the multi handle; must exist until that is cleaned up.
    Transfer(RequestId id, Request request, Client::Handler handler, ConnectionTable& connections, core::TimePoint now);
    ~Transfer();
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    [[nodiscard]] CURL* handle() const noexcept { return this->easyHandle; }
    [[nodiscard]] RequestId id() const noexcept { return this->requestId; }

    /// \brief The failure for a timeout that has been exceeded at `now`; empty if there is none.
    [[nodiscard]] std::optional<FailureKind> exceededTimeout(core::TimePoint now) const noexcept;

    /// \brief Whether a reused connection had unread bytes or was closed, so that nothing was sent; the transfer then
    /// uses a new connection when it is added again.
    [[nodiscard]] bool selectNewConnection();
    /// \brief Delivers ResponseEnd, or the failure for an error code of libcurl, unless the transfer has already ended.
    void finish(CURLcode result);
    /// \brief Delivers ResponseFailure unless the transfer has already ended.
    void fail(FailureKind kind, std::string message);

private:
    static curl_socket_t onOpenSocket(void* userData, curlsocktype purpose, curl_sockaddr* address);
    static int onCloseSocket(void* userData, curl_socket_t socket);
    static int onConnected(void* userData, char* remoteAddress, char* localAddress, int remotePort, int localPort);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* userData);
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* userData);
    void configure();
    void deliverHead();
    [[nodiscard]] bool usesReusedConnection() const;
    /// \brief Whether the response states where its body ends.
    [[nodiscard]] bool isFramed() const;
    [[nodiscard]] FailureKind failureKindFor(CURLcode result) const;

    RequestId requestId;
    Request request;
    Client::Handler handler;
    ConnectionTable& connections;
    CURL* easyHandle;
    curl_slist* headerList = nullptr;
    ResponseHead head;
    core::TimePoint startTime;
    core::TimePoint lastActivity;
    curl_socket_t openedSocket = CURL_SOCKET_BAD;
    bool connectionRefused = false;
    bool responseStarted = false;
    bool headDelivered = false;
    bool ended = false;
};

} // namespace lagoontiller::http::impl
