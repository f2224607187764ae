#include "nodes/Membership.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::nodes {

namespace {

bool isLivingRecord(const Member& member)
{
    return member.state == wire::ALIVE || member.state == wire::SUSPECT;
}

} // namespace

Membership::Membership(Member self, MembershipSettings settings, Generator& generator, core::TimePoint now)
    : self(std::move(self))
    , settings(std::move(settings))
    , generator(&generator)
    , lastInput(now)
    , lastHeard(now)
    , nextProbe(now)
    , nextJoin(now)
    , joinStarted(now)
    , nextSync(now)
    , syncDelay(this->settings.syncInterval)
    , listBudgetAt(now)
    , listBudget(this->settings.listBytesBurst)
{
}

MembershipEffects Membership::tick(core::TimePoint now)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    this->observeTime(now, effects);
    this->join(now, effects);
    this->probeIndirectly(now, effects);
    if (now >= this->nextProbe) {
        this->concludeProbe(now, effects);
        this->probeNext(now, effects);
        this->probeContested(effects);
        this->notifySuspects(effects);
        this->retryMissing(effects);
        this->nextProbe = std::max(this->nextProbe + this->settings.probeInterval, now);
    }
    this->expire(now, effects);
    return effects;
}

MembershipEffects Membership::handle(const wire::Envelope& envelope, core::TimePoint now)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    if (envelope.sender().empty() || envelope.sender() == this->self.node) {
        ++this->rejected;
        return effects;
    }
    this->observeTime(now, effects);
    this->lastHeard = now;
    const auto sender = this->members.find(envelope.sender());
    if (sender != this->members.end())
        sender->second.documentVersion = std::max(sender->second.documentVersion, envelope.document_version());
    const auto applyAll = [&](const auto& updates) {
        for (const auto& update : updates)
            this->apply(update, now, effects);
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
    this->requestMissing(envelope, now, effects);
    return effects;
}

bool Membership::observeTime(core::TimePoint now, MembershipEffects& effects)
{
    const auto gap = now - this->lastInput;
    this->lastInput = std::max(this->lastInput, now);
    if (gap <= this->settings.resumeGap)
        return false;
    // The others may hold this node for dead, and its own timers ran out without a chance to hear from anyone: neither
    // unanswered probes nor suspicions may be concluded from them.
    this->raiseIncarnation(this->self.incarnation);
    this->pending.reset();
    this->relayed.clear();
    for (auto& [node, end] : this->suspicionEnds)
        end = now + this->suspicionTime();
    this->joined = false;
    this->nextJoin = now;
    this->joinStarted = now;
    this->nextProbe = now;
    this->lastHeard = std::min(this->lastHeard, now - this->settings.resumeGap);
    effects.emplace_back(ViewStale { std::chrono::duration_cast<core::Duration>(gap) });
    return true;
}

void Membership::apply(const wire::MemberUpdate& update, core::TimePoint now, MembershipEffects& effects)
{
    if (!isValid(update)) {
        ++this->rejected;
        return;
    }
    const auto record = fromWire(update);
    if (record.node == this->self.node) {
        this->applyToSelf(record, effects);
        return;
    }
    const auto found = this->members.find(record.node);
    if (found == this->members.end()) {
        // A dead member that is unknown was forgotten here; storing it again would keep it for another hour.
        if (isLivingRecord(record) && this->members.size() < this->settings.maxMembers)
            this->store(record, now, effects);
        return;
    }
    if (found->second.state == wire::DEAD && record.state == wire::ALIVE && !supersedes(record, found->second))
        this->contested.insert(record.node);
    const auto merged = merge(found->second, record);
    if (supersedes(merged, found->second))
        this->store(merged, now, effects);
    else
        found->second.documentVersion = merged.documentVersion;
}

void Membership::applyToSelf(const Member& update, MembershipEffects& effects)
{
    const bool isOwnRecord = update.incarnation == this->self.incarnation && update.state == wire::ALIVE;
    if (update.incarnation < this->self.incarnation || isOwnRecord)
        return;
    this->raiseIncarnation(update.incarnation);
    effects.emplace_back(SelfRefuted { this->self.incarnation });
}

void Membership::store(const Member& record, core::TimePoint now, MembershipEffects& effects)
{
    const auto found = this->members.find(record.node);
    MemberChanged change { std::nullopt, record };
    if (found != this->members.end())
        change.before = found->second;
    const bool wasLiving = change.before && isLivingRecord(*change.before);
    this->members.insert_or_assign(record.node, record);
    this->queue.push(record.node);
    if (isLivingRecord(record) && !wasLiving)
        this->insertIntoOrder(record.node);
    this->updateTimers(record, now);
    effects.emplace_back(std::move(change));
}

void Membership::updateTimers(const Member& record, core::TimePoint now)
{
    this->suspicionEnds.erase(record.node);
    this->forgetAt.erase(record.node);
    if (record.state == wire::SUSPECT)
        this->suspicionEnds.emplace(record.node, now + this->suspicionTime());
    if (isLivingRecord(record)) {
        this->contested.erase(record.node);
        return;
    }
    this->forgetAt.emplace(record.node, now + this->settings.forgetAfter);
    const auto place = std::find(this->order.begin(), this->order.end(), record.node);
    if (place == this->order.end())
        return;
    if (static_cast<std::size_t>(place - this->order.begin()) < this->nextInOrder)
        --this->nextInOrder;
    this->order.erase(place);
}

void Membership::insertIntoOrder(const std::string& node)
{
    this->order.push_back(node);
    const auto first = std::min(this->nextInOrder, this->order.size() - 1);
    std::swap(this->order.back(), this->order[first + pickIndex(*this->generator, this->order.size() - first)]);
}

void Membership::raiseIncarnation(std::uint64_t above)
{
    this->self.incarnation = above + 1;
    this->queue.push(this->self.node);
}

void Membership::setLeaving(bool leaving)
{
    if (this->self.leaving == leaving)
        return;
    this->self.leaving = leaving;
    this->raiseIncarnation(this->self.incarnation);
}

MembershipEffects Membership::leave(core::TimePoint)
{
    MembershipEffects effects;
    if (this->left)
        return effects;
    this->left = true;
    this->self.state = wire::LEFT;
    for (const auto& node : this->randomPeers(this->settings.indirectProbes + 1, {})) {
        wire::Envelope envelope;
        this->attachUpdates(node, *envelope.mutable_acknowledgement()->mutable_updates());
        this->send(node, std::move(envelope), effects);
    }
    return effects;
}

void Membership::expire(core::TimePoint now, MembershipEffects& effects)
{
    std::vector<std::string> ended;
    for (const auto& [node, end] : this->suspicionEnds) {
        if (this->joined && end <= now)
            ended.push_back(node);
    }
    for (const auto& node : ended) {
        Member record = this->members.at(node);
        record.state = wire::DEAD;
        this->store(record, now, effects);
    }
    ended.clear();
    for (const auto& [node, end] : this->forgetAt) {
        if (end <= now)
            ended.push_back(node);
    }
    for (const auto& node : ended) {
        this->forgetAt.erase(node);
        this->contested.erase(node);
        this->queue.erase(node);
        this->members.erase(node);
        effects.emplace_back(MemberForgotten { node });
    }
    std::erase_if(this->relayed, [&](const auto& entry) { return entry.second.expires <= now; });
}

core::Duration Membership::suspicionTime() const
{
    const auto decades = std::log10(static_cast<double>(this->order.size()) + 1);
    const auto extra = decades * static_cast<double>(this->settings.suspicionPerDecade.count());
    return this->settings.suspicionBase + core::Duration(static_cast<core::Duration::rep>(extra));
}

bool Membership::complete(SendMessage& message) const
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

std::vector<Member> Membership::living() const
{
    std::vector<Member> result;
    result.reserve(this->order.size() + 1);
    const auto append = [&](const Member& member) {
        if (isLivingRecord(member) && !member.leaving)
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
    if (now - this->lastHeard >= this->settings.resumeGap)
        return 0;
    return this->order.size() - this->suspicionEnds.size();
}

bool Membership::isLiving(const std::string& node) const
{
    if (node == this->self.node)
        return !this->left;
    const auto found = this->members.find(node);
    return found != this->members.end() && isLivingRecord(found->second);
}

std::optional<Member> Membership::find(const std::string& node) const
{
    if (node == this->self.node)
        return this->self;
    const auto found = this->members.find(node);
    return found == this->members.end() ? std::nullopt : std::optional(found->second);
}

} // namespace lagoontiller::nodes
