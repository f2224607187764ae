#pragma once

#include "callers/HttpServer.h"
#include "control/Events.h"
#include "nodes/DocumentGossip.h"
#include "nodes/ForwardStreams.h"
#include "nodes/Membership.h"
#include "nodes/Transport.h"
#include "nodes/VmListGossip.h"
#include "settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lagoontiller::control {

/// \brief Communication with the other nodes: membership, dissemination of the document and the VM list, and forwarded
/// calls.
///
/// Public functions must be called on the control thread. Answers of forwarded calls are relayed between the transport
/// and HTTP threads under `forwardMutex`, without passing through the control thread.
class PeerNetwork {
public:
    /// \brief Callbacks, called on the control thread.
    struct Handlers {
        std::function<void(std::vector<Member>)> membersChanged;
        std::function<void(std::uint64_t version, const std::string& text)> documentAdopted;
        std::function<void(const std::string& list)> vmListAdopted;
        std::function<void(callers::IncomingRequest, callers::ResponseStreamPointer)> requestArrived;
        std::function<void(Event)> event;
    };
    /// \brief Runs a function on the control thread.
    using Post = std::function<void(std::function<void()>)>;

    PeerNetwork(const settings::Settings& settings, Post post, Handlers handlers, core::TimePoint now);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// \brief Starts the transport. Error: that of the transport, for example an address in use.
    [[nodiscard]] core::Expected<void> start();
    void stop();
    void tick(core::TimePoint now);

    /// \brief Disseminates a document version that this node has started to apply.
    void publishDocument(std::uint64_t version, const std::string& text);
    /// \brief Disseminates a VM list that this node has started to apply.
    void publishVmList(std::uint64_t version, const std::string& list);
    /// \brief Whether this node is one of those that poll the VM list on behalf of its zone.
    [[nodiscard]] bool pollsVmList() const;
    /// \brief Marks this node as leaving in the membership.
    void setLeaving();
    /// \brief Announces to some members that this node has left.
    void leave(core::TimePoint now);
    /// \brief Forwards a request to another node and relays the answer to `response`. Reports ForwardAnswered when the
    /// head of the answer arrives, or ForwardFailed.
    void forward(CallId call, const std::string& node, const callers::IncomingRequest& request,
        callers::ResponseStreamPointer response, core::TimePoint now);
    void send(const std::string& node, nodes::wire::Envelope envelope);
    /// \brief Sends a message to all other living members.
    void broadcast(const nodes::wire::Envelope& envelope);

    /// \brief Message counters; nullptr before `start`.
    [[nodiscard]] const nodes::TransportCounts* transportCounts() const noexcept;
    [[nodiscard]] const std::vector<Member>& members() const noexcept { return this->livingMembers; }
    /// \brief Newest document version that the node is known to have; 0 if unknown.
    [[nodiscard]] std::uint64_t documentVersionOf(const std::string& node) const;

private:
    struct ForwardedCall {
        CallId call = 0;
        callers::ResponseStreamPointer response;
        bool headRelayed = false;
    };

    void receive(const std::string& sender, nodes::wire::Envelope envelope);
    void receiveOnControl(const nodes::wire::Envelope& envelope, core::TimePoint now);
    void receiveForward(const nodes::wire::Envelope& envelope, core::TimePoint now);
    void handle(nodes::MembershipEffects effects);
    void handle(nodes::DocumentEffects effects);
    void handle(nodes::VmListEffects effects);
    /// \brief Requires `forwardMutex` to be held.
    void handleForward(nodes::ForwardEffects effects);
    void onHead(const nodes::ResponseHeadReceived& head);
    void onEnd(const nodes::ResponseEnded& ended);
    void onRequest(const nodes::RequestReceived& arrived);
    /// \brief Response of a request that another node forwarded here; it is sent back on that stream.
    [[nodiscard]] callers::ResponseStreamPointer responseTo(const nodes::StreamKey& key);
    void updateMembers();
    void deliver(nodes::SendMessage message);
    /// \brief Fills in sender and address and sends the message; dropped if the peer is unknown. Callable from any
    /// thread; requires `forwardMutex` to be held.
    void deliverForward(nodes::SendMessage message);

    Post post;
    Handlers handlers;
    nodes::TransportSettings transportSettings;
    nodes::RandomGenerator generator;
    nodes::Membership membership;
    nodes::DocumentGossip documents;
    nodes::VmListGossip vmLists;
    std::vector<Member> livingMembers;
    std::string zone;
    std::string node;

    /// \brief Guards the members from here to `documentVersion`.
    std::mutex forwardMutex;
    nodes::ForwardStreams forwardStreams;
    std::map<nodes::StreamKey, ForwardedCall> forwardedCalls;
    std::map<nodes::StreamKey, std::weak_ptr<callers::ResponseStream>> servedStreams;
    std::map<std::string, std::string> peerAddresses;
    std::uint64_t incarnation;
    std::uint64_t documentVersion = 0;

    std::unique_ptr<nodes::Transport> transport;
};

} // namespace lagoontiller::control
