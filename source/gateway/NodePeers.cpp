// What a node serves to other nodes.

#include "gateway/Node.h"
#include "gateway/impl/ExchangeMessages.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway {

void Node::serveToPeer(transport::ConnectionId connection, const transport::Request& request)
{
    // Peers may still take this process for its predecessor, which was ready, and ask it for rows.
    if (request.target == impl::relayTarget)
        this->relayForPeer(connection, request);
    else if (this->tableParts.known())
        this->peerService.serve(connection, request, core::monotonicNow());
    else
        this->peerServer.respond(connection, transport::statusLine(503), {});
}

void Node::relayForPeer(transport::ConnectionId connection, const transport::Request& request)
{
    wire::PeerRequest message;
    if (!message.ParseFromString(request.body) || !message.has_exchange()) {
        this->peerServer.respond(connection, transport::statusLine(400), {});
        return;
    }
    this->exchangeRelayServer.serve(connection, message.exchange(), core::monotonicNow());
}

} // namespace lagoontiller::gateway
