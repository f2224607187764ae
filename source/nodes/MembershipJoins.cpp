#include "nodes/Membership.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Time between two attempts to get a whole member list.
constexpr core::Duration joinInterval = std::chrono::milliseconds(500);

/// Without any reply for this long, the node goes on with the members it knows: everyone may have died meanwhile.
constexpr core::Duration joinLimit = std::chrono::seconds(5);

/// Members in a reply when the budget for whole lists is used up.
constexpr std::size_t sampleSize = 12;

/// Attempts per probe interval of all nodes of one side together to reach seeds and dead members of the other side.
constexpr double retriesPerInterval = 10;

/// Size of one member record on the wire, for the list budget.
constexpr double recordBytes = 90;

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
    const auto known = this->randomPeers(2, {});
    for (const auto& node : known)
        this->sendJoin(node, this->members.at(node).address, effects);
    if (known.empty())
        keepRandom(*this->generator, seeds, seeds.size());
    else
        keepRandom(*this->generator, seeds, 1);
    for (const auto& seed : seeds)
        this->sendJoin({}, seed, effects);
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
    const auto whole = this->takeListBudget(now);
    list.set_partial(!whole);
    toWire(this->self, *list.add_members());
    const auto held = this->members.find(joining.node());
    if (held != this->members.end() && held->second.state != wire::ALIVE)
        toWire(held->second, *list.add_members());
    if (whole) {
        for (const auto& [node, member] : this->members) {
            if (node != joining.node())
                toWire(member, *list.add_members());
        }
    } else {
        for (const auto& node : this->randomPeers(sampleSize, joining.node()))
            toWire(this->members.at(node), *list.add_members());
    }
    if (this->complete(reply))
        effects.emplace_back(std::move(reply));
}

void Membership::handleJoinReply(const wire::Envelope& envelope, core::TimePoint now, MembershipEffects& effects)
{
    for (const auto& update : envelope.join_reply().members())
        this->apply(update, now, effects);
    if (this->joined)
        return;
    if (envelope.join_reply().partial()) {
        this->nextJoin = std::min(this->nextJoin, now + this->settings.probeTimeout);
        return;
    }
    this->joined = true;
    effects.emplace_back(ViewRefreshed {});
}

bool Membership::takeListBudget(core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - this->listBudgetAt).count();
    this->listBudgetAt = now;
    this->listBudget
        = std::min(this->settings.listBytesBurst, this->listBudget + seconds * this->settings.listBytesPerSecond);
    const auto cost = std::min(static_cast<double>(this->members.size()) * recordBytes, this->settings.listBytesBurst);
    if (cost > this->listBudget)
        return false;
    this->listBudget -= cost;
    return true;
}

} // namespace lagoontiller::nodes
