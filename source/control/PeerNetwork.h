#pragma once

#include "callers/HttpServer.h"
#include "control/Events.h"
#include "nodes/DocumentSpread.h"
#include "nodes/ForwardStreams.h"
#include "nodes/Membership.h"
#include "nodes/Transport.h"
#include "nodes/VmListSpread.h"
#include "settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lagoontiller::control {

/// \brief Links to the other nodes: membership, spread of document and VM list, and forwarded calls.
///
/// All functions but those of forwarded answers run on the control thread. Forwarded text goes from one traffic thread
/// to the other under a mutex and does not touch the control thread.
class PeerNetwork {
public:
    /// \brief What the node does with the link's news; called on the control thread.
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

    [[nodiscard]] core::Expected<void> start();
    void stop();
    void tick(core::TimePoint now);

    void publishDocument(std::uint64_t version, const std::string& text);
    void publishVmList(std::uint64_t version, const std::string& list);
    /// \brief Whether this node is among those that poll the VM list for its zone.
    [[nodiscard]] bool pollsVmList() const;
    void setLeaving();
    /// \brief Tells some members that this node has left.
    void leave(core::TimePoint now);
    void forward(CallId call, const std::string& node, const callers::IncomingRequest& request,
        callers::ResponseStreamPointer response, core::TimePoint now);
    void send(const std::string& node, nodes::wire::Envelope envelope);
    /// \brief Sends to all living members.
    void broadcast(const nodes::wire::Envelope& envelope);

    [[nodiscard]] const nodes::TransportCounts* transportCounts() const noexcept;
    [[nodiscard]] const std::vector<Member>& members() const noexcept { return this->livingMembers; }
    /// \brief Newest document version that the node is known to have; 0 when it is not known.
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
    /// \brief Needs the forward mutex.
    void handleForward(nodes::ForwardEffects effects);
    void onHead(const nodes::HeadArrived& head);
    void onEnd(const nodes::AnswerEnded& ended);
    void onRequest(const nodes::RequestArrived& arrived);
    [[nodiscard]] callers::ResponseStreamPointer responseTo(const nodes::StreamKey& key);
    void updateMembers();
    void deliver(nodes::SendMessage message);
    /// \brief Fills sender and address from the address book; callable from any thread that holds the forward mutex.
    void deliverForward(nodes::SendMessage message);

    Post post;
    Handlers handlers;
    nodes::TransportSettings transportSettings;
    nodes::Generator generator;
    nodes::Membership membership;
    nodes::DocumentSpread documents;
    nodes::VmListSpread vmLists;
    std::vector<Member> livingMembers;
    std::string zone;
    std::string node;

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
