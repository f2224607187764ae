#include "gateway/EndpointDirectory.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time for which an endpoint that refused a call as full is avoided while others are available; a small
/// multiple of the mean service time of a plain call (50 to 200 ms).
constexpr core::Duration baseFullBackoff = std::chrono::milliseconds(100);
/// \brief Limit of the doublings of `baseFullBackoff` for consecutive refusals: an endpoint that refuses all calls
/// while idle is retried every 1.6 s.
constexpr int maxBackoffDoublings = 4;
/// \brief Time for which a leaving process without an entry is remembered. Entries return after store outages, which
/// last minutes at most; a leaving process ends sooner than that.
constexpr core::Duration leavingMemory = std::chrono::minutes(10);

} // namespace

EndpointDirectory::EndpointDirectory(policy::HealthOptions options)
    : health(options)
{
}

void EndpointDirectory::upsert(const Endpoint& entry, core::TimePoint now)
{
    const auto found = this->endpoints.find(entry.id);
    if (found != this->endpoints.end() && found->second.entry == entry)
        return;
    const bool restarted = found != this->endpoints.end()
        && (found->second.entry.startedAt != entry.startedAt || found->second.entry.address != entry.address);
    if (restarted)
        this->remove(entry.id, now);
    auto& endpoint = this->endpoints[entry.id];
    const auto previousService = endpoint.entry.service;
    endpoint.entry = entry;
    endpoint.leaving = endpoint.leaving || this->isLeaving(entry);
    if (endpoint.healthId == 0) {
        endpoint.healthId = ++this->lastHealthId;
        this->byHealthId.emplace(endpoint.healthId, entry.id);
    }
    core::logInfo("endpoint_changed")
        .with("endpoint", entry.id)
        .with("service", entry.service)
        .with("address", entry.address)
        .with("zone", entry.zone)
        .with("version", entry.version)
        .with("state", entry.draining ? "draining" : "ready");
    if (!previousService.empty() && previousService != entry.service)
        this->setServing(previousService, entry.id, false);
    this->updateState(endpoint, now);
}

void EndpointDirectory::updateState(const TrackedEndpoint& endpoint, core::TimePoint now)
{
    const auto& entry = endpoint.entry;
    const bool serving = !entry.draining && !endpoint.leaving;
    const auto state = serving ? policy::EndpointState::Live : policy::EndpointState::Leaving;
    this->applyHealthChanges(this->health.upsert(endpoint.healthId, this->serviceId(entry.service), state, now));
    this->setServing(entry.service, entry.id, serving);
}

void EndpointDirectory::markLeaving(const std::string& id, std::int64_t startedAt, core::TimePoint now)
{
    const bool isNew = this->leavingProcesses.insert_or_assign({ id, startedAt }, now).second;
    const auto found = this->endpoints.find(id);
    const bool listed = found != this->endpoints.end() && found->second.entry.startedAt == startedAt;
    if (isNew)
        core::logInfo("endpoint_leaving").with("endpoint", id).with("listed", listed ? "yes" : "no");
    if (!listed || found->second.leaving)
        return;
    found->second.leaving = true;
    this->updateState(found->second, now);
}

void EndpointDirectory::remove(const std::string& id, core::TimePoint now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    core::logInfo("endpoint_removed").with("endpoint", id).with("service", found->second.entry.service);
    const auto service = found->second.entry.service;
    const auto healthId = found->second.healthId;
    this->endpoints.erase(found);
    this->byHealthId.erase(healthId);
    this->applyHealthChanges(this->health.upsert(healthId, this->serviceId(service), policy::EndpointState::Gone, now));
    this->setServing(service, id, false);
}

const TrackedEndpoint* EndpointDirectory::find(const std::string& id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

const std::vector<std::string>& EndpointDirectory::servingEndpoints(const std::string& service) const
{
    static const std::vector<std::string> none;
    const auto found = this->services.find(service);
    return found == this->services.end() ? none : found->second;
}

std::vector<std::string> EndpointDirectory::allEndpoints(const std::string& service) const
{
    std::vector<std::string> result;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.entry.service == service)
            result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t EndpointDirectory::servingCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& [service, ids] : this->services)
        count += ids.size();
    return count;
}

std::vector<const TrackedEndpoint*> EndpointDirectory::allServing() const
{
    std::vector<const TrackedEndpoint*> result;
    for (const auto& [service, ids] : this->services) {
        for (const auto& id : ids)
            result.push_back(this->find(id));
    }
    return result;
}

std::set<std::string> EndpointDirectory::versions(const std::string& service) const
{
    std::set<std::string> result;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.entry.service == service)
            result.insert(endpoint.entry.version);
    }
    return result;
}

void EndpointDirectory::callSent(const std::string& id, core::TimePoint now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    ++found->second.inFlight;
    this->applyHealthChanges(this->health.sent(found->second.healthId, now));
}

std::shared_ptr<void> EndpointDirectory::holdBytes(const std::string& id, std::size_t bytes)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return nullptr;
    auto counter = found->second.outstandingBytes;
    *counter += bytes;
    return { counter.get(), [counter, bytes](void*) { *counter -= bytes; } };
}

void EndpointDirectory::callSucceeded(const std::string& id, double relativeLatency, core::TimePoint now)
{
    if (auto* const endpoint = this->callEnded(id)) {
        endpoint->refusals = 0;
        this->applyHealthChanges(this->health.succeeded(endpoint->healthId, relativeLatency, now));
    }
}

void EndpointDirectory::callFailed(const std::string& id, policy::FailureKind kind, core::TimePoint now)
{
    this->callEnded(id);
    this->recordFailure(id, kind, now);
}

void EndpointDirectory::recordFailure(const std::string& id, policy::FailureKind kind, core::TimePoint now)
{
    if (const auto* const endpoint = this->find(id))
        this->applyHealthChanges(this->health.failed(endpoint->healthId, kind, now));
}

void EndpointDirectory::callRefused(const std::string& id, core::TimePoint now)
{
    if (auto* const endpoint = this->callEnded(id)) {
        endpoint->fullUntil = now + baseFullBackoff * (1 << std::min(endpoint->refusals, maxBackoffDoublings));
        ++endpoint->refusals;
        // A refusal proves that the endpoint responds, so it ends a health probe; it gives no information about
        // latency.
        this->applyHealthChanges(this->health.succeeded(endpoint->healthId, 1, now));
    }
}

void EndpointDirectory::callAbandoned(const std::string& id)
{
    this->callEnded(id);
}

bool EndpointDirectory::isLeaving(const Endpoint& entry) const
{
    return this->leavingProcesses.contains({ entry.id, entry.startedAt });
}

void EndpointDirectory::tick(core::TimePoint now)
{
    std::erase_if(this->leavingProcesses, [this, now](const auto& process) {
        const auto* const endpoint = this->find(process.first.first);
        const bool listed = endpoint != nullptr && endpoint->entry.startedAt == process.first.second;
        return !listed && now - process.second > leavingMemory;
    });
    this->applyHealthChanges(this->health.tick(now));
}

TrackedEndpoint* EndpointDirectory::callEnded(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return nullptr;
    if (found->second.inFlight > 0)
        --found->second.inFlight;
    return &found->second;
}

void EndpointDirectory::applyHealthChanges(const std::vector<policy::HealthChange>& changes)
{
    for (const auto& change : changes) {
        const auto id = this->byHealthId.find(change.endpoint);
        if (id == this->byHealthId.end())
            continue;
        auto& endpoint = this->endpoints[id->second];
        if ((endpoint.traffic.share == 0) != (change.traffic.share == 0)) {
            core::logInfo("endpoint_health")
                .with("endpoint", id->second)
                .with("share", change.traffic.share)
                .with("probing", change.traffic.probing ? "yes" : "no");
        }
        endpoint.traffic = change.traffic;
    }
}

void EndpointDirectory::setServing(const std::string& service, const std::string& id, bool serving)
{
    auto& list = this->services[service];
    const auto position = std::lower_bound(list.begin(), list.end(), id);
    const bool listed = position != list.end() && *position == id;
    if (serving && !listed)
        list.insert(position, id);
    else if (!serving && listed)
        list.erase(position);
}

policy::ServiceId EndpointDirectory::serviceId(const std::string& service)
{
    return this->serviceIds.emplace(service, static_cast<policy::ServiceId>(this->serviceIds.size())).first->second;
}

} // namespace lagoontiller::gateway
