#include "nodes/Membership.h"

#include "core/Hash.h"

#include <algorithm>
#include <array>

namespace lagoontiller::nodes {

namespace {

/// Time between two attempts to get a whole member list.
constexpr core::Duration joinInterval = std::chrono::milliseconds(500);

/// Without any reply for this long, the node goes on with the members it knows: everyone may have died meanwhile.
constexpr core::Duration joinLimit = std::chrono::seconds(5);

/// Known members that are asked at the same time.
constexpr std::size_t joinPeers = 2;

/// Members in a reply when the budget for whole lists is used up.
constexpr std::size_t sampleSize = 6;

/// Attempts per probe interval of all nodes of one side together to reach seeds and dead members of the other side.
constexpr double retriesPerInterval = 10;

/// Size of one member record on the wire, for the list budget.
constexpr double recordBytes = 90;

/// Known names per word of the bit set in a request. At 8 bits per name about one missing member in 8 looks known; the
/// salt of the next request is another one.
constexpr std::size_t namesPerWord = 4;
constexpr std::size_t wordBits = 32;

/// \brief Word (after the salt) and mask of a name in the bit set of a request.
std::pair<int, std::uint32_t> placeOf(const std::string& node, std::uint32_t salt, std::size_t words)
{
    const auto bit = core::hash64(node, salt) % (words * wordBits);
    return { static_cast<int>(bit / wordBits) + 1, std::uint32_t { 1 } << (bit % wordBits) };
}

} // namespace

void Membership::join(core::TimePoint now, MembershipEffects& effects)
{
    if (this->joined || now < this->nextJoin)
        return;
    this->nextJoin = now + joinInterval;
    std::vector<std::string> seeds = this->settings.seeds;
    std::erase(seeds, this->self.address);
    // The first node of a deployment with itself as the only seed has nobody to ask.
    const bool isAlone = seeds.empty() && this->order.empty();
    if (isAlone || now - this->joinStarted >= joinLimit) {
        this->joined = true;
        effects.emplace_back(ViewRefreshed {});
        return;
    }
    const auto isSeed = [&](const std::string& node) {
        return std::find(seeds.begin(), seeds.end(), this->members.at(node).address) != seeds.end();
    };
    auto known = this->randomPeers(joinPeers + seeds.size(), {});
    std::stable_partition(known.begin(), known.end(), [&](const std::string& node) { return !isSeed(node); });
    known.resize(std::min(known.size(), joinPeers));
    for (const auto& node : known)
        this->sendJoin(node, this->members.at(node).address, effects);
    // When all nodes start at once, every node asking all seeds until it has joined cost each seed over 300 KB/s at 780
    // nodes. One seed is asked first; nodes that know others ask the seeds at a constant rate of all nodes together.
    if (seeds.empty() || !isDrawn(*this->generator, retriesPerInterval / static_cast<double>(this->order.size() + 1)))
        return;
    this->sendJoin({}, seeds[pickIndex(*this->generator, seeds.size())], effects);
}

void Membership::retryMissing(MembershipEffects& effects)
{
    if (!this->joined)
        return;
    // All nodes of one side retry together at a constant rate, so that a returning seed is not flooded.
    const auto chance = retriesPerInterval / static_cast<double>(this->order.size() + 1);
    if (!isDrawn(*this->generator, chance))
        return;
    std::set<std::string> reachable { this->self.address };
    for (const auto& node : this->order)
        reachable.insert(this->members.at(node).address);
    std::vector<std::string> seeds;
    for (const auto& seed : this->settings.seeds) {
        if (!reachable.contains(seed))
            seeds.push_back(seed);
    }
    if (!seeds.empty())
        this->sendJoin({}, seeds[pickIndex(*this->generator, seeds.size())], effects);
    if (this->forgetAt.empty())
        return;
    auto dead = this->forgetAt.begin();
    std::advance(dead, pickIndex(*this->generator, this->forgetAt.size()));
    const auto& member = this->members.at(dead->first);
    if (member.state == wire::DEAD)
        this->sendJoin(member.node, member.address, effects);
}

void Membership::sendJoin(const std::string& node, const std::string& address, MembershipEffects& effects) const
{
    SendMessage message { node, address, {} };
    toWire(this->self, *message.envelope.mutable_join()->mutable_self());
    if (this->complete(message))
        effects.emplace_back(std::move(message));
}

void Membership::listHeld(wire::Join& join)
{
    const auto words = (this->members.size() + namesPerWord) / namesPerWord;
    const auto salt = static_cast<std::uint32_t>((*this->generator)());
    join.add_held(salt);
    for (std::size_t word = 0; word < words; ++word)
        join.add_held(0);
    for (const auto& [node, member] : this->members) {
        const auto [word, mask] = placeOf(node, salt, words);
        join.set_held(word, join.held(word) | mask);
    }
}

void Membership::requestMissing(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto known = this->members.size() + 1;
    if (!this->joined || now < this->nextSync || envelope.known_members() <= known)
        return;
    const auto sender = this->members.find(envelope.sender());
    if (sender == this->members.end())
        return;
    this->nextSync = now + this->syncDelay;
    this->syncDelay = std::min(2 * this->syncDelay, this->settings.longestSyncInterval);
    SendMessage message { sender->first, {}, {} };
    auto& join = *message.envelope.mutable_join();
    toWire(this->self, *join.mutable_self());
    this->listHeld(join);
    if (this->complete(message))
        effects.emplace_back(std::move(message));
}

std::vector<const Member*> Membership::membersFor(const wire::Join& join) const
{
    const auto isHeld = [&](const std::string& node) {
        if (join.held_size() < 2)
            return false;
        const auto [word, mask] = placeOf(node, join.held(0), static_cast<std::size_t>(join.held_size()) - 1);
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
        ++this->rejected;
        return;
    }
    this->apply(joining, now, effects);
    SendMessage reply { joining.node(), joining.address(), {} };
    auto& list = *reply.envelope.mutable_join_reply();
    toWire(this->self, *list.add_members());
    const auto held = this->members.find(joining.node());
    if (held != this->members.end() && held->second.state != wire::ALIVE)
        toWire(held->second, *list.add_members());
    auto chosen = this->membersFor(envelope.join());
    const auto affordable = this->takeListBudget(chosen.size(), now);
    list.set_partial(affordable < chosen.size());
    if (list.partial())
        keepRandom(*this->generator, chosen, std::max(affordable, sampleSize));
    for (const auto* member : chosen)
        toWire(*member, *list.add_members());
    if (this->complete(reply))
        effects.emplace_back(std::move(reply));
}

void Membership::handleJoinReply(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    const auto before = this->members.size();
    for (const auto& update : envelope.join_reply().members()) {
        const bool isKnown = this->members.contains(update.node());
        this->apply(update, now, effects);
        // The sender has spread it already; queueing whole lists again filled all messages for over a minute at 780
        // nodes.
        if (!isKnown && update.node() != envelope.sender())
            this->queue.erase(update.node());
    }
    if (this->members.size() > before) {
        this->syncDelay = this->settings.syncInterval;
        this->nextSync = std::min(this->nextSync, now + this->syncDelay);
    }
    if (this->joined)
        return;
    if (envelope.join_reply().partial())
        return;
    this->joined = true;
    effects.emplace_back(ViewRefreshed {});
}

std::size_t Membership::takeListBudget(std::size_t wanted, core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - this->listBudgetAt).count();
    this->listBudgetAt = now;
    this->listBudget
        = std::min(this->settings.listBytesBurst, this->listBudget + seconds * this->settings.listBytesPerSecond);
    const auto affordable = std::min(wanted, static_cast<std::size_t>(this->listBudget / recordBytes));
    this->listBudget -= static_cast<double>(affordable) * recordBytes;
    return affordable;
}

} // namespace lagoontiller::nodes
