#include "nodes/Membership.h"

#include "core/Hash.h"

#include <algorithm>
#include <array>

namespace lagoontiller::nodes {

namespace {

/// Time between two attempts to get a complete member list.
constexpr core::Duration joinInterval = std::chrono::milliseconds(500);

/// After this time without a complete member list, the node continues with the members it knows, because all others may
/// have died in the meantime.
constexpr core::Duration joinTimeout = std::chrono::seconds(5);

/// Known members that are asked for their list in one attempt.
constexpr std::size_t maxJoinPeers = 2;

/// Members in a partial reply when the budget for member lists is exhausted.
constexpr std::size_t partialReplySize = 6;

/// Attempts per probe interval that all nodes of one side of a network partition make together to reach seeds and dead
/// members of the other side.
constexpr double retriesPerProbeInterval = 10;

/// Estimated size of one member record on the wire, used for the member list budget.
constexpr double memberRecordBytes = 90;

/// Names per word of the Bloom filter of known members in a join request. At 8 bits per name, about one missing member
/// in 8 is a false positive; the next request uses another salt.
constexpr std::size_t namesPerFilterWord = 4;
constexpr std::size_t filterWordBits = 32;

/// \brief Returns the index of the word (the salt is at index 0) and the bit mask of a name in the Bloom filter.
std::pair<int, std::uint32_t> filterPosition(const std::string& node, std::uint32_t salt, std::size_t words)
{
    const auto bit = core::hash64(node, salt) % (words * filterWordBits);
    return { static_cast<int>(bit / filterWordBits) + 1, std::uint32_t { 1 } << (bit % filterWordBits) };
}

} // namespace

void Membership::tryJoin(core::TimePoint now, MembershipEffects& effects)
{
    if (this->joined || now < this->nextJoinTime)
        return;
    this->nextJoinTime = now + joinInterval;
    std::vector<std::string> seeds = this->settings.seeds;
    std::erase(seeds, this->self.address);
    // The first node of a deployment, whose only seed is itself, has no other node to ask.
    const bool isAlone = seeds.empty() && this->probeOrder.empty();
    if (isAlone || now - this->joinStartTime >= joinTimeout) {
        this->joined = true;
        effects.emplace_back(ViewRefreshed {});
        return;
    }
    const auto isSeed = [&](const std::string& node) {
        return std::find(seeds.begin(), seeds.end(), this->members.at(node).address) != seeds.end();
    };
    auto known = this->randomPeers(maxJoinPeers + seeds.size(), {});
    std::stable_partition(known.begin(), known.end(), [&](const std::string& node) { return !isSeed(node); });
    known.resize(std::min(known.size(), maxJoinPeers));
    for (const auto& node : known)
        this->sendJoin(node, this->members.at(node).address, effects);
    // When 780 nodes started at once and each asked all seeds until it had joined, the traffic of each seed exceeded
    // 300 KB/s. Therefore each attempt asks at most one seed, and nodes that know other members do so with a
    // probability that keeps the total rate of all nodes constant.
    if (seeds.empty()
        || !drawBernoulli(*this->generator, retriesPerProbeInterval / static_cast<double>(this->probeOrder.size() + 1)))
        return;
    this->sendJoin({}, seeds[randomIndex(*this->generator, seeds.size())], effects);
}

void Membership::retryUnreachable(MembershipEffects& effects)
{
    if (!this->joined)
        return;
    // The probability keeps the total rate of all nodes constant, so that a returning seed is not overloaded.
    const auto probability = retriesPerProbeInterval / static_cast<double>(this->probeOrder.size() + 1);
    if (!drawBernoulli(*this->generator, probability))
        return;
    std::set<std::string> reachable { this->self.address };
    for (const auto& node : this->probeOrder)
        reachable.insert(this->members.at(node).address);
    std::vector<std::string> seeds;
    for (const auto& seed : this->settings.seeds) {
        if (!reachable.contains(seed))
            seeds.push_back(seed);
    }
    if (!seeds.empty())
        this->sendJoin({}, seeds[randomIndex(*this->generator, seeds.size())], effects);
    if (this->removalTimes.empty())
        return;
    auto dead = this->removalTimes.begin();
    std::advance(dead, randomIndex(*this->generator, this->removalTimes.size()));
    const auto& member = this->members.at(dead->first);
    if (member.state == wire::DEAD)
        this->sendJoin(member.node, member.address, effects);
}

void Membership::sendJoin(const std::string& node, const std::string& address, MembershipEffects& effects) const
{
    SendMessage message { node, address, {} };
    toWire(this->self, *message.envelope.mutable_join()->mutable_self());
    if (this->fillEnvelope(message))
        effects.emplace_back(std::move(message));
}

void Membership::addKnownMembersFilter(wire::Join& join)
{
    const auto words = (this->members.size() + namesPerFilterWord) / namesPerFilterWord;
    const auto salt = static_cast<std::uint32_t>((*this->generator)());
    join.add_held(salt);
    for (std::size_t word = 0; word < words; ++word)
        join.add_held(0);
    for (const auto& [node, member] : this->members) {
        const auto [word, mask] = filterPosition(node, salt, words);
        join.set_held(word, join.held(word) | mask);
    }
}

void Membership::requestMissingMembers(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto known = this->members.size() + 1;
    if (!this->joined || now < this->nextSyncTime || envelope.known_members() <= known)
        return;
    const auto sender = this->members.find(envelope.sender());
    if (sender == this->members.end())
        return;
    this->nextSyncTime = now + this->syncInterval;
    this->syncInterval = std::min(2 * this->syncInterval, this->settings.maxSyncInterval);
    SendMessage message { sender->first, {}, {} };
    auto& join = *message.envelope.mutable_join();
    toWire(this->self, *join.mutable_self());
    this->addKnownMembersFilter(join);
    if (this->fillEnvelope(message))
        effects.emplace_back(std::move(message));
}

std::vector<const Member*> Membership::membersMissingFrom(const wire::Join& join) const
{
    const auto isHeld = [&](const std::string& node) {
        if (join.held_size() < 2)
            return false;
        const auto [word, mask] = filterPosition(node, join.held(0), static_cast<std::size_t>(join.held_size()) - 1);
        return (join.held(word) & mask) != 0;
    };
    std::vector<const Member*> result;
    for (const auto& [node, member] : this->members) {
        if (node != join.self().node() && !isHeld(node))
            result.push_back(&member);
    }
    return result;
}

void Membership::handleJoin(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto& joining = envelope.join().self();
    if (joining.node() != envelope.sender()) {
        ++this->rejectedInputs;
        return;
    }
    this->applyUpdate(joining, now, effects);
    SendMessage reply { joining.node(), joining.address(), {} };
    auto& list = *reply.envelope.mutable_join_reply();
    toWire(this->self, *list.add_members());
    const auto held = this->members.find(joining.node());
    if (held != this->members.end() && held->second.state != wire::ALIVE)
        toWire(held->second, *list.add_members());
    auto chosen = this->membersMissingFrom(envelope.join());
    const auto allowed = this->takeMemberListBudget(chosen.size(), now);
    list.set_partial(allowed < chosen.size());
    if (list.partial())
        keepRandomSample(*this->generator, chosen, std::max(allowed, partialReplySize));
    for (const auto* member : chosen)
        toWire(*member, *list.add_members());
    if (this->fillEnvelope(reply))
        effects.emplace_back(std::move(reply));
}

void Membership::handleJoinReply(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto before = this->members.size();
    for (const auto& update : envelope.join_reply().members()) {
        const bool isKnown = this->members.contains(update.node());
        this->applyUpdate(update, now, effects);
        // The sender has already disseminated this record. Queueing complete lists again filled all messages for over a
        // minute at 780 nodes.
        if (!isKnown && update.node() != envelope.sender())
            this->updateQueue.erase(update.node());
    }
    if (this->members.size() > before) {
        this->syncInterval = this->settings.minSyncInterval;
        this->nextSyncTime = std::min(this->nextSyncTime, now + this->syncInterval);
    }
    if (this->joined)
        return;
    if (envelope.join_reply().partial())
        return;
    this->joined = true;
    effects.emplace_back(ViewRefreshed {});
}

std::size_t Membership::takeMemberListBudget(std::size_t wanted, core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - this->memberListBudgetTime).count();
    this->memberListBudgetTime = now;
    this->memberListBudgetBytes = std::min(this->settings.memberListBurstBytes,
        this->memberListBudgetBytes + seconds * this->settings.memberListBytesPerSecond);
    const auto allowed = std::min(wanted, static_cast<std::size_t>(this->memberListBudgetBytes / memberRecordBytes));
    this->memberListBudgetBytes -= static_cast<double>(allowed) * memberRecordBytes;
    return allowed;
}

} // namespace lagoontiller::nodes
