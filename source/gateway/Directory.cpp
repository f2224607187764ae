#include "gateway/Directory.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time for which an endpoint that refused a call as full gets calls only when no other is left; a few times the
/// mean service time of a plain call (50 to 200 ms).
constexpr core::Duration fullTime = std::chrono::milliseconds(100);
/// \brief Doublings of that time for refusals in a row: an endpoint that refuses without load is used every 1.6 s.
constexpr int maximumDoublings = 4;

} // namespace

Directory::Directory(policy::HealthOptions options)
    : health(options)
{
}

void Directory::upsert(const Endpoint& entry, core::TimePoint now)
{
    const auto found = this->endpoints.find(entry.id);
    if (found != this->endpoints.end() && found->second.entry == entry)
        return;
    const bool restarted = found != this->endpoints.end()
        && (found->second.entry.startedAt != entry.startedAt || found->second.entry.address != entry.address);
    if (restarted)
        this->remove(entry.id, now);
    auto& known = this->endpoints[entry.id];
    const auto previousService = known.entry.service;
    known.entry = entry;
    if (known.healthId == 0) {
        known.healthId = ++this->lastHealthId;
        this->byHealthId.emplace(known.healthId, entry.id);
    }
    core::logInfo("endpoint_changed")
        .with("endpoint", entry.id)
        .with("service", entry.service)
        .with("address", entry.address)
        .with("zone", entry.zone)
        .with("state", entry.draining ? "draining" : "ready");
    const auto state = entry.draining ? policy::EndpointState::Leaving : policy::EndpointState::Live;
    const auto changes = this->health.upsert(known.healthId, this->serviceId(entry.service), state, now);
    this->apply(changes);
    if (!previousService.empty() && previousService != entry.service)
        this->setServing(previousService, entry.id, false);
    this->setServing(entry.service, entry.id, !entry.draining);
}

void Directory::remove(const std::string& id, core::TimePoint now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    core::logInfo("endpoint_removed").with("endpoint", id).with("service", found->second.entry.service);
    const auto service = found->second.entry.service;
    const auto healthId = found->second.healthId;
    this->endpoints.erase(found);
    this->byHealthId.erase(healthId);
    this->apply(this->health.upsert(healthId, this->serviceId(service), policy::EndpointState::Gone, now));
    this->setServing(service, id, false);
}

const KnownEndpoint* Directory::find(const std::string& id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

const std::vector<std::string>& Directory::serving(const std::string& service) const
{
    static const std::vector<std::string> none;
    const auto found = this->services.find(service);
    return found == this->services.end() ? none : found->second;
}

void Directory::sent(const std::string& id, core::TimePoint now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    ++found->second.inFlight;
    this->apply(this->health.sent(found->second.healthId, now));
}

void Directory::succeeded(const std::string& id, double relativeLatency, core::TimePoint now)
{
    if (auto* const known = this->ended(id)) {
        known->refusals = 0;
        this->apply(this->health.succeeded(known->healthId, relativeLatency, now));
    }
}

void Directory::failed(const std::string& id, policy::FailureKind kind, core::TimePoint now)
{
    if (const auto* const known = this->ended(id))
        this->apply(this->health.failed(known->healthId, kind, now));
}

void Directory::refused(const std::string& id, core::TimePoint now)
{
    if (auto* const known = this->ended(id)) {
        known->fullUntil = now + fullTime * (1 << std::min(known->refusals, maximumDoublings));
        ++known->refusals;
        // A refusal is an answer: it ends a probe, and says nothing about the speed.
        this->apply(this->health.succeeded(known->healthId, 1, now));
    }
}

void Directory::abandoned(const std::string& id)
{
    this->ended(id);
}

void Directory::tick(core::TimePoint now)
{
    this->apply(this->health.tick(now));
}

KnownEndpoint* Directory::ended(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return nullptr;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
    return &found->second;
}

void Directory::apply(const std::vector<policy::HealthChange>& changes)
{
    for (const auto& change : changes) {
        const auto id = this->byHealthId.find(change.endpoint);
        if (id == this->byHealthId.end())
            continue;
        auto& known = this->endpoints[id->second];
        if ((known.traffic.share == 0) != (change.traffic.share == 0)) {
            core::logInfo("endpoint_health")
                .with("endpoint", id->second)
                .with("share", change.traffic.share)
                .with("probing", change.traffic.probing ? "yes" : "no");
        }
        known.traffic = change.traffic;
    }
}

void Directory::setServing(const std::string& service, const std::string& id, bool serving)
{
    auto& list = this->services[service];
    const auto place = std::lower_bound(list.begin(), list.end(), id);
    const bool listed = place != list.end() && *place == id;
    if (serving && !listed)
        list.insert(place, id);
    else if (!serving && listed)
        list.erase(place);
}

policy::ServiceId Directory::serviceId(const std::string& service)
{
    return this->serviceIds.emplace(service, static_cast<policy::ServiceId>(this->serviceIds.size())).first->second;
}

} // namespace lagoontiller::gateway
