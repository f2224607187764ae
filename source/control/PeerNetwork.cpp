#include "control/PeerNetwork.h"

#include "control/Overloaded.h"
#include "core/Log.h"

#include <charconv>

namespace lagoontiller::control {

namespace {

using nodes::wire::Envelope;

// Each process run takes its stream ids from a range that starts at its incarnation, so that the ids of two runs of the
// same node do not overlap.
constexpr unsigned incarnationShift = 20;
// Limits an implausible age reported by a faulty peer.
constexpr std::uint64_t maxNoticeAgeMs = 3'600'000;

nodes::Member ownMember(const settings::Settings& settings)
{
    nodes::Member member;
    member.node = settings.nodeName;
    member.address = settings.nodeAddress.text();
    member.callerAddress = settings.callerAddress.text();
    member.zone = settings.zone;
    member.region = settings.region;
    member.incarnation = static_cast<std::uint64_t>(core::unixMilliseconds());
    return member;
}

nodes::MembershipSettings membershipSettings(const settings::Settings& settings)
{
    nodes::MembershipSettings result;
    for (const auto& seed : settings.seeds)
        result.seeds.push_back(seed.text());
    return result;
}

bool isForward(const Envelope& envelope)
{
    switch (envelope.body_case()) {
    case Envelope::kForwardOpen:
    case Envelope::kForwardHead:
    case Envelope::kForwardData:
    case Envelope::kForwardEnd:
    case Envelope::kForwardCancel:
        return true;
    default:
        return false;
    }
}

http::Headers headersFrom(const std::vector<nodes::wire::Header>& headers)
{
    http::Headers result;
    for (const auto& header : headers)
        result.push_back({ header.name(), header.value() });
    return result;
}

std::vector<nodes::wire::Header> toWire(const http::Headers& headers)
{
    std::vector<nodes::wire::Header> result;
    for (const auto& header : headers) {
        result.emplace_back().set_name(header.name);
        result.back().set_value(header.value);
    }
    return result;
}

policy::PoisonNotice poisonNoticeFrom(const nodes::wire::PoisonNotice& wire)
{
    policy::PoisonNotice notice;
    notice.endpoint = wire.endpoint();
    notice.digests.assign(wire.digests().begin(), wire.digests().end());
    notice.age = std::chrono::milliseconds(std::min<std::uint64_t>(wire.age_ms(), maxNoticeAgeMs));
    return notice;
}

int resultCodeOf(const http::Headers& headers)
{
    const auto value = http::headerValue(headers, "X-Result-Code");
    int code = 0;
    std::from_chars(value.data(), value.data() + value.size(), code);
    return code;
}

} // namespace

PeerNetwork::PeerNetwork(const settings::Settings& settings, Post post, Handlers handlers, core::TimePoint now)
    : post(std::move(post))
    , handlers(std::move(handlers))
    , generator(std::random_device {}())
    , membership(ownMember(settings), membershipSettings(settings), this->generator, now)
    , documents({}, this->generator)
    , vmLists({}, this->generator)
    , zone(settings.zone)
    , node(settings.nodeName)
    , forwardStreams(this->membership.localMember().incarnation << incarnationShift, {})
    , incarnation(this->membership.localMember().incarnation)
{
    this->transportSettings.address = settings.nodeAddress.text();
    this->transportSettings.publicKey = settings.deploymentPublicKey;
    this->transportSettings.secretKey = settings.deploymentSecretKey;
}

PeerNetwork::~PeerNetwork()
{
    this->stop();
}

core::Expected<void> PeerNetwork::start()
{
    auto started = nodes::Transport::start(this->transportSettings,
        [this](const std::string& sender, Envelope envelope) { this->receive(sender, std::move(envelope)); });
    if (!started)
        return tl::unexpected(started.error());
    this->transport = std::move(*started);
    this->updateMembers();
    return {};
}

void PeerNetwork::stop()
{
    this->transport.reset();
}

void PeerNetwork::receive(const std::string& sender, Envelope envelope)
{
    static_cast<void>(sender);
    if (isForward(envelope))
        this->receiveForward(envelope, core::monotonicNow());
    else
        this->post([this, envelope = std::move(envelope)] { this->receiveOnControl(envelope, core::monotonicNow()); });
}

void PeerNetwork::receiveOnControl(const Envelope& envelope, core::TimePoint now)
{
    this->handle(this->membership.handle(envelope, now));
    this->handle(this->documents.handle(envelope, this->membership.peers(), now));
    this->handle(this->vmLists.handle(envelope, this->membership.peers(), now));
    if (envelope.has_outcome_report())
        this->handlers.event(OutcomeReported { envelope.outcome_report() });
    else if (envelope.has_handover())
        this->handlers.event(PartitionsHandedOver {});
    else if (envelope.has_poison_notice())
        this->handlers.event(PoisonNoticeReceived { poisonNoticeFrom(envelope.poison_notice()) });
}

void PeerNetwork::tick(core::TimePoint now)
{
    this->handle(this->membership.tick(now));
    this->handle(this->documents.tick(now));
    this->handle(this->vmLists.tick(now));
    const std::lock_guard lock(this->forwardMutex);
    this->handleForward(this->forwardStreams.tick(now));
}

void PeerNetwork::publishDocument(std::uint64_t version, const std::string& text)
{
    this->membership.setDocumentVersion(version);
    {
        const std::lock_guard lock(this->forwardMutex);
        this->documentVersion = version;
    }
    this->handle(this->documents.publish(version, text, this->membership.peers()));
}

void PeerNetwork::publishVmList(std::uint64_t version, const std::string& list)
{
    this->membership.setVmListVersion(version);
    this->handle(this->vmLists.publish(version, list, this->membership.peers()));
}

bool PeerNetwork::pollsVmList() const
{
    const auto pollers = nodes::vmListPollers(this->zone, this->membership.activeMembers());
    return std::find(pollers.begin(), pollers.end(), this->node) != pollers.end();
}

void PeerNetwork::setLeaving()
{
    this->membership.setLeaving(true);
    this->updateMembers();
}

void PeerNetwork::leave(core::TimePoint now)
{
    this->handle(this->membership.leave(now));
}

void PeerNetwork::forward(CallId call, const std::string& target, const callers::IncomingRequest& request,
    callers::ResponseStreamPointer response, core::TimePoint now)
{
    nodes::wire::ForwardOpen open;
    open.set_method(request.method);
    open.set_target(request.target);
    open.set_body(request.body);
    for (const auto& header : toWire(request.headers))
        *open.add_headers() = header;
    const std::lock_guard lock(this->forwardMutex);
    if (!this->peerAddresses.contains(target)) {
        this->post([this, call] { this->handlers.event(ForwardFailed { call, false }); });
        return;
    }
    nodes::ForwardEffects effects;
    const auto key = this->forwardStreams.open(target, std::move(open), now, effects);
    this->forwardedCalls.emplace(key, ForwardedCall { call, std::move(response), false });
    this->handleForward(std::move(effects));
}

void PeerNetwork::send(const std::string& target, Envelope envelope)
{
    nodes::SendMessage message;
    message.node = target;
    message.envelope = std::move(envelope);
    this->deliver(std::move(message));
}

void PeerNetwork::broadcast(const Envelope& envelope)
{
    for (const auto& peer : this->membership.peers())
        this->send(peer, envelope);
}

const nodes::TransportCounts* PeerNetwork::transportCounts() const noexcept
{
    return this->transport ? &this->transport->counts() : nullptr;
}

void PeerNetwork::deliver(nodes::SendMessage message)
{
    if (this->transport && this->membership.fillEnvelope(message))
        this->transport->send(std::move(message));
}

void PeerNetwork::deliverForward(nodes::SendMessage message)
{
    const auto found = this->peerAddresses.find(message.node);
    if (found == this->peerAddresses.end() || !this->transport)
        return;
    message.address = found->second;
    message.envelope.set_sender(this->node);
    message.envelope.set_incarnation(this->incarnation);
    message.envelope.set_document_version(this->documentVersion);
    this->transport->send(std::move(message));
}

void PeerNetwork::handle(nodes::MembershipEffects effects)
{
    bool changed = false;
    for (auto& effect : effects) {
        std::visit(Overloaded {
                       [&](nodes::SendMessage& message) { this->deliver(std::move(message)); },
                       [&](nodes::MemberChanged& change) {
                           changed = true;
                           const bool dead
                               = change.after.state == nodes::wire::DEAD || change.after.state == nodes::wire::LEFT;
                           const bool replaced = change.before && change.before->address != change.after.address;
                           if (dead || replaced) {
                               core::logInfo("member_gone").with("member", change.after.node);
                               const std::lock_guard lock(this->forwardMutex);
                               this->handleForward(this->forwardStreams.handlePeerLost(change.after.node));
                           }
                       },
                       [&](nodes::MemberRemoved&) { changed = true; },
                       [&](nodes::ReconnectPeer& reconnect) {
                           if (this->transport)
                               this->transport->reconnect(reconnect.address);
                       },
                       [&](nodes::SelfRefuted& refuted) {
                           const std::lock_guard lock(this->forwardMutex);
                           this->incarnation = refuted.incarnation;
                       },
                       [&](auto&) {},
                   },
            effect);
    }
    if (changed)
        this->updateMembers();
}

void PeerNetwork::handle(nodes::DocumentEffects effects)
{
    for (auto& effect : effects) {
        std::visit(
            Overloaded {
                [&](nodes::SendMessage& message) { this->deliver(std::move(message)); },
                [&](nodes::DocumentAdopted& adopted) { this->handlers.documentAdopted(adopted.version, adopted.text); },
            },
            effect);
    }
}

void PeerNetwork::handle(nodes::VmListEffects effects)
{
    for (auto& effect : effects) {
        std::visit(Overloaded {
                       [&](nodes::SendMessage& message) { this->deliver(std::move(message)); },
                       [&](nodes::VmListAdopted& adopted) {
                           this->membership.setVmListVersion(adopted.version);
                           this->handlers.vmListAdopted(adopted.list);
                       },
                   },
            effect);
    }
}

void PeerNetwork::updateMembers()
{
    std::vector<Member> members;
    std::map<std::string, std::string> addressByNode;
    for (const auto& peer : this->membership.peers()) {
        const auto member = this->membership.find(peer);
        if (!member)
            continue;
        members.push_back({ member->node, member->callerAddress, member->zone, member->region, member->leaving });
        addressByNode[member->node] = member->address;
    }
    const auto& own = this->membership.localMember();
    members.push_back({ own.node, own.callerAddress, own.zone, own.region, own.leaving });
    std::sort(
        members.begin(), members.end(), [](const Member& left, const Member& right) { return left.node < right.node; });
    {
        const std::lock_guard lock(this->forwardMutex);
        this->peerAddresses = std::move(addressByNode);
    }
    if (members == this->livingMembers)
        return;
    this->livingMembers = members;
    this->handlers.membersChanged(std::move(members));
}

std::uint64_t PeerNetwork::documentVersionOf(const std::string& name) const
{
    const auto member = this->membership.find(name);
    return member ? member->documentVersion : 0;
}

void PeerNetwork::receiveForward(const Envelope& envelope, core::TimePoint now)
{
    const std::lock_guard lock(this->forwardMutex);
    this->handleForward(this->forwardStreams.handle(envelope, now));
}

void PeerNetwork::handleForward(nodes::ForwardEffects effects)
{
    for (auto& effect : effects) {
        std::visit(Overloaded {
                       [&](nodes::SendMessage& message) { this->deliverForward(std::move(message)); },
                       [&](nodes::ResponseHeadReceived& head) { this->onHead(head); },
                       [&](nodes::ResponseDataReceived& data) {
                           const auto found = this->forwardedCalls.find(data.key);
                           if (found == this->forwardedCalls.end() || !found->second.headRelayed)
                               return;
                           found->second.response->data(std::move(data.data));
                           if (found->second.response->isDisconnected()) {
                               this->forwardedCalls.erase(found);
                               this->handleForward(this->forwardStreams.cancel(data.key));
                           }
                       },
                       [&](nodes::ResponseEnded& ended) { this->onEnd(ended); },
                       [&](nodes::RequestReceived& arrived) { this->onRequest(arrived); },
                       [&](nodes::RequestCancelled& abandoned) {
                           const auto found = this->servedStreams.find(abandoned.key);
                           if (found == this->servedStreams.end())
                               return;
                           if (const auto response = found->second.lock())
                               response->markDisconnected();
                           this->servedStreams.erase(found);
                       },
                   },
            effect);
    }
}

void PeerNetwork::onHead(const nodes::ResponseHeadReceived& head)
{
    const auto found = this->forwardedCalls.find(head.key);
    if (found == this->forwardedCalls.end())
        return;
    const auto headers = headersFrom(head.headers);
    const auto call = found->second.call;
    const int code = resultCodeOf(headers);
    this->post([this, call, code] { this->handlers.event(ForwardAnswered { call, code }); });
    if (code == static_cast<int>(core::ResultCode::PartitionUnavailable)) {
        // This refusal is not relayed to the caller; the call is forwarded to another node.
        this->forwardedCalls.erase(found);
        this->handleForward(this->forwardStreams.cancel(head.key));
        return;
    }
    found->second.headRelayed = true;
    found->second.response->begin(static_cast<int>(head.status), headers);
}

void PeerNetwork::onEnd(const nodes::ResponseEnded& ended)
{
    const auto found = this->forwardedCalls.find(ended.key);
    if (found == this->forwardedCalls.end())
        return;
    if (found->second.headRelayed)
        found->second.response->end(ended.reason == nodes::StreamEndReason::Complete);
    else
        this->post([this, call = found->second.call] { this->handlers.event(ForwardFailed { call, true }); });
    this->forwardedCalls.erase(found);
}

void PeerNetwork::onRequest(const nodes::RequestReceived& arrived)
{
    callers::IncomingRequest request;
    request.method = arrived.request.method();
    request.target = arrived.request.target();
    request.body = arrived.request.body();
    for (const auto& header : arrived.request.headers())
        request.headers.push_back({ header.name(), header.value() });
    auto response = this->responseTo(arrived.key);
    this->servedStreams[arrived.key] = response;
    this->post([this, request = std::move(request), response = std::move(response)]() mutable {
        this->handlers.requestArrived(std::move(request), std::move(response));
    });
}

callers::ResponseStreamPointer PeerNetwork::responseTo(const nodes::StreamKey& key)
{
    callers::ResponseStream::Target target;
    const auto begin = [this, key](int status, const http::Headers& headers) {
        const std::lock_guard lock(this->forwardMutex);
        this->handleForward(this->forwardStreams.sendHead(
            key, static_cast<std::uint32_t>(status), toWire(headers), core::monotonicNow()));
    };
    const auto data = [this, key](std::string bytes) {
        const std::lock_guard lock(this->forwardMutex);
        this->handleForward(this->forwardStreams.sendData(key, std::move(bytes), core::monotonicNow()));
    };
    const auto end = [this, key](bool complete) {
        const std::lock_guard lock(this->forwardMutex);
        this->servedStreams.erase(key);
        this->handleForward(this->forwardStreams.sendEnd(key, complete));
    };
    target.begin = begin;
    target.data = data;
    target.end = end;
    target.respond = [begin, data, end](int status, const http::Headers& headers, std::string body) {
        begin(status, headers);
        data(std::move(body));
        end(true);
    };
    return std::make_shared<callers::ResponseStream>(std::move(target));
}

} // namespace lagoontiller::control
