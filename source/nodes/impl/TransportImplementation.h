#pragma once

#include "nodes/Transport.h"
#include "nodes/impl/CurveAuthenticator.h"

#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <zmq.hpp>

namespace lagoontiller::nodes {

/// \brief Sockets of a Transport and the thread that uses them. Other threads use only `wakeSender`.
class Transport::Implementation {
public:
    Implementation(TransportSettings settings, MessageHandler messageHandler);
    ~Implementation();
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    /// \brief Binds the ROUTER socket and starts the transport thread. Returns the bound ip:port. Throws zmq::error_t
    /// if the address cannot be bound.
    [[nodiscard]] std::string start();
    bool enqueue(SendMessage message);
    void enqueueReconnect(const std::string& address);

    TransportCounts counts;

private:
    struct Command {
        std::string address;
        bool isProbe;
        /// Closes the connection; there is no frame.
        bool isReconnect;
        zmq::message_t frame;
    };
    struct OutgoingConnection {
        zmq::socket_t socket;
        core::TimePoint lastUsed;
    };
    /// First sender name on an incoming connection. The key is the routing id that the ROUTER chose.
    struct IncomingConnection {
        std::string sender;
        core::TimePoint lastUsed;
    };

    void run();
    void pushCommand(Command command);
    void sendCommands(core::TimePoint now);
    void sendCommand(Command& command, core::TimePoint now);
    void receiveFrames(core::TimePoint now);
    void handleFrame(const std::string& routingId, const zmq::message_t& frame, core::TimePoint now);
    [[nodiscard]] bool isConsistentSender(const std::string& routingId, const std::string& sender, core::TimePoint now);
    void closeIdleConnections(core::TimePoint now);
    [[nodiscard]] OutgoingConnection* findOrConnect(const std::string& address, core::TimePoint now);
    void setConnectionOptions(zmq::socket_t& socket);
    void countDropped(bool isProbe);

    TransportSettings settings;
    MessageHandler messageHandler;
    zmq::context_t context;
    CurveAuthenticator authenticator;
    zmq::socket_t router;
    zmq::socket_t wakeReceiver;
    std::unordered_map<std::string, OutgoingConnection> outgoingConnections;
    std::unordered_map<std::string, IncomingConnection> incomingConnections;
    core::TimePoint nextIdleCheck {};

    std::mutex mutex;
    /// Guarded by `mutex`, like the two members below.
    std::deque<Command> commands;
    zmq::socket_t wakeSender;
    bool isStopping = false;
    std::thread thread;
};

} // namespace lagoontiller::nodes
