#include "nodes/Membership.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Notification probes that this node sends per probe interval to contested members, and as many again to suspects.
constexpr std::size_t maxNotificationsPerInterval = 4;

/// Notification probes per probe interval that all nodes together send to each suspect.
constexpr double notificationsPerSuspect = 10;

/// Probes that this node relays for other nodes at the same time; prevents memory exhaustion.
constexpr std::size_t maxRelayedProbes = 256;

} // namespace

void Membership::probeNext(core::TimePoint now, MembershipEffects& effects)
{
    if (this->probeOrder.empty())
        return;
    if (this->nextProbeIndex >= this->probeOrder.size()) {
        this->nextProbeIndex = 0;
        keepRandomSample(*this->generator, this->probeOrder, this->probeOrder.size());
    }
    const std::string target = this->probeOrder[this->nextProbeIndex++];
    const auto sequence = this->nextSequence++;
    this->pendingProbe = PendingProbe { target, sequence, now + this->settings.probeTimeout, false };
    wire::Envelope envelope;
    envelope.mutable_probe()->set_sequence(sequence);
    this->piggybackUpdates(target, *envelope.mutable_probe()->mutable_updates());
    this->send(target, std::move(envelope), effects);
}

void Membership::finishProbe(core::TimePoint now, MembershipEffects& effects)
{
    if (!this->pendingProbe)
        return;
    const auto found = this->members.find(this->pendingProbe->target);
    // A probe is inconclusive if its relays had no time to answer; ticks may be late under load.
    const bool isConclusive = this->joined && this->pendingProbe->indirectProbesSent;
    if (isConclusive && found != this->members.end() && found->second.state == wire::ALIVE) {
        Member record = found->second;
        record.state = wire::SUSPECT;
        this->storeRecord(record, now, effects);
        this->sendNotificationProbe(record.node, effects);
    }
    this->pendingProbe.reset();
}

void Membership::sendIndirectProbes(core::TimePoint now, MembershipEffects& effects)
{
    if (!this->pendingProbe || this->pendingProbe->indirectProbesSent || now < this->pendingProbe->indirectProbeTime)
        return;
    this->pendingProbe->indirectProbesSent = true;
    // The relays get the full rest of the interval even if this tick was late.
    this->nextProbeTime
        = std::max(this->nextProbeTime, now + this->settings.probeInterval - this->settings.probeTimeout);
    for (const auto& relay : this->randomPeers(this->settings.indirectProbeCount, this->pendingProbe->target)) {
        wire::Envelope envelope;
        auto& request = *envelope.mutable_probe_request();
        request.set_sequence(this->pendingProbe->sequence);
        request.set_target(this->pendingProbe->target);
        // While many nodes start, the relay may not know the target yet.
        const auto target = this->members.find(this->pendingProbe->target);
        if (target != this->members.end())
            toWire(target->second, *request.add_updates());
        this->piggybackUpdates(relay, *request.mutable_updates());
        this->send(relay, std::move(envelope), effects);
    }
}

void Membership::sendNotificationProbe(const std::string& node, MembershipEffects& effects)
{
    wire::Envelope envelope;
    envelope.mutable_probe()->set_sequence(this->nextSequence++);
    this->piggybackUpdates(node, *envelope.mutable_probe()->mutable_updates());
    this->send(node, std::move(envelope), effects);
}

void Membership::notifyContestedMembers(MembershipEffects& effects)
{
    for (std::size_t sent = 0; sent < maxNotificationsPerInterval && !this->contestedMembers.empty(); ++sent) {
        auto next = this->contestedMembers.begin();
        std::advance(next, randomIndex(*this->generator, this->contestedMembers.size()));
        const std::string node = *next;
        this->contestedMembers.erase(next);
        this->sendNotificationProbe(node, effects);
    }
}

void Membership::notifySuspects(MembershipEffects& effects)
{
    // Piggybacked updates alone may reach a suspect too late for it to refute the suspicion: with 200 nodes and 2%
    // message loss, a live member was declared dead within 5 minutes.
    const auto probability = notificationsPerSuspect / static_cast<double>(this->probeOrder.size() + 1);
    std::vector<std::string> chosen;
    for (const auto& [node, deadline] : this->suspicionDeadlines) {
        if (chosen.size() < maxNotificationsPerInterval && drawBernoulli(*this->generator, probability))
            chosen.push_back(node);
    }
    for (const auto& node : chosen)
        this->sendNotificationProbe(node, effects);
}

void Membership::handleProbe(const wire::Envelope& envelope, MembershipEffects& effects)
{
    wire::Envelope reply;
    auto& acknowledgement = *reply.mutable_acknowledgement();
    acknowledgement.set_sequence(envelope.probe().sequence());
    acknowledgement.set_target(this->self.node);
    this->piggybackUpdates(envelope.sender(), *acknowledgement.mutable_updates());
    this->send(envelope.sender(), std::move(reply), effects);
}

void Membership::handleProbeRequest(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto& request = envelope.probe_request();
    if (request.target() == this->self.node || !this->members.contains(request.target())
        || this->relayedProbes.size() >= maxRelayedProbes) {
        ++this->rejectedInputs;
        return;
    }
    const auto sequence = this->nextSequence++;
    this->relayedProbes.emplace(sequence,
        RelayedProbe { envelope.sender(), request.sequence(), request.target(), now + this->settings.probeInterval });
    wire::Envelope probe;
    probe.mutable_probe()->set_sequence(sequence);
    this->piggybackUpdates(request.target(), *probe.mutable_probe()->mutable_updates());
    this->send(request.target(), std::move(probe), effects);
}

void Membership::handleAcknowledgement(const wire::Envelope& envelope, MembershipEffects& effects)
{
    const auto& received = envelope.acknowledgement();
    if (this->pendingProbe && this->pendingProbe->sequence == received.sequence()
        && this->pendingProbe->target == received.target()) {
        if (envelope.sender() != received.target())
            this->requestReconnect(received.target(), effects);
        this->pendingProbe.reset();
        return;
    }
    const auto found = this->relayedProbes.find(received.sequence());
    if (found == this->relayedProbes.end() || found->second.target != envelope.sender())
        return;
    wire::Envelope reply;
    auto& acknowledgement = *reply.mutable_acknowledgement();
    acknowledgement.set_sequence(found->second.originSequence);
    acknowledgement.set_target(found->second.target);
    const std::string origin = found->second.origin;
    this->relayedProbes.erase(found);
    this->piggybackUpdates(origin, *acknowledgement.mutable_updates());
    this->send(origin, std::move(reply), effects);
}

void Membership::requestReconnect(const std::string& node, MembershipEffects& effects) const
{
    const auto found = this->members.find(node);
    if (found != this->members.end())
        effects.emplace_back(ReconnectPeer { node, found->second.address });
}

void Membership::send(const std::string& node, wire::Envelope envelope, MembershipEffects& effects) const
{
    SendMessage message { node, {}, std::move(envelope) };
    if (this->fillEnvelope(message))
        effects.emplace_back(std::move(message));
}

void Membership::piggybackUpdates(
    const std::string& receiver, google::protobuf::RepeatedPtrField<wire::MemberUpdate>& updates)
{
    toWire(this->self, *updates.Add());
    // A receiver that is recorded as suspect or dead gets that record before any others, so that it can refute it.
    const auto found = this->members.find(receiver);
    if (found != this->members.end() && found->second.state != wire::ALIVE)
        toWire(found->second, *updates.Add());
    const auto limit = retransmissionLimit(this->probeOrder.size() + 1);
    const auto queued = this->updateQueue.take(this->settings.maxPiggybackedUpdates, limit);
    for (const auto& node : queued) {
        const auto member = this->members.find(node);
        if (node != receiver && member != this->members.end())
            toWire(member->second, *updates.Add());
    }
    if (queued.size() + this->settings.randomUpdateCount > this->settings.maxPiggybackedUpdates)
        return;
    for (const auto& node : this->randomPeers(this->settings.randomUpdateCount, receiver))
        toWire(this->members.at(node), *updates.Add());
}

std::vector<std::string> Membership::randomPeers(std::size_t count, const std::string& except)
{
    std::vector<std::string> result;
    // With few members, random draws repeat; twice as many draws usually yield enough distinct members.
    for (std::size_t draw = 0; draw < 2 * count + 2 && result.size() < count && !this->probeOrder.empty(); ++draw) {
        const auto& node = this->probeOrder[randomIndex(*this->generator, this->probeOrder.size())];
        if (node != except && std::find(result.begin(), result.end(), node) == result.end())
            result.push_back(node);
    }
    return result;
}

} // namespace lagoontiller::nodes
