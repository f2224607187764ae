#include "http/impl/Transfer.h"

#include <cstdlib>

namespace lagoontiller::http::impl {

namespace {

std::string_view trim(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool isChunked(const Headers& headers)
{
    const auto encodings = headerValue(headers, "Transfer-Encoding");
    const auto comma = encodings.rfind(',');
    return sameName(trim(comma == std::string_view::npos ? encodings : encodings.substr(comma + 1)), "chunked");
}

bool hasNoBody(int status) noexcept
{
    return status == 204 || status == 304;
}

} // namespace

Transfer::Transfer(
    RequestId id, Request request, Client::Handler handler, ConnectionTable& connections, core::TimePoint now)
    : requestId(id)
    , request(std::move(request))
    , handler(std::move(handler))
    , connections(connections)
    , easyHandle(curl_easy_init())
    , startTime(now)
    , lastActivity(now)
{
    this->configure();
}

Transfer::~Transfer()
{
    curl_easy_cleanup(this->easyHandle);
    curl_slist_free_all(this->headerList);
}

void Transfer::configure()
{
    curl_easy_setopt(this->easyHandle, CURLOPT_URL, this->request.url.c_str());
    curl_easy_setopt(this->easyHandle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(this->easyHandle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easyHandle, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easyHandle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(
        this->easyHandle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(this->request.connectTimeout.count() / 1000));
    curl_easy_setopt(this->easyHandle, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
    curl_easy_setopt(this->easyHandle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easyHandle, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(this->easyHandle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->easyHandle, CURLOPT_OPENSOCKETFUNCTION, &Transfer::onOpenSocket);
    curl_easy_setopt(this->easyHandle, CURLOPT_OPENSOCKETDATA, this);
    // The connection keeps these two beyond this transfer.
    curl_easy_setopt(this->easyHandle, CURLOPT_CLOSESOCKETFUNCTION, &Transfer::onCloseSocket);
    curl_easy_setopt(this->easyHandle, CURLOPT_CLOSESOCKETDATA, &this->connections);
    curl_easy_setopt(this->easyHandle, CURLOPT_PREREQFUNCTION, &Transfer::onConnected);
    curl_easy_setopt(this->easyHandle, CURLOPT_PREREQDATA, this);
    if (this->request.freshConnection) {
        curl_easy_setopt(this->easyHandle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(this->easyHandle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (this->request.method != "GET") {
        curl_easy_setopt(this->easyHandle, CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
        curl_easy_setopt(
            this->easyHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(this->request.body.size()));
        curl_easy_setopt(this->easyHandle, CURLOPT_POSTFIELDS, this->request.body.data());
    }
    // Without an empty Expect header, libcurl waits up to 1 s for "100 Continue" before it sends a body over 1 MB.
    this->headerList = curl_slist_append(this->headerList, "Expect:");
    for (const auto& header : this->request.headers)
        this->headerList = curl_slist_append(this->headerList, (header.name + ": " + header.value).c_str());
    curl_easy_setopt(this->easyHandle, CURLOPT_HTTPHEADER, this->headerList);
}

curl_socket_t Transfer::onOpenSocket(void* userData, curlsocktype, curl_sockaddr* address)
{
    auto& transfer = *static_cast<Transfer*>(userData);
    transfer.openedSocket = ConnectionTable::open(*address);
    return transfer.openedSocket;
}

int Transfer::onCloseSocket(void* userData, curl_socket_t socket)
{
    return static_cast<ConnectionTable*>(userData)->close(socket);
}

int Transfer::onConnected(void* userData, char* remoteAddress, char* localAddress, int remotePort, int localPort)
{
    auto& transfer = *static_cast<Transfer*>(userData);
    const auto addresses = std::string(localAddress) + ' ' + std::to_string(localPort) + ' ' + remoteAddress + ' '
        + std::to_string(remotePort);
    if (!transfer.usesReusedConnection()) {
        transfer.connections.insert(addresses, transfer.openedSocket);
        return CURL_PREREQFUNC_OK;
    }
    // libcurl reuses a connection with unread bytes and would take them for the answer.
    transfer.connectionRefused = transfer.connections.isReadable(addresses);
    return transfer.connectionRefused ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool Transfer::usesReusedConnection() const
{
    long connections = 0;
    curl_easy_getinfo(this->easyHandle, CURLINFO_NUM_CONNECTS, &connections);
    return connections == 0;
}

bool Transfer::selectNewConnection()
{
    if (!std::exchange(this->connectionRefused, false))
        return false;
    curl_easy_setopt(this->easyHandle, CURLOPT_FRESH_CONNECT, 1L);
    return true;
}

std::size_t Transfer::onHeader(char* data, std::size_t size, std::size_t count, void* userData)
{
    auto& transfer = *static_cast<Transfer*>(userData);
    transfer.responseStarted = true;
    transfer.lastActivity = core::monotonicNow();
    const std::string_view line(data, size * count);
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/"))
        transfer.head = {};
    else if (colon != std::string_view::npos)
        transfer.head.headers.push_back(
            { std::string(trim(line.substr(0, colon))), std::string(trim(line.substr(colon + 1))) });
    else if (trim(line).empty())
        transfer.deliverHead();
    return size * count;
}

void Transfer::deliverHead()
{
    long status = 0;
    curl_easy_getinfo(this->easyHandle, CURLINFO_RESPONSE_CODE, &status);
    constexpr long lowestFinalStatus = 200;
    if (status < lowestFinalStatus || this->headDelivered)
        return;
    this->head.status = static_cast<int>(status);
    this->headDelivered = true;
    this->handler(this->head);
}

std::size_t Transfer::onBody(char* data, std::size_t size, std::size_t count, void* userData)
{
    auto& transfer = *static_cast<Transfer*>(userData);
    transfer.lastActivity = core::monotonicNow();
    transfer.handler(ResponseData { std::string_view(data, size * count) });
    return size * count;
}

std::optional<FailureKind> Transfer::exceededTimeout(core::TimePoint now) const noexcept
{
    const auto exceeded
        = [](core::Duration limit, core::Duration elapsed) { return limit.count() > 0 && elapsed > limit; };
    if (!this->responseStarted && exceeded(this->request.firstByteTimeout, now - this->startTime))
        return FailureKind::FirstByteTimeout;
    if (this->responseStarted && exceeded(this->request.silenceTimeout, now - this->lastActivity))
        return FailureKind::SilenceTimeout;
    if (exceeded(this->request.totalTimeout, now - this->startTime))
        return this->responseStarted ? FailureKind::SilenceTimeout : FailureKind::FirstByteTimeout;
    return std::nullopt;
}

FailureKind Transfer::failureKindFor(CURLcode result) const
{
    if (this->responseStarted)
        return FailureKind::Interrupted;
    curl_off_t connected = 0;
    curl_easy_getinfo(this->easyHandle, CURLINFO_CONNECT_TIME_T, &connected);
    if (result == CURLE_COULDNT_CONNECT || (connected == 0 && !this->usesReusedConnection()))
        return FailureKind::NotConnected;
    return FailureKind::NoAnswer;
}

bool Transfer::isFramed() const
{
    curl_off_t length = -1;
    curl_easy_getinfo(this->easyHandle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    return length >= 0 || hasNoBody(this->head.status) || isChunked(this->head.headers);
}

void Transfer::finish(CURLcode result)
{
    if (this->ended)
        return;
    if (result != CURLE_OK) {
        this->fail(this->failureKindFor(result), curl_easy_strerror(result));
        return;
    }
    // libcurl reports success if the connection closes within the head, or in a body without a length or chunks.
    if (!this->headDelivered) {
        this->fail(FailureKind::Interrupted, "the response ended in its head");
        return;
    }
    if (!this->isFramed()) {
        this->fail(FailureKind::Interrupted, "the response has neither a length nor chunks");
        return;
    }
    this->ended = true;
    this->handler(ResponseEnd {});
}

void Transfer::fail(FailureKind kind, std::string message)
{
    if (this->ended)
        return;
    this->ended = true;
    this->handler(ResponseFailure { kind, std::move(message) });
}

} // namespace lagoontiller::http::impl
