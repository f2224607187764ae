// Reading of requests: their memory, their refusal.

#include "core/Log.h"
#include "transport/impl/ServerConnection.h"

#include <algorithm>

namespace lagoontiller::transport {

namespace {

/// \brief Limit of the input that is buffered while a request is in progress; reading pauses when it is reached.
constexpr std::size_t maxUnparsedBytes = 16'384;

} // namespace

void Server::read(const ConnectionPointer& connection)
{
    if (connection->closed || connection->reading || connection->unparsedInput.size() >= maxUnparsedBytes)
        return;
    connection->reading = true;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [this, connection](asio::error_code error) {
        connection->reading = false;
        if (connection->closed)
            return;
        if (error) {
            this->close(connection, true);
            return;
        }
        auto size = this->readBuffer.size();
        if (connection->busy) {
            size = std::min(size, maxUnparsedBytes - connection->unparsedInput.size());
            // The end of the connection is read in any case.
            asio::error_code ignored;
            const auto available = std::min(size, connection->socket.available(ignored));
            connection->readingPaused = available > 0 && !this->requestMemory.tryAdd(connection->id, available);
            if (connection->readingPaused)
                return;
            size = std::max<std::size_t>(available, 1);
        }
        const auto received = connection->socket.read_some(asio::buffer(this->readBuffer.data(), size), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            this->read(connection);
            return;
        }
        if (error) {
            this->close(connection, true);
            return;
        }
        this->handleReceived(connection, received);
    });
}

void Server::handleReceived(const ConnectionPointer& connection, std::size_t size)
{
    if (connection->discarding || connection->closeAfterWrite) {
        this->read(connection);
        return;
    }
    connection->unparsedInput.append(this->readBuffer.data(), size);
    if (!connection->busy)
        this->parse(connection);
    if (!connection->closed)
        this->read(connection);
}

void Server::parse(const ConnectionPointer& connection)
{
    auto& parser = connection->parser;
    if (connection->closeAfterWrite || connection->discarding)
        return;
    if (!parser.started()) {
        parser.setLimits(this->limits.message);
        if (!connection->unparsedInput.empty())
            connection->phaseStart = core::monotonicNow();
    }
    const bool hadHead = parser.headComplete();
    const auto used = parser.feed(connection->unparsedInput);
    if (used == connection->unparsedInput.size())
        connection->unparsedInput = std::string();
    else
        connection->unparsedInput.erase(0, used);
    const bool valid = parser.state() == ParserState::Incomplete || parser.state() == ParserState::Complete;
    if (valid && parser.started() && !this->holdRequest(connection)) {
        core::logWarning("request_memory_full")
            .with("connection", connection->id)
            .with("held_bytes", this->requestMemory.heldBytes())
            .with("body_bytes", parser.expectedBodyBytes());
        this->refuseRequest(connection, 503, "memory_full");
        return;
    }
    switch (parser.state()) {
    case ParserState::Incomplete:
        if (hadHead || !parser.headComplete())
            return;
        parser.reserveBody();
        if (parser.fields().hasToken("Expect", "100-continue"))
            this->send(connection, "HTTP/1.1 100 Continue\r\n\r\n");
        return;
    case ParserState::Complete: {
        connection->busy = true;
        ++this->busyConnectionCount;
        this->requestMemory.complete(connection->id);
        auto request = parser.takeRequest();
        connection->keepAlive = request.keepAlive;
        connection->echo
            = this->echoField.empty() ? std::string_view() : request.fields.find(this->echoField).value_or("");
        request.clientAddress = connection->clientAddress;
        this->events.request(connection->id, std::move(request));
        return;
    }
    case ParserState::HeaderTooLarge:
        this->refuseRequest(connection, 431, "header_too_large");
        return;
    case ParserState::BodyTooLarge:
        this->refuseRequest(connection, 413, "body_too_large");
        return;
    case ParserState::Malformed:
        this->refuseRequest(connection, 400, "malformed");
        return;
    }
}

bool Server::holdRequest(const ConnectionPointer& connection)
{
    const auto& parser = connection->parser;
    const auto expected = parser.expectedBodyBytes();
    const auto bytes
        = parser.heldBytes() + this->memoryLimits.copiesPerBody * expected + connection->unparsedInput.size();
    const auto decision = this->requestMemory.holdIncomplete(connection->id, bytes, core::monotonicNow());
    for (const auto id : decision.stalled) {
        if (const auto stalled = this->find(id))
            this->refuseRequest(stalled, 408, "stalled");
    }
    return decision.granted;
}

void Server::refuseRequest(const ConnectionPointer& connection, int status, std::string_view reason)
{
    core::logInfo("request_refused").with("connection", connection->id).with("status", status).with("reason", reason);
    this->requestMemory.release(connection->id);
    connection->keepAlive = false;
    connection->discarding = true;
    connection->phaseStart = core::monotonicNow();
    connection->parser.reset();
    connection->unparsedInput = std::string();
    auto text = statusLine(status) + "Content-Length: 0\r\n";
    if (status == 503)
        appendField(text, "Retry-After", "0.5");
    this->send(connection, text + "Connection: close\r\n\r\n");
}

} // namespace lagoontiller::transport
