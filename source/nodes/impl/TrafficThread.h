#pragma once

#include "nodes/Transport.h"
#include "nodes/impl/CurveAuthenticator.h"

#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <zmq.hpp>

namespace lagoontiller::nodes {

/// \brief The sockets of a Transport and the only thread that uses them.
class Transport::Implementation {
public:
    Implementation(TransportSettings settings, Receiver receiver);
    ~Implementation();
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    /// \brief Binds and starts the thread; throws zmq::error_t.
    [[nodiscard]] std::string start();
    bool enqueue(SendMessage message);
    void enqueueReconnect(const std::string& address);

    TransportCounts counts;

private:
    struct Command {
        std::string address;
        bool isProbe;
        /// The link is to be closed; there is no frame.
        bool isReconnect;
        zmq::message_t frame;
    };
    struct Peer {
        zmq::socket_t socket;
        core::TimePoint lastUsed;
    };
    /// First sender name on one incoming connection, by the routing id that the ROUTER chose.
    struct Connection {
        std::string sender;
        core::TimePoint lastUsed;
    };

    void run();
    void push(Command command);
    void sendCommands(core::TimePoint now);
    void sendCommand(Command& command, core::TimePoint now);
    void receive(core::TimePoint now);
    void handleFrame(const std::string& connection, const zmq::message_t& frame, core::TimePoint now);
    [[nodiscard]] bool isOwnName(const std::string& connection, const std::string& sender, core::TimePoint now);
    void closeIdle(core::TimePoint now);
    [[nodiscard]] Peer* peer(const std::string& address, core::TimePoint now);
    void setLinkOptions(zmq::socket_t& socket);
    void countDrop(bool isProbe);

    TransportSettings settings;
    Receiver receiver;
    zmq::context_t context;
    CurveAuthenticator authenticator;
    zmq::socket_t router;
    zmq::socket_t wakeReceiver;
    std::unordered_map<std::string, Peer> peers;
    std::unordered_map<std::string, Connection> connections;
    core::TimePoint nextCleaning {};

    std::mutex mutex;
    /// Guarded by `mutex`, like the two members below.
    std::deque<Command> commands;
    zmq::socket_t wakeSender;
    bool isStopping = false;
    std::thread thread;
};

} // namespace lagoontiller::nodes
