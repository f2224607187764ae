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

/// \brief Addresses, key pair and bounds of the link to the other nodes.
struct TransportSettings {
    /// \brief Own node name; frames that claim it are dropped.
    std::string node;
    /// \brief ip:port to bind. Port 0 picks a free port, see `Transport::address`.
    std::string address;
    /// \brief The deployment's CURVE key pair, Z85, 40 characters each. All nodes share it.
    std::string publicKey;
    std::string secretKey;
    /// \brief Messages queued per peer. Probes are refused at half of it, so that calls keep their place.
    int maxQueuedMessages = 1000;
    /// \brief Messages from callers of `send` that the traffic thread has not yet taken over.
    std::size_t maxPendingCommands = 16'384;
    /// \brief Heartbeat on idle links. At 5 s and the some 120 links that random probing keeps open, this costs about
    /// 2.4 KB/s.
    core::Duration heartbeatInterval = std::chrono::seconds(5);
    core::Duration minReconnectInterval = std::chrono::milliseconds(100);
    core::Duration maxReconnectInterval = std::chrono::seconds(2);
    /// \brief Links without a message to send for this long are closed and opened again when needed.
    core::Duration idleTimeout = std::chrono::seconds(60);
};

/// \brief Counters of the traffic thread; monotonic.
struct TransportCounts {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    /// \brief Frames over the size limit or not parseable as an envelope with a sender.
    std::atomic<std::uint64_t> malformed = 0;
    /// \brief Frames whose sender differs from the first sender on the same connection or is this node.
    std::atomic<std::uint64_t> senderMismatches = 0;
    std::atomic<std::uint64_t> droppedProbes = 0;
    std::atomic<std::uint64_t> droppedOther = 0;
    /// \brief Connection attempts with another key than the deployment's.
    std::atomic<std::uint64_t> refusedKeys = 0;
};

/// \brief ZeroMQ links to the other nodes on one traffic thread: a bound ROUTER that only receives and one DEALER per
/// peer address that only sends.
///
/// All nodes share one key pair, so the key proves membership of the deployment, not the name: whoever holds it can
/// open a connection under any name. What is enforced is that a connection keeps the name of its first message. The
/// routing ids are chosen by the ROUTER, never by the peer, so no peer can take over another's connection.
class Transport {
public:
    /// Called on the traffic thread; must not block.
    using MessageHandler = std::function<void(const std::string& sender, wire::Envelope envelope)>;

    /// \brief Binds and starts the traffic thread. Fails with SettingsFault for a bad address or key.
    [[nodiscard]] static core::Expected<std::unique_ptr<Transport>> start(
        TransportSettings settings, MessageHandler messageHandler);
    ~Transport();
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    /// \brief Queues a message for the peer at `message.address`. Thread-safe, never blocks; false when it was dropped
    /// at once. Later drops are only counted: delivery is not guaranteed.
    bool send(SendMessage message);

    /// \brief Closes the link to an address, with what it has queued; the next message opens a new one. Thread-safe.
    void reconnect(const std::string& address);

    /// \brief Bound ip:port.
    [[nodiscard]] const std::string& address() const noexcept { return this->boundAddress; }
    [[nodiscard]] const TransportCounts& counts() const noexcept;

private:
    class Implementation;
    explicit Transport(std::unique_ptr<Implementation> implementation, std::string boundAddress);
    std::unique_ptr<Implementation> implementation;
    std::string boundAddress;
};

/// \brief Fresh CURVE key pair (public, secret) in Z85, for `lagoontiller key` and tests.
[[nodiscard]] std::pair<std::string, std::string> generateCurveKeyPair();

} // namespace lagoontiller::nodes
