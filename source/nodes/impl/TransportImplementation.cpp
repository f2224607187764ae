#include "nodes/impl/TransportImplementation.h"

#include "core/Log.h"

#include <zmq_addon.hpp>

namespace lagoontiller::nodes {

namespace {

/// One DEALER socket per peer: with the other sockets, 780 nodes need more than ZeroMQ's default limit of 1023.
constexpr int maxSockets = 4096;

/// Messages received from the ROUTER socket before queued commands are processed again.
constexpr int maxReceiveBatch = 256;

/// ZeroMQ closes the connection on a larger frame without reporting it, so the counted limit, maxFrameBytes, is lower.
constexpr std::int64_t maxSocketMessageBytes = 2 * static_cast<std::int64_t>(maxFrameBytes);

constexpr core::Duration idleCheckInterval = std::chrono::seconds(5);
constexpr std::string_view wakeAddress = "inproc://wake";

bool isProbeTraffic(const wire::Envelope& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kProbe:
    case wire::Envelope::kProbeRequest:
    case wire::Envelope::kAcknowledgement:
        return true;
    default:
        return false;
    }
}

/// Sends without blocking; returns false if the queue is full. ZeroMQ checks for free space in the queue only about
/// once per millisecond, so a burst of 500 messages was refused although the queue was empty; reading the socket events
/// makes it check immediately.
bool trySend(zmq::socket_t& socket, zmq::message_t& frame)
{
    if (socket.send(frame, zmq::send_flags::dontwait))
        return true;
    if ((socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) == 0)
        return false;
    return socket.send(frame, zmq::send_flags::dontwait).has_value();
}

int milliseconds(core::Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

Transport::Implementation::Implementation(TransportSettings settings, MessageHandler messageHandler)
    : settings(std::move(settings))
    , messageHandler(std::move(messageHandler))
    , authenticator((this->context.set(zmq::ctxopt::max_sockets, maxSockets), this->context), this->settings.publicKey,
          this->counts)
    , router(this->context, zmq::socket_type::router)
    , wakeReceiver(this->context, zmq::socket_type::pair)
    , wakeSender(this->context, zmq::socket_type::pair)
{
}

Transport::Implementation::~Implementation()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
        if (this->thread.joinable())
            this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
    }
    if (this->thread.joinable())
        this->thread.join();
}

std::string Transport::Implementation::start()
{
    this->wakeReceiver.bind(std::string(wakeAddress));
    this->wakeSender.connect(std::string(wakeAddress));
    this->wakeSender.set(zmq::sockopt::linger, 0);
    this->setConnectionOptions(this->router);
    this->router.set(zmq::sockopt::curve_server, true);
    this->router.set(zmq::sockopt::curve_secretkey, this->settings.secretKey);
    this->router.set(zmq::sockopt::curve_publickey, this->settings.publicKey);
    this->router.set(zmq::sockopt::zap_domain, "nodes");
    this->router.set(zmq::sockopt::rcvhwm, this->settings.maxQueuedMessages);
    this->router.bind("tcp://" + this->settings.address);
    const auto endpoint = this->router.get(zmq::sockopt::last_endpoint);
    this->thread = std::thread([this] { this->run(); });
    return endpoint.substr(std::string_view("tcp://").size());
}

void Transport::Implementation::setConnectionOptions(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize, maxSocketMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, milliseconds(this->settings.heartbeatInterval));
    socket.set(zmq::sockopt::heartbeat_timeout, milliseconds(this->settings.heartbeatInterval));
    socket.set(zmq::sockopt::heartbeat_ttl, 3 * milliseconds(this->settings.heartbeatInterval));
}

bool Transport::Implementation::enqueue(SendMessage message)
{
    const bool isProbe = isProbeTraffic(message.envelope);
    const auto size = message.envelope.ByteSizeLong();
    if (message.address.empty() || size > maxFrameBytes) {
        this->countDropped(isProbe);
        return false;
    }
    zmq::message_t frame(size);
    message.envelope.SerializeWithCachedSizesToArray(frame.data<std::uint8_t>());
    const std::lock_guard lock(this->mutex);
    // The protocol repeats probes, so they are dropped first when the queue fills.
    const auto limit = isProbe ? this->settings.maxPendingCommands / 2 : this->settings.maxPendingCommands;
    if (this->isStopping || this->commands.size() >= limit) {
        this->countDropped(isProbe);
        return false;
    }
    this->pushCommand(Command { std::move(message.address), isProbe, false, std::move(frame) });
    return true;
}

void Transport::Implementation::enqueueReconnect(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    if (!this->isStopping && this->commands.size() < this->settings.maxPendingCommands)
        this->pushCommand(Command { address, false, true, {} });
}

void Transport::Implementation::pushCommand(Command command)
{
    this->commands.push_back(std::move(command));
    if (this->commands.size() == 1)
        this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
}

void Transport::Implementation::countDropped(bool isProbe)
{
    ++(isProbe ? this->counts.droppedProbes : this->counts.droppedOther);
}

void Transport::Implementation::run()
{
    zmq::pollitem_t items[] = {
        { this->authenticator.socket().handle(), 0, ZMQ_POLLIN, 0 },
        { this->router.handle(), 0, ZMQ_POLLIN, 0 },
        { this->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0 },
    };
    while (true) {
        zmq::poll(items, std::size(items), std::chrono::milliseconds(idleCheckInterval / std::chrono::milliseconds(1)));
        const auto now = core::monotonicNow();
        this->authenticator.answerRequests();
        zmq::message_t wake;
        while (this->wakeReceiver.recv(wake, zmq::recv_flags::dontwait)) { }
        {
            const std::lock_guard lock(this->mutex);
            if (this->isStopping)
                return;
        }
        this->sendCommands(now);
        this->receiveFrames(now);
        this->closeIdleConnections(now);
    }
}

void Transport::Implementation::sendCommands(core::TimePoint now)
{
    std::deque<Command> taken;
    {
        const std::lock_guard lock(this->mutex);
        taken.swap(this->commands);
    }
    for (auto& command : taken)
        this->sendCommand(command, now);
}

void Transport::Implementation::sendCommand(Command& command, core::TimePoint now)
{
    if (command.isReconnect) {
        this->outgoingConnections.erase(command.address);
        return;
    }
    auto* connection = this->findOrConnect(command.address, now);
    const auto size = command.frame.size();
    if (connection == nullptr || !trySend(connection->socket, command.frame)) {
        this->countDropped(command.isProbe);
        return;
    }
    connection->lastUsed = now;
    ++this->counts.sent;
    this->counts.sentBytes += size;
}

Transport::Implementation::OutgoingConnection* Transport::Implementation::findOrConnect(
    const std::string& address, core::TimePoint now)
{
    const auto found = this->outgoingConnections.find(address);
    if (found != this->outgoingConnections.end())
        return &found->second;
    try {
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        this->setConnectionOptions(socket);
        socket.set(zmq::sockopt::sndhwm, this->settings.maxQueuedMessages);
        socket.set(zmq::sockopt::reconnect_ivl, milliseconds(this->settings.minReconnectInterval));
        socket.set(zmq::sockopt::reconnect_ivl_max, milliseconds(this->settings.maxReconnectInterval));
        socket.set(zmq::sockopt::curve_serverkey, this->settings.publicKey);
        socket.set(zmq::sockopt::curve_publickey, this->settings.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, this->settings.secretKey);
        socket.connect("tcp://" + address);
        return &this->outgoingConnections.emplace(address, OutgoingConnection { std::move(socket), now }).first->second;
    } catch (const zmq::error_t& error) {
        core::logWarning("peer_address_refused").with("address", address).with("reason", error.what());
        return nullptr;
    }
}

void Transport::Implementation::receiveFrames(core::TimePoint now)
{
    std::vector<zmq::message_t> frames;
    for (int count = 0; count < maxReceiveBatch; ++count) {
        frames.clear();
        if (!zmq::recv_multipart(this->router, std::back_inserter(frames), zmq::recv_flags::dontwait))
            return;
        if (frames.size() == 2)
            this->handleFrame(frames[0].to_string(), frames[1], now);
        else
            ++this->counts.malformed;
    }
}

void Transport::Implementation::handleFrame(
    const std::string& routingId, const zmq::message_t& frame, core::TimePoint now)
{
    auto envelope = decodeEnvelope(frame.data(), frame.size());
    if (!envelope) {
        ++this->counts.malformed;
        return;
    }
    const std::string sender = envelope->sender();
    if (sender == this->settings.node || !this->isConsistentSender(routingId, sender, now)) {
        ++this->counts.senderMismatches;
        return;
    }
    ++this->counts.received;
    this->counts.receivedBytes += frame.size();
    this->messageHandler(sender, std::move(*envelope));
}

bool Transport::Implementation::isConsistentSender(
    const std::string& routingId, const std::string& sender, core::TimePoint now)
{
    auto& connection
        = this->incomingConnections.try_emplace(routingId, IncomingConnection { sender, now }).first->second;
    connection.lastUsed = now;
    return connection.sender == sender;
}

void Transport::Implementation::closeIdleConnections(core::TimePoint now)
{
    if (now < this->nextIdleCheck)
        return;
    this->nextIdleCheck = now + idleCheckInterval;
    const auto timeout = this->settings.idleTimeout;
    std::erase_if(this->outgoingConnections, [&](const auto& entry) { return now - entry.second.lastUsed > timeout; });
    // Peers close idle connections after the same time; twice that time tolerates different clocks and delays.
    std::erase_if(
        this->incomingConnections, [&](const auto& entry) { return now - entry.second.lastUsed > 2 * timeout; });
}

} // namespace lagoontiller::nodes
