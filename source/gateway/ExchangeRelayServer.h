#pragma once

#include "core/Metrics.h"
#include "gateway/EndpointDirectory.h"
#include "gateway/EndpointExchanges.h"
#include "gateway/StopSchedule.h"
#include "transport/ClientPool.h"
#include "transport/ConnectionProbe.h"
#include "transport/Server.h"

#include <asio/io_context.hpp>
#include <set>

namespace lagoontiller::gateway::wire {
class RelayedEnd;
class RelayedExchange;
class RelayedPart;
} // namespace lagoontiller::gateway::wire

namespace lagoontiller::gateway {

/// \brief Objects that the relay server uses; all of them must outlive it.
struct ExchangeRelayServerDependencies {
    asio::io_context& context;
    transport::Server& server;
    transport::ClientPool& endpoints;
    EndpointExchanges& endpointExchanges;
    EndpointDirectory& endpointDirectory;
    core::MetricRegistry& metrics;
};

/// \brief Sends requests to endpoints for peers that do not reach them, and passes the responses on as they arrive.
///
/// The endpoint must be in service by the knowledge of this node, too, and at the address that this node knows. The
/// calls of this node's own callers come first: a limit on the number and the bytes of relayed exchanges bounds what
/// peers may use.
class ExchangeRelayServer {
public:
    /// \brief `maxBytes` limits the bytes of requests and of undelivered responses of all relayed exchanges.
    ExchangeRelayServer(ExchangeRelayServerDependencies dependencies, std::size_t maxBytes);

    /// \brief Handles a request of a peer. It is rejected if this node does not reach the endpoints either.
    void serve(transport::ConnectionId connection, const wire::RelayedExchange& request, core::TimePoint now);
    /// \brief Ends the exchanges that are silent because this node has lost the paths to endpoints: another peer sends
    /// requests of which no byte was sent.
    void handlePathsLost();
    /// \brief Cancels the exchange of a peer that closed its connection.
    void handleDisconnect(transport::ConnectionId connection);
    /// \brief Continues to read a response that its peer has read.
    void handleDrained(transport::ConnectionId connection);
    /// \brief From now on accepts only exchanges that end before this node does.
    void startDraining(const StopSchedule& schedule) { this->stopSchedule = schedule; }
    [[nodiscard]] std::size_t exchangesInProgress() const noexcept { return this->exchanges.size(); }

    /// \brief Exchanges that peers may have in progress at this node.
    static constexpr std::size_t maxExchanges = 256;

private:
    struct Exchange {
        std::string endpoint;
        std::string address;
        std::int64_t endpointStartedAt = 0;
        transport::ExchangeId id = 0;
        std::size_t bytes = 0;
        bool answered = false;
        bool success = false;
        bool paused = false;
    };

    void serveIfProven(transport::ConnectionId connection, const wire::RelayedExchange& request, bool pathsOpen);
    void reject(transport::ConnectionId connection, int reason, bool leaving);
    void forward(transport::ConnectionId connection, const wire::RelayedExchange& request);
    void forwardHead(transport::ConnectionId connection, const transport::ResponseHead& head);
    void forwardBody(transport::ConnectionId connection, std::string&& bytes);
    void ended(transport::ConnectionId connection, transport::ExchangeEnd end);
    /// \brief Finds out what the close of a response without length means, then ends it.
    void endClosed(transport::ConnectionId connection);
    void write(transport::ConnectionId connection, const wire::RelayedPart& part);
    void finish(transport::ConnectionId connection, const wire::RelayedEnd& end);
    void remove(transport::ConnectionId connection);

    ExchangeRelayServerDependencies dependencies;
    std::size_t maxBytes;
    std::size_t heldBytes = 0;
    std::unordered_map<transport::ConnectionId, Exchange> exchanges;
    /// \brief Connections whose request waits for the proof of the paths.
    std::set<transport::ConnectionId> waiting;
    std::optional<StopSchedule> stopSchedule;
};

} // namespace lagoontiller::gateway
