// Writing of responses: their framing, and the memory of output that clients have not read.

#include "core/Log.h"
#include "transport/impl/ServerConnection.h"

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

namespace lagoontiller::transport {

namespace {

/// \brief Size up to which small parts of the output are joined, and of one write.
constexpr std::size_t outputPartBytes = 16'384;
constexpr std::size_t maxWriteBytes = 262'144;
/// \brief Unread output that a connection may always have, whatever the others have.
constexpr std::size_t minConnectionOutputBytes = 16'384;

} // namespace

void Server::respond(ConnectionId id, const std::string& head, std::string_view body)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    connection->keepAlive = connection->keepAlive && !this->draining;
    std::string text;
    constexpr std::size_t framingBytes = 64;
    text.reserve(head.size() + body.size() + framingBytes);
    text = head;
    appendField(text, "Content-Length", std::to_string(body.size()));
    this->appendConnectionFields(*connection, text);
    text.append("\r\n").append(body);
    this->send(connection, std::move(text));
    this->finishResponse(connection);
}

void Server::begin(ConnectionId id, const std::string& head)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    connection->keepAlive = connection->keepAlive && !this->draining;
    std::string text = head;
    appendField(text, "Transfer-Encoding", "chunked");
    this->appendConnectionFields(*connection, text);
    this->send(connection, text + "\r\n");
}

void Server::appendConnectionFields(const Connection& connection, std::string& text) const
{
    if (!connection.echo.empty())
        appendField(text, this->echoField, connection.echo);
    if (!connection.keepAlive)
        appendField(text, "Connection", "close");
}

void Server::write(ConnectionId id, std::string_view bytes)
{
    if (const auto connection = this->find(id); connection && connection->busy && !bytes.empty())
        this->send(connection, chunk(bytes));
}

void Server::end(ConnectionId id)
{
    const auto connection = this->find(id);
    if (!connection || !connection->busy)
        return;
    this->send(connection, std::string(lastChunk));
    this->finishResponse(connection);
}

void Server::abort(ConnectionId id)
{
    if (const auto connection = this->find(id))
        this->close(connection, false);
}

std::size_t Server::unsentBytes(ConnectionId id) const
{
    const auto connection = this->find(id);
    return connection ? connection->unsentBytes : 0;
}

bool Server::shouldPause(ConnectionId id)
{
    const auto connection = this->find(id);
    if (!connection)
        return false;
    const auto left = this->memoryLimits.outputBytes - std::min(this->memoryLimits.outputBytes, this->outputBytes);
    const auto bound = std::min(this->memoryLimits.connectionOutputBytes, std::max(left, minConnectionOutputBytes));
    connection->outputPaused = connection->outputPaused || connection->accountedOutputBytes > bound;
    return connection->outputPaused;
}

void Server::finishResponse(const ConnectionPointer& connection)
{
    connection->busy = false;
    --this->busyConnectionCount;
    this->requestMemory.release(connection->id);
    connection->outputPaused = false;
    connection->phaseStart = core::monotonicNow();
    connection->parser.reset();
    if (!connection->keepAlive) {
        connection->closeAfterWrite = true;
        if (connection->outputInProgress.empty() && connection->pendingOutput.empty())
            this->close(connection, false);
        return;
    }
    // The next request may already be buffered; it is parsed after the caller has returned.
    asio::post(this->context, [this, connection] {
        if (connection->closed || connection->busy)
            return;
        if (!connection->unparsedInput.empty())
            this->parse(connection);
        if (!connection->closed)
            this->read(connection);
    });
}

void Server::send(const ConnectionPointer& connection, std::string bytes)
{
    connection->unsentBytes += bytes.size();
    auto& pending = connection->pendingOutput;
    const auto held = pending.empty() ? 0 : pending.back().capacity();
    if (!pending.empty() && pending.back().size() + bytes.size() <= outputPartBytes) {
        pending.back().append(bytes);
        this->accountOutput(*connection, pending.back().capacity(), held);
    } else {
        pending.push_back(std::move(bytes));
        this->accountOutput(*connection, pending.back().capacity() + sizeof(std::string), 0);
    }
    this->flush(connection);
    this->limitOutput();
}

void Server::accountOutput(Connection& connection, std::size_t added, std::size_t removed)
{
    connection.accountedOutputBytes = connection.accountedOutputBytes + added - removed;
    this->outputBytes = this->outputBytes + added - removed;
}

void Server::limitOutput()
{
    if (this->outputBytes <= this->memoryLimits.outputBytes)
        return;
    const auto queued = [](const auto& entry) { return entry.second->accountedOutputBytes; };
    const auto largest = std::max_element(this->connectionsById.begin(), this->connectionsById.end(),
        [&queued](const auto& left, const auto& right) { return queued(left) < queued(right); });
    if (largest == this->connectionsById.end())
        return;
    const auto connection = largest->second;
    core::logWarning("output_memory_full").with("connection", connection->id).with("queued_bytes", this->outputBytes);
    // The response is in progress in the calls above, so the connection is closed afterwards.
    asio::post(this->context, [this, connection] { this->close(connection, true); });
}

void Server::flush(const ConnectionPointer& connection)
{
    auto& pending = connection->pendingOutput;
    auto& inProgress = connection->outputInProgress;
    if (connection->closed || !inProgress.empty() || pending.empty())
        return;
    std::vector<asio::const_buffer> buffers;
    std::size_t size = 0;
    while (!pending.empty() && size < maxWriteBytes) {
        size += pending.front().size();
        inProgress.push_back(std::move(pending.front()));
        pending.pop_front();
    }
    buffers.reserve(inProgress.size());
    for (const auto& part : inProgress)
        buffers.push_back(asio::buffer(part));
    asio::async_write(connection->socket, buffers, [this, connection](asio::error_code error, std::size_t) {
        if (connection->closed)
            return;
        for (const auto& part : std::exchange(connection->outputInProgress, {})) {
            connection->unsentBytes -= part.size();
            this->accountOutput(*connection, 0, part.capacity() + sizeof(std::string));
        }
        if (error) {
            this->close(connection, true);
            return;
        }
        if (!connection->pendingOutput.empty()) {
            this->flush(connection);
        } else if (connection->closeAfterWrite) {
            this->close(connection, false);
        } else if (connection->discarding) {
            // The client sees the end of the response although the rest of its request is still being read.
            asio::error_code ignored;
            connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        } else if (std::exchange(connection->outputPaused, false) && connection->busy) {
            this->events.drained(connection->id);
        }
    });
}

} // namespace lagoontiller::transport
