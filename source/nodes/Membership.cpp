#include "nodes/Membership.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::nodes {

namespace {

bool isAliveOrSuspect(const Member& member)
{
    return member.state == wire::ALIVE || member.state == wire::SUSPECT;
}

} // namespace

Membership::Membership(Member self, MembershipSettings settings, RandomGenerator& generator, core::TimePoint now)
    : self(std::move(self))
    , settings(std::move(settings))
    , generator(&generator)
    , lastInputTime(now)
    , lastMessageTime(now)
    , nextProbeTime(now)
    , nextJoinTime(now)
    , joinStartTime(now)
    , nextSyncTime(now)
    , syncInterval(this->settings.minSyncInterval)
    , memberListBudgetTime(now)
    , memberListBudgetBytes(this->settings.memberListBurstBytes)
{
}

MembershipEffects Membership::tick(core::TimePoint now)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    this->detectPause(now, effects);
    this->tryJoin(now, effects);
    this->sendIndirectProbes(now, effects);
    if (now >= this->nextProbeTime) {
        this->finishProbe(now, effects);
        this->probeNext(now, effects);
        this->notifyContestedMembers(effects);
        this->notifySuspects(effects);
        this->retryUnreachable(effects);
        this->nextProbeTime = std::max(this->nextProbeTime + this->settings.probeInterval, now);
    }
    this->expireTimers(now, effects);
    return effects;
}

MembershipEffects Membership::handle(const wire::Envelope& envelope, core::TimePoint now)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    if (envelope.sender().empty() || envelope.sender() == this->self.node) {
        ++this->rejectedInputs;
        return effects;
    }
    this->detectPause(now, effects);
    this->lastMessageTime = now;
    const auto sender = this->members.find(envelope.sender());
    if (sender != this->members.end())
        sender->second.documentVersion = std::max(sender->second.documentVersion, envelope.document_version());
    const auto applyAll = [&](const auto& updates) {
        for (const auto& update : updates)
            this->applyUpdate(update, now, effects);
    };
    switch (envelope.body_case()) {
    case wire::Envelope::kProbe:
        applyAll(envelope.probe().updates());
        this->handleProbe(envelope, effects);
        break;
    case wire::Envelope::kProbeRequest:
        applyAll(envelope.probe_request().updates());
        this->handleProbeRequest(envelope, now, effects);
        break;
    case wire::Envelope::kAcknowledgement:
        applyAll(envelope.acknowledgement().updates());
        this->handleAcknowledgement(envelope, effects);
        break;
    case wire::Envelope::kJoin:
        this->handleJoin(envelope, now, effects);
        break;
    case wire::Envelope::kJoinReply:
        this->handleJoinReply(envelope, now, effects);
        break;
    default:
        break;
    }
    this->requestMissingMembers(envelope, now, effects);
    return effects;
}

bool Membership::detectPause(core::TimePoint now, MembershipEffects& effects)
{
    const auto pause = now - this->lastInputTime;
    this->lastInputTime = std::max(this->lastInputTime, now);
    if (pause <= this->settings.pauseThreshold)
        return false;
    // During the pause, other nodes may have declared this node dead, and its timers expired while it could not receive
    // messages: neither unanswered probes nor running suspicions may count as failures of other members.
    this->raiseIncarnationAbove(this->self.incarnation);
    this->pendingProbe.reset();
    this->relayedProbes.clear();
    for (auto& [node, deadline] : this->suspicionDeadlines)
        deadline = now + this->suspicionTimeout();
    this->joined = false;
    this->nextJoinTime = now;
    this->joinStartTime = now;
    this->nextProbeTime = now;
    this->lastMessageTime = std::min(this->lastMessageTime, now - this->settings.pauseThreshold);
    effects.emplace_back(ViewStale { std::chrono::duration_cast<core::Duration>(pause) });
    return true;
}

void Membership::applyUpdate(const wire::MemberUpdate& update, core::TimePoint now, MembershipEffects& effects)
{
    if (!isValid(update)) {
        ++this->rejectedInputs;
        return;
    }
    const auto record = fromWire(update);
    if (record.node == this->self.node) {
        this->applySelfUpdate(record, effects);
        return;
    }
    const auto found = this->members.find(record.node);
    if (found == this->members.end()) {
        // An unknown dead member has been removed here before; storing it again would keep it for another hour.
        if (isAliveOrSuspect(record) && this->members.size() < this->settings.maxMembers)
            this->storeRecord(record, now, effects);
        return;
    }
    if (found->second.state == wire::DEAD && record.state == wire::ALIVE && !supersedes(record, found->second))
        this->contestedMembers.insert(record.node);
    const auto merged = merge(found->second, record);
    if (supersedes(merged, found->second))
        this->storeRecord(merged, now, effects);
    else
        found->second.documentVersion = merged.documentVersion;
}

void Membership::applySelfUpdate(const Member& update, MembershipEffects& effects)
{
    const bool isOwnRecord = update.incarnation == this->self.incarnation && update.state == wire::ALIVE;
    if (update.incarnation < this->self.incarnation || isOwnRecord)
        return;
    this->raiseIncarnationAbove(update.incarnation);
    effects.emplace_back(SelfRefuted { this->self.incarnation });
}

void Membership::storeRecord(const Member& record, core::TimePoint now, MembershipEffects& effects)
{
    const auto found = this->members.find(record.node);
    MemberChanged change { std::nullopt, record };
    if (found != this->members.end())
        change.before = found->second;
    const bool wasAliveOrSuspect = change.before && isAliveOrSuspect(*change.before);
    this->members.insert_or_assign(record.node, record);
    this->updateQueue.push(record.node);
    if (isAliveOrSuspect(record) && !wasAliveOrSuspect)
        this->insertIntoProbeOrder(record.node);
    this->updateTimers(record, now);
    effects.emplace_back(std::move(change));
}

void Membership::updateTimers(const Member& record, core::TimePoint now)
{
    this->suspicionDeadlines.erase(record.node);
    this->removalTimes.erase(record.node);
    if (record.state == wire::SUSPECT)
        this->suspicionDeadlines.emplace(record.node, now + this->suspicionTimeout());
    if (isAliveOrSuspect(record)) {
        this->contestedMembers.erase(record.node);
        return;
    }
    this->removalTimes.emplace(record.node, now + this->settings.deadMemberRetention);
    const auto position = std::find(this->probeOrder.begin(), this->probeOrder.end(), record.node);
    if (position == this->probeOrder.end())
        return;
    if (static_cast<std::size_t>(position - this->probeOrder.begin()) < this->nextProbeIndex)
        --this->nextProbeIndex;
    this->probeOrder.erase(position);
}

void Membership::insertIntoProbeOrder(const std::string& node)
{
    this->probeOrder.push_back(node);
    const auto first = std::min(this->nextProbeIndex, this->probeOrder.size() - 1);
    std::swap(this->probeOrder.back(),
        this->probeOrder[first + randomIndex(*this->generator, this->probeOrder.size() - first)]);
}

void Membership::raiseIncarnationAbove(std::uint64_t incarnation)
{
    this->self.incarnation = incarnation + 1;
    this->updateQueue.push(this->self.node);
}

void Membership::setLeaving(bool leaving)
{
    if (this->self.leaving == leaving)
        return;
    this->self.leaving = leaving;
    this->raiseIncarnationAbove(this->self.incarnation);
}

MembershipEffects Membership::leave(core::TimePoint)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    this->left = true;
    this->self.state = wire::LEFT;
    for (const auto& node : this->randomPeers(this->settings.indirectProbeCount + 1, {})) {
        wire::Envelope envelope;
        this->piggybackUpdates(node, *envelope.mutable_acknowledgement()->mutable_updates());
        this->send(node, std::move(envelope), effects);
    }
    return effects;
}

void Membership::expireTimers(core::TimePoint now, MembershipEffects& effects)
{
    std::vector<std::string> expired;
    for (const auto& [node, deadline] : this->suspicionDeadlines) {
        if (this->joined && deadline <= now)
            expired.push_back(node);
    }
    for (const auto& node : expired) {
        Member record = this->members.at(node);
        record.state = wire::DEAD;
        this->storeRecord(record, now, effects);
    }
    expired.clear();
    for (const auto& [node, deadline] : this->removalTimes) {
        if (deadline <= now)
            expired.push_back(node);
    }
    for (const auto& node : expired) {
        this->removalTimes.erase(node);
        this->contestedMembers.erase(node);
        this->updateQueue.erase(node);
        this->members.erase(node);
        effects.emplace_back(MemberRemoved { node });
    }
    std::erase_if(this->relayedProbes, [&](const auto& entry) { return entry.second.deadline <= now; });
}

core::Duration Membership::suspicionTimeout() const
{
    const auto decades = std::log10(static_cast<double>(this->probeOrder.size()) + 1);
    const auto extra = decades * static_cast<double>(this->settings.suspicionTimeoutPerDecade.count());
    return this->settings.baseSuspicionTimeout + core::Duration(static_cast<core::Duration::rep>(extra));
}

bool Membership::fillEnvelope(SendMessage& message) const
{
    message.envelope.set_sender(this->self.node);
    message.envelope.set_incarnation(this->self.incarnation);
    message.envelope.set_document_version(this->self.documentVersion);
    message.envelope.set_vm_list_version(this->vmListVersion);
    message.envelope.set_known_members(static_cast<std::uint32_t>(this->members.size() + 1));
    if (message.node.empty())
        return !message.address.empty();
    const auto found = this->members.find(message.node);
    if (found == this->members.end())
        return !message.address.empty();
    message.address = found->second.address;
    return true;
}

std::vector<Member> Membership::activeMembers() const
{
    std::vector<Member> result;
    result.reserve(this->probeOrder.size() + 1);
    const auto append = [&](const Member& member) {
        if (isAliveOrSuspect(member) && !member.leaving)
            result.push_back(member);
    };
    auto next = this->members.begin();
    for (; next != this->members.end() && next->first < this->self.node; ++next)
        append(next->second);
    append(this->self);
    for (; next != this->members.end(); ++next)
        append(next->second);
    return result;
}

std::size_t Membership::reachableCount(core::TimePoint now) const
{
    if (now - this->lastMessageTime >= this->settings.pauseThreshold)
        return 0;
    return this->probeOrder.size() - this->suspicionDeadlines.size();
}

bool Membership::isLive(const std::string& node) const
{
    if (node == this->self.node)
        return !this->left;
    const auto found = this->members.find(node);
    return found != this->members.end() && isAliveOrSuspect(found->second);
}

std::optional<Member> Membership::find(const std::string& node) const
{
    if (node == this->self.node)
        return this->self;
    const auto found = this->members.find(node);
    return found == this->members.end() ? std::nullopt : std::optional(found->second);
}

} // namespace lagoontiller::nodes
