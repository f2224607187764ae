#include "nodes/Membership.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Notices per probe interval to members held for dead that are reported as alive.
constexpr std::size_t contestedPerInterval = 4;

/// Notices per probe interval that all nodes together send to each suspect.
constexpr double noticesPerSuspect = 10;

/// Probes that this node runs for others at the same time, against memory exhaustion.
constexpr std::size_t maxRelayed = 256;

} // namespace

void Membership::probeNext(core::TimePoint now, MembershipEffects& effects)
{
    if (this->order.empty())
        return;
    if (this->nextInOrder >= this->order.size()) {
        this->nextInOrder = 0;
        keepRandom(*this->generator, this->order, this->order.size());
    }
    const std::string target = this->order[this->nextInOrder++];
    const auto sequence = this->nextSequence++;
    this->pending = PendingProbe { target, sequence, now + this->settings.probeTimeout, false };
    wire::Envelope envelope;
    envelope.mutable_probe()->set_sequence(sequence);
    this->attachUpdates(target, *envelope.mutable_probe()->mutable_updates());
    this->send(target, std::move(envelope), effects);
}

void Membership::concludeProbe(core::TimePoint now, MembershipEffects& effects)
{
    if (!this->pending)
        return;
    const auto found = this->members.find(this->pending->target);
    // A probe whose helpers had no time to answer proves nothing; ticks may come late under load.
    const bool conclusive = this->joined && this->pending->indirectSent;
    if (conclusive && found != this->members.end() && found->second.state == wire::ALIVE) {
        Member record = found->second;
        record.state = wire::SUSPECT;
        this->store(record, now, effects);
        this->sendNotice(record.node, effects);
    }
    this->pending.reset();
}

void Membership::probeIndirectly(core::TimePoint now, MembershipEffects& effects)
{
    if (!this->pending || this->pending->indirectSent || now < this->pending->indirectAt)
        return;
    this->pending->indirectSent = true;
    // The helpers get the rest of the interval even when this tick was late.
    this->nextProbe = std::max(this->nextProbe, now + this->settings.probeInterval - this->settings.probeTimeout);
    for (const auto& helper : this->randomPeers(this->settings.indirectProbes, this->pending->target)) {
        wire::Envelope envelope;
        auto& request = *envelope.mutable_probe_request();
        request.set_sequence(this->pending->sequence);
        request.set_target(this->pending->target);
        // While many nodes start, the helper may not know the target yet.
        const auto target = this->members.find(this->pending->target);
        if (target != this->members.end())
            toWire(target->second, *request.add_updates());
        this->attachUpdates(helper, *request.mutable_updates());
        this->send(helper, std::move(envelope), effects);
    }
}

void Membership::sendNotice(const std::string& node, MembershipEffects& effects)
{
    wire::Envelope envelope;
    envelope.mutable_probe()->set_sequence(this->nextSequence++);
    this->attachUpdates(node, *envelope.mutable_probe()->mutable_updates());
    this->send(node, std::move(envelope), effects);
}

void Membership::probeContested(MembershipEffects& effects)
{
    for (std::size_t sent = 0; sent < contestedPerInterval && !this->contested.empty(); ++sent) {
        auto next = this->contested.begin();
        std::advance(next, pickIndex(*this->generator, this->contested.size()));
        const std::string node = *next;
        this->contested.erase(next);
        this->sendNotice(node, effects);
    }
}

void Membership::notifySuspects(MembershipEffects& effects)
{
    // Piggybacking alone may reach the suspect too late for its refutation: at 2% loss, 200 nodes and 5 minutes it
    // ended in a false death.
    const auto chance = noticesPerSuspect / static_cast<double>(this->order.size() + 1);
    std::vector<std::string> chosen;
    for (const auto& [node, end] : this->suspicionEnds) {
        if (chosen.size() < contestedPerInterval && isDrawn(*this->generator, chance))
            chosen.push_back(node);
    }
    for (const auto& node : chosen)
        this->sendNotice(node, effects);
}

void Membership::handleProbe(const wire::Envelope& envelope, MembershipEffects& effects)
{
    wire::Envelope reply;
    auto& acknowledgement = *reply.mutable_acknowledgement();
    acknowledgement.set_sequence(envelope.probe().sequence());
    acknowledgement.set_target(this->self.node);
    this->attachUpdates(envelope.sender(), *acknowledgement.mutable_updates());
    this->send(envelope.sender(), std::move(reply), effects);
}

void Membership::handleProbeRequest(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto& request = envelope.probe_request();
    if (request.target() == this->self.node || !this->members.contains(request.target())
        || this->relayed.size() >= maxRelayed) {
        ++this->rejected;
        return;
    }
    const auto sequence = this->nextSequence++;
    this->relayed.emplace(sequence,
        RelayedProbe { envelope.sender(), request.sequence(), request.target(), now + this->settings.probeInterval });
    wire::Envelope probe;
    probe.mutable_probe()->set_sequence(sequence);
    this->attachUpdates(request.target(), *probe.mutable_probe()->mutable_updates());
    this->send(request.target(), std::move(probe), effects);
}

void Membership::handleAcknowledgement(const wire::Envelope& envelope, MembershipEffects& effects)
{
    const auto& received = envelope.acknowledgement();
    if (this->pending && this->pending->sequence == received.sequence() && this->pending->target == received.target()) {
        if (envelope.sender() != received.target())
            this->reportSilentLink(received.target(), effects);
        this->pending.reset();
        return;
    }
    const auto found = this->relayed.find(received.sequence());
    if (found == this->relayed.end() || found->second.target != envelope.sender())
        return;
    wire::Envelope reply;
    auto& acknowledgement = *reply.mutable_acknowledgement();
    acknowledgement.set_sequence(found->second.originSequence);
    acknowledgement.set_target(found->second.target);
    const std::string origin = found->second.origin;
    this->relayed.erase(found);
    this->attachUpdates(origin, *acknowledgement.mutable_updates());
    this->send(origin, std::move(reply), effects);
}

void Membership::reportSilentLink(const std::string& node, MembershipEffects& effects) const
{
    const auto found = this->members.find(node);
    if (found != this->members.end())
        effects.emplace_back(ReconnectPeer { node, found->second.address });
}

void Membership::send(const std::string& node, wire::Envelope envelope, MembershipEffects& effects) const
{
    SendMessage message { node, {}, std::move(envelope) };
    if (this->complete(message))
        effects.emplace_back(std::move(message));
}

void Membership::attachUpdates(
    const std::string& receiver, google::protobuf::RepeatedPtrField<wire::MemberUpdate>& updates)
{
    toWire(this->self, *updates.Add());
    // A receiver that is held for suspect or dead must learn it first, so that it can refute it.
    const auto found = this->members.find(receiver);
    if (found != this->members.end() && found->second.state != wire::ALIVE)
        toWire(found->second, *updates.Add());
    const auto limit = retransmissionLimit(this->order.size() + 1);
    const auto queued = this->queue.take(this->settings.piggybacked, limit);
    for (const auto& node : queued) {
        const auto member = this->members.find(node);
        if (node != receiver && member != this->members.end())
            toWire(member->second, *updates.Add());
    }
    if (queued.size() + this->settings.refreshed > this->settings.piggybacked)
        return;
    for (const auto& node : this->randomPeers(this->settings.refreshed, receiver))
        toWire(this->members.at(node), *updates.Add());
}

std::vector<std::string> Membership::randomPeers(std::size_t count, const std::string& except)
{
    std::vector<std::string> result;
    // With few members random draws repeat themselves; twice the draws find enough distinct ones in most cases.
    for (std::size_t draw = 0; draw < 2 * count + 2 && result.size() < count && !this->order.empty(); ++draw) {
        const auto& node = this->order[pickIndex(*this->generator, this->order.size())];
        if (node != except && std::find(result.begin(), result.end(), node) == result.end())
            result.push_back(node);
    }
    return result;
}

} // namespace lagoontiller::nodes
