#include "control/NodeLink.h"

#include "control/Overloaded.h"
#include "core/Log.h"

#include <charconv>

namespace lagoontiller::control {

namespace {

using nodes::wire::Envelope;

// Stream ids of two runs of one node never meet: each run starts at its own incarnation.
constexpr unsigned incarnationShift = 20;
// Bounds an age that a faulty peer claims.
constexpr std::uint64_t oldestNoticeMs = 3'600'000;

nodes::Member ownRecord(const settings::Settings& settings)
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

policy::PoisonNotice noticeFrom(const nodes::wire::PoisonNotice& wire)
{
    policy::PoisonNotice notice;
    notice.endpoint = wire.endpoint();
    notice.digests.assign(wire.digests().begin(), wire.digests().end());
    notice.age = std::chrono::milliseconds(std::min<std::uint64_t>(wire.age_ms(), oldestNoticeMs));
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

NodeLink::NodeLink(const settings::Settings& settings, Post post, Handlers handlers, core::TimePoint now)
    : post(std::move(post))
    , handlers(std::move(handlers))
    , generator(std::random_device {}())
    , membership(ownRecord(settings), membershipSettings(settings), this->generator, now)
    , documents({}, this->generator)
    , vmLists({}, this->generator)
    , zone(settings.zone)
    , node(settings.nodeName)
    , streams(this->membership.localMember().incarnation << incarnationShift, {})
    , incarnation(this->membership.localMember().incarnation)
{
    this->transportSettings.address = settings.nodeAddress.text();
    this->transportSettings.publicKey = settings.deploymentPublicKey;
    this->transportSettings.secretKey = settings.deploymentSecretKey;
}

NodeLink::~NodeLink()
{
    this->stop();
}

core::Expected<void> NodeLink::start()
{
    auto started = nodes::Transport::start(this->transportSettings,
        [this](const std::string& sender, Envelope envelope) { this->receive(sender, std::move(envelope)); });
    if (!started)
        return tl::unexpected(started.error());
    this->transport = std::move(*started);
    this->updateLiving();
    return {};
}

void NodeLink::stop()
{
    this->transport.reset();
}

void NodeLink::receive(const std::string& sender, Envelope envelope)
{
    static_cast<void>(sender);
    if (isForward(envelope))
        this->receiveForward(envelope, core::monotonicNow());
    else
        this->post([this, envelope = std::move(envelope)] { this->receiveOnControl(envelope, core::monotonicNow()); });
}

void NodeLink::receiveOnControl(const Envelope& envelope, core::TimePoint now)
{
    this->handle(this->membership.handle(envelope, now));
    this->handle(this->documents.handle(envelope, this->membership.peers(), now));
    this->handle(this->vmLists.handle(envelope, this->membership.peers(), now));
    if (envelope.has_outcome_report())
        this->handlers.event(OutcomeReported { envelope.outcome_report() });
    else if (envelope.has_handover())
        this->handlers.event(PartitionsHandedOver {});
    else if (envelope.has_poison_notice())
        this->handlers.event(PoisonNoticed { noticeFrom(envelope.poison_notice()) });
}

void NodeLink::tick(core::TimePoint now)
{
    this->handle(this->membership.tick(now));
    this->handle(this->documents.tick(now));
    this->handle(this->vmLists.tick(now));
    const std::lock_guard lock(this->forwardMutex);
    this->handleForward(this->streams.tick(now));
}

void NodeLink::publishDocument(std::uint64_t version, const std::string& text)
{
    this->membership.setDocumentVersion(version);
    {
        const std::lock_guard lock(this->forwardMutex);
        this->documentVersion = version;
    }
    this->handle(this->documents.publish(version, text, this->membership.peers()));
}

void NodeLink::publishVmList(std::uint64_t version, const std::string& list)
{
    this->membership.setVmListVersion(version);
    this->handle(this->vmLists.publish(version, list, this->membership.peers()));
}

bool NodeLink::pollsVmList() const
{
    const auto pollers = nodes::vmListPollers(this->zone, this->membership.activeMembers());
    return std::find(pollers.begin(), pollers.end(), this->node) != pollers.end();
}

void NodeLink::setLeaving()
{
    this->membership.setLeaving(true);
    this->updateLiving();
}

void NodeLink::leave(core::TimePoint now)
{
    this->handle(this->membership.leave(now));
}

void NodeLink::forward(CallId call, const std::string& target, const callers::IncomingRequest& request,
    callers::ResponseStreamPointer response, core::TimePoint now)
{
    nodes::wire::ForwardOpen open;
    open.set_method(request.method);
    open.set_target(request.target);
    open.set_body(request.body);
    for (const auto& header : toWire(request.headers))
        *open.add_headers() = header;
    const std::lock_guard lock(this->forwardMutex);
    if (!this->addresses.contains(target)) {
        this->post([this, call] { this->handlers.event(ForwardFailed { call, false }); });
        return;
    }
    nodes::ForwardEffects effects;
    const auto key = this->streams.open(target, std::move(open), now, effects);
    this->forwarded.emplace(key, Forwarded { call, std::move(response), false });
    this->handleForward(std::move(effects));
}

void NodeLink::send(const std::string& target, Envelope envelope)
{
    nodes::SendMessage message;
    message.node = target;
    message.envelope = std::move(envelope);
    this->deliver(std::move(message));
}

void NodeLink::broadcast(const Envelope& envelope)
{
    for (const auto& peer : this->membership.peers())
        this->send(peer, envelope);
}

const nodes::TransportCounts* NodeLink::counts() const noexcept
{
    return this->transport ? &this->transport->counts() : nullptr;
}

void NodeLink::deliver(nodes::SendMessage message)
{
    if (this->transport && this->membership.fillEnvelope(message))
        this->transport->send(std::move(message));
}

void NodeLink::deliverForward(nodes::SendMessage message)
{
    const auto found = this->addresses.find(message.node);
    if (found == this->addresses.end() || !this->transport)
        return;
    message.address = found->second;
    message.envelope.set_sender(this->node);
    message.envelope.set_incarnation(this->incarnation);
    message.envelope.set_document_version(this->documentVersion);
    this->transport->send(std::move(message));
}

void NodeLink::handle(nodes::MembershipEffects effects)
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
                               this->handleForward(this->streams.handlePeerLost(change.after.node));
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
        this->updateLiving();
}

void NodeLink::handle(nodes::DocumentEffects effects)
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

void NodeLink::handle(nodes::VmListEffects effects)
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

void NodeLink::updateLiving()
{
    std::vector<Member> members;
    std::map<std::string, std::string> book;
    for (const auto& peer : this->membership.peers()) {
        const auto member = this->membership.find(peer);
        if (!member)
            continue;
        members.push_back({ member->node, member->callerAddress, member->zone, member->region, member->leaving });
        book[member->node] = member->address;
    }
    const auto& own = this->membership.localMember();
    members.push_back({ own.node, own.callerAddress, own.zone, own.region, own.leaving });
    std::sort(
        members.begin(), members.end(), [](const Member& left, const Member& right) { return left.node < right.node; });
    {
        const std::lock_guard lock(this->forwardMutex);
        this->addresses = std::move(book);
    }
    if (members == this->living)
        return;
    this->living = members;
    this->handlers.membersChanged(std::move(members));
}

std::uint64_t NodeLink::documentVersionOf(const std::string& name) const
{
    const auto member = this->membership.find(name);
    return member ? member->documentVersion : 0;
}

void NodeLink::receiveForward(const Envelope& envelope, core::TimePoint now)
{
    const std::lock_guard lock(this->forwardMutex);
    this->handleForward(this->streams.handle(envelope, now));
}

void NodeLink::handleForward(nodes::ForwardEffects effects)
{
    for (auto& effect : effects) {
        std::visit(Overloaded {
                       [&](nodes::SendMessage& message) { this->deliverForward(std::move(message)); },
                       [&](nodes::ResponseHeadReceived& head) { this->onHead(head); },
                       [&](nodes::ResponseDataReceived& data) {
                           const auto found = this->forwarded.find(data.key);
                           if (found == this->forwarded.end() || !found->second.headPassed)
                               return;
                           found->second.response->data(std::move(data.data));
                           if (found->second.response->gone()) {
                               this->forwarded.erase(found);
                               this->handleForward(this->streams.cancel(data.key));
                           }
                       },
                       [&](nodes::ResponseEnded& ended) { this->onEnd(ended); },
                       [&](nodes::RequestReceived& arrived) { this->onRequest(arrived); },
                       [&](nodes::RequestCancelled& abandoned) {
                           const auto found = this->served.find(abandoned.key);
                           if (found == this->served.end())
                               return;
                           if (const auto response = found->second.lock())
                               response->markGone();
                           this->served.erase(found);
                       },
                   },
            effect);
    }
}

void NodeLink::onHead(const nodes::ResponseHeadReceived& head)
{
    const auto found = this->forwarded.find(head.key);
    if (found == this->forwarded.end())
        return;
    const auto headers = headersFrom(head.headers);
    const auto call = found->second.call;
    const int code = resultCodeOf(headers);
    this->post([this, call, code] { this->handlers.event(ForwardAnswered { call, code }); });
    if (code == static_cast<int>(core::ResultCode::PartitionUnavailable)) {
        // The refusal is not passed on: the call goes to another node.
        this->forwarded.erase(found);
        this->handleForward(this->streams.cancel(head.key));
        return;
    }
    found->second.headPassed = true;
    found->second.response->begin(static_cast<int>(head.status), headers);
}

void NodeLink::onEnd(const nodes::ResponseEnded& ended)
{
    const auto found = this->forwarded.find(ended.key);
    if (found == this->forwarded.end())
        return;
    if (found->second.headPassed)
        found->second.response->end(ended.reason == nodes::StreamEndReason::Complete);
    else
        this->post([this, call = found->second.call] { this->handlers.event(ForwardFailed { call, true }); });
    this->forwarded.erase(found);
}

void NodeLink::onRequest(const nodes::RequestReceived& arrived)
{
    callers::IncomingRequest request;
    request.method = arrived.request.method();
    request.target = arrived.request.target();
    request.body = arrived.request.body();
    for (const auto& header : arrived.request.headers())
        request.headers.push_back({ header.name(), header.value() });
    auto response = this->responseTo(arrived.key);
    this->served[arrived.key] = response;
    this->post([this, request = std::move(request), response = std::move(response)]() mutable {
        this->handlers.requestArrived(std::move(request), std::move(response));
    });
}

callers::ResponseStreamPointer NodeLink::responseTo(const nodes::StreamKey& key)
{
    callers::ResponseStream::Target target;
    const auto begin = [this, key](int status, const http::Headers& headers) {
        const std::lock_guard lock(this->forwardMutex);
        this->handleForward(
            this->streams.sendHead(key, static_cast<std::uint32_t>(status), toWire(headers), core::monotonicNow()));
    };
    const auto data = [this, key](std::string bytes) {
        const std::lock_guard lock(this->forwardMutex);
        this->handleForward(this->streams.sendData(key, std::move(bytes), core::monotonicNow()));
    };
    const auto end = [this, key](bool complete) {
        const std::lock_guard lock(this->forwardMutex);
        this->served.erase(key);
        this->handleForward(this->streams.sendEnd(key, complete));
    };
    target.begin = begin;
    target.data = data;
    target.end = end;
    target.whole = [begin, data, end](int status, const http::Headers& headers, std::string body) {
        begin(status, headers);
        data(std::move(body));
        end(true);
    };
    return std::make_shared<callers::ResponseStream>(std::move(target));
}

} // namespace lagoontiller::control
