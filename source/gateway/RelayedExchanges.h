#pragma once

#include "gateway/EndpointDirectory.h"
#include "gateway/NodeRegistry.h"
#include "gateway/RelaySelector.h"
#include "gateway/impl/ExchangeMessages.h"
#include "transport/ClientPool.h"

#include <map>

namespace lagoontiller::gateway {

/// \brief A request to an endpoint, and what a peer needs to know to send it.
struct EndpointExchange {
    /// \brief Id of the endpoint and start of its process in Unix milliseconds.
    std::string endpoint;
    std::int64_t endpointStartedAt = 0;
    std::string address;
    /// \brief Deadline of the call.
    core::TimePoint deadline {};
    /// \brief The serialised request.
    std::string request;
    transport::ExchangeOptions options;
};

/// \brief What the peer knows of the end of a response that ended with its connection.
struct ClosedExchange {
    transport::OtherConnections others;
    transport::ProbeResult probe = transport::ProbeResult::Unanswered;
    [[nodiscard]] bool operator==(const ClosedExchange&) const = default;
};

/// \brief Sends requests to endpoints through peers that reach them, while this node does not.
///
/// Only the last step of a call is relayed: this node has already prepared it and chosen the endpoint, and handles the
/// response as if it had received it directly. A peer that rejects the request has sent none of its bytes, so that the
/// next one is tried at once. After a peer has taken the request over it is never sent through another one: if the peer
/// is lost, the request may have been executed.
class RelayedExchanges {
public:
    /// \brief `pool` connects to peers.
    RelayedExchanges(
        transport::ClientPool& pool, const NodeRegistry& nodeRegistry, EndpointDirectory& endpointDirectory);

    /// \brief Whether this node knows a peer.
    [[nodiscard]] bool hasPeers() const;
    /// \brief As `ClientPool::send`; ends with `NoPath` if no peer sends the request.
    transport::ExchangeId send(EndpointExchange exchange, transport::ExchangeEvents events);
    /// \brief As the functions of `ClientPool` with these names.
    void cancel(transport::ExchangeId exchange);
    void pause(transport::ExchangeId exchange);
    void resume(transport::ExchangeId exchange);
    /// \brief Peer address that carries the exchange; empty for an unknown one.
    [[nodiscard]] std::string peerOf(transport::ExchangeId exchange) const;
    /// \brief While `ended` is called with `Closed`: what the peer knows of that end.
    [[nodiscard]] std::optional<ClosedExchange> closedExchange(transport::ExchangeId exchange) const;
    /// \brief Prefers other peers to those that have not answered for some time; call every `tickInterval`.
    void tick(core::TimePoint now);

private:
    struct Relay {
        EndpointExchange exchange;
        transport::ExchangeEvents events;
        std::vector<std::string> peers;
        std::size_t nextPeer = 0;
        std::string peer;
        transport::ExchangeId peerExchange = 0;
        core::TimePoint sentAt {};
        /// \brief Status of the peer's response; 0 until it has answered.
        int status = 0;
        bool accepted = false;
        bool overdue = false;
        bool paused = false;
        bool headDelivered = false;
        std::string rejection;
        impl::PartReader reader;
        std::optional<transport::ExchangeEnd> end;
        std::optional<ClosedExchange> closed;
    };

    [[nodiscard]] std::vector<std::string> choosePeers(core::TimePoint now);
    void tryNextPeer(transport::ExchangeId id);
    void peerAnswered(transport::ExchangeId id, const transport::ResponseHead& head);
    void peerSent(transport::ExchangeId id, std::string_view bytes);
    void peerEnded(transport::ExchangeId id, transport::ExchangeEnd end);
    /// \brief Handles a peer that has sent no byte of the request.
    void peerRejected(transport::ExchangeId id);
    void deliver(transport::ExchangeId id, const wire::RelayedPart& part);
    void finish(transport::ExchangeId id, transport::ExchangeEnd end);

    transport::ClientPool& pool;
    const NodeRegistry& nodeRegistry;
    EndpointDirectory& endpointDirectory;
    RelaySelector selector;
    std::unordered_map<transport::ExchangeId, Relay> relays;
    transport::ExchangeId lastId = 0;
    std::uint64_t lastMessage = 0;
};

} // namespace lagoontiller::gateway
