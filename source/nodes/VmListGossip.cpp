#include "nodes/VmListGossip.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::nodes {

std::vector<std::string> vmListPollers(const std::string& zone, const std::vector<Member>& activeMembers)
{
    const auto zoneHash = core::hash64(zone);
    std::vector<std::pair<std::uint64_t, std::string>> scores;
    for (const auto& member : activeMembers) {
        if (member.zone == zone)
            scores.emplace_back(core::combine(zoneHash, core::hash64(member.node)), member.node);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<std::string> names;
    for (std::size_t index = 0; index < scores.size() && index < pollersPerZone; ++index)
        names.push_back(std::move(scores[index].second));
    return names;
}

VmListGossip::VmListGossip(VersionGossipSettings settings, RandomGenerator& generator)
    : gossip(settings, generator)
{
}

VmListEffects VmListGossip::publish(std::uint64_t version, std::string list, const std::vector<std::string>& peers)
{
    VmListEffects effects;
    this->adopt(version, std::move(list), {}, peers, effects);
    return effects;
}

void VmListGossip::adopt(std::uint64_t version, std::string list, const std::string& source,
    const std::vector<std::string>& peers, VmListEffects& effects)
{
    if (!this->gossip.advance(version))
        return;
    this->currentList = std::move(list);
    effects.emplace_back(VmListAdopted { version, this->currentList });
    const bool isAnnouncement = this->currentList.size() > this->gossip.limits().maxPushBytes;
    for (const auto& peer : this->gossip.choosePushTargets(peers, source))
        effects.emplace_back(this->makeUpdate(peer, isAnnouncement));
}

SendMessage VmListGossip::makeUpdate(const std::string& peer, bool isAnnouncement) const
{
    SendMessage message { peer, {}, {} };
    auto& update = *message.envelope.mutable_vm_list_update();
    update.set_list_version(this->gossip.heldVersion());
    if (!isAnnouncement)
        update.set_list(this->currentList);
    return message;
}

VmListEffects VmListGossip::handle(
    const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now)
{
    VmListEffects effects;
    this->gossip.recordPeerVersion(envelope.sender(), envelope.vm_list_version());
    if (envelope.has_vm_list_update() && !envelope.vm_list_update().list().empty()) {
        const auto& update = envelope.vm_list_update();
        this->adopt(update.list_version(), update.list(), envelope.sender(), peers, effects);
    }
    if (envelope.has_vm_list_request() && envelope.vm_list_request().held_version() < this->gossip.heldVersion())
        effects.emplace_back(this->makeUpdate(envelope.sender(), false));
    this->requestUpdate(now, effects);
    return effects;
}

void VmListGossip::requestUpdate(core::TimePoint now, VmListEffects& effects)
{
    const auto peer = this->gossip.startRequest(now);
    if (!peer)
        return;
    SendMessage message { *peer, {}, {} };
    message.envelope.mutable_vm_list_request()->set_held_version(this->gossip.heldVersion());
    effects.emplace_back(std::move(message));
}

VmListEffects VmListGossip::tick(core::TimePoint now)
{
    VmListEffects effects;
    this->requestUpdate(now, effects);
    return effects;
}

} // namespace lagoontiller::nodes
