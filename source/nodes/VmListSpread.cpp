#include "nodes/VmListSpread.h"

#include "core/Hash.h"

#include <algorithm>

namespace lagoontiller::nodes {

std::vector<std::string> pollersOf(const std::string& zone, const std::vector<Member>& living)
{
    const auto zoneHash = core::hash64(zone);
    std::vector<std::pair<std::uint64_t, std::string>> scores;
    for (const auto& member : living) {
        if (member.zone == zone)
            scores.emplace_back(core::combine(zoneHash, core::hash64(member.node)), member.node);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<std::string> names;
    for (std::size_t index = 0; index < scores.size() && index < pollersPerZone; ++index)
        names.push_back(std::move(scores[index].second));
    return names;
}

VmListSpread::VmListSpread(VersionSpreadSettings settings, Generator& generator)
    : spread(settings, generator)
{
}

VmListEffects VmListSpread::accept(std::uint64_t version, std::string list, const std::vector<std::string>& peers)
{
    VmListEffects effects;
    this->adopt(version, std::move(list), {}, peers, effects);
    return effects;
}

void VmListSpread::adopt(std::uint64_t version, std::string list, const std::string& from,
    const std::vector<std::string>& peers, VmListEffects& effects)
{
    if (!this->spread.raise(version))
        return;
    this->held = std::move(list);
    effects.emplace_back(VmListAdopted { version, this->held });
    const bool isAnnouncement = this->held.size() > this->spread.limits().maxPushBytes;
    for (const auto& peer : this->spread.receivers(peers, from))
        effects.emplace_back(this->makeUpdate(peer, isAnnouncement));
}

SendMessage VmListSpread::makeUpdate(const std::string& peer, bool isAnnouncement) const
{
    SendMessage message { peer, {}, {} };
    auto& update = *message.envelope.mutable_vm_list_update();
    update.set_list_version(this->spread.held());
    if (!isAnnouncement)
        update.set_list(this->held);
    return message;
}

VmListEffects VmListSpread::handle(
    const wire::Envelope& envelope, const std::vector<std::string>& peers, core::TimePoint now)
{
    VmListEffects effects;
    this->spread.observe(envelope.sender(), envelope.vm_list_version());
    if (envelope.has_vm_list_update() && !envelope.vm_list_update().list().empty()) {
        const auto& update = envelope.vm_list_update();
        this->adopt(update.list_version(), update.list(), envelope.sender(), peers, effects);
    }
    if (envelope.has_vm_list_request() && envelope.vm_list_request().held_version() < this->spread.held())
        effects.emplace_back(this->makeUpdate(envelope.sender(), false));
    this->request(now, effects);
    return effects;
}

void VmListSpread::request(core::TimePoint now, VmListEffects& effects)
{
    const auto peer = this->spread.nextRequest(now);
    if (!peer)
        return;
    SendMessage message { *peer, {}, {} };
    message.envelope.mutable_vm_list_request()->set_held_version(this->spread.held());
    effects.emplace_back(std::move(message));
}

VmListEffects VmListSpread::tick(core::TimePoint now)
{
    VmListEffects effects;
    this->request(now, effects);
    return effects;
}

} // namespace lagoontiller::nodes
