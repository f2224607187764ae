#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "nodes/Effects.h"
#include "nodes/EnvelopeDecoding.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace lagoontiller::nodes {

/// \brief Address, key pair and limits of a Transport.
struct TransportSettings {
    /// \brief Name of this node. Received frames with this sender name are dropped.
    std::string node;
    /// \brief ip:port to bind. Port 0 selects a free port, see `Transport::address`.
    std::string address;
    /// \brief CURVE key pair of the deployment in Z85, 40 characters per key; the same on all nodes.
    std::string publicKey;
    std::string secretKey;
    /// \brief ZeroMQ high-water mark: messages queued per connection.
    int maxQueuedMessages = 1000;
    /// \brief Messages passed to `send` that the transport thread has not yet taken. Probes are dropped at half of this
    /// limit, which keeps the rest free for calls.
    std::size_t maxPendingCommands = 16'384;
    /// \brief Heartbeat interval of connections. At 5 s, the heartbeats of the about 120 connections that random
    /// probing keeps open take about 2.4 KB/s.
    core::Duration heartbeatInterval = std::chrono::seconds(5);
    core::Duration minReconnectInterval = std::chrono::milliseconds(100);
    core::Duration maxReconnectInterval = std::chrono::seconds(2);
    /// \brief Connections on which no message was sent for this time are closed, and reopened when needed.
    core::Duration idleTimeout = std::chrono::seconds(60);
};

/// \brief Monotonic counters of a Transport.
struct TransportCounts {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    /// \brief Received messages that are not a single frame that `decodeEnvelope` accepts.
    std::atomic<std::uint64_t> malformed = 0;
    /// \brief Frames whose sender is this node or differs from the first sender on the same connection.
    std::atomic<std::uint64_t> senderMismatches = 0;
    std::atomic<std::uint64_t> droppedProbes = 0;
    std::atomic<std::uint64_t> droppedOther = 0;
    /// \brief Connection attempts with a key other than the deployment's.
    std::atomic<std::uint64_t> refusedKeys = 0;
};

/// \brief ZeroMQ connections to the other nodes, run by one transport thread: a bound ROUTER socket that only receives,
/// and one DEALER socket per peer address that only sends.
///
/// All nodes share one key pair, so the key proves membership of the deployment but not the node's name: any holder of
/// the key can open a connection under any name. Only one rule is enforced: all messages on a connection must carry the
/// sender name of the first one. The ROUTER chooses the routing ids, never the peer, so no peer can take over another
/// peer's connection.
class Transport {
public:
    /// Called on the transport thread; must not block.
    using MessageHandler = std::function<void(const std::string& sender, wire::Envelope envelope)>;

    /// \brief Binds the address and starts the transport thread. Returns SettingsFault if the address cannot be bound
    /// or the keys are not a key pair.
    [[nodiscard]] static core::Expected<std::unique_ptr<Transport>> start(
        TransportSettings settings, MessageHandler messageHandler);
    ~Transport();
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    /// \brief Queues a message for the peer at `message.address`. Thread-safe; never blocks. Returns false if the
    /// message was dropped immediately. Later drops are only counted; delivery is not guaranteed.
    bool send(SendMessage message);

    /// \brief Closes the connection to an address and discards its queued messages; the next message opens a new one.
    /// Thread-safe.
    void reconnect(const std::string& address);

    /// \brief ip:port to which the transport is bound.
    [[nodiscard]] const std::string& address() const noexcept { return this->boundAddress; }
    [[nodiscard]] const TransportCounts& counts() const noexcept;

private:
    class Implementation;
    explicit Transport(std::unique_ptr<Implementation> implementation, std::string boundAddress);
    std::unique_ptr<Implementation> implementation;
    std::string boundAddress;
};

/// \brief Generates a CURVE key pair (public, secret) in Z85 for tests and benchmarks. Both are empty if the ZeroMQ
/// library has no CURVE support.
[[nodiscard]] std::pair<std::string, std::string> generateCurveKeyPair();

} // namespace lagoontiller::nodes
