#include "policy/EndpointTable.h"

#include <algorithm>

namespace lagoontiller::policy {

EndpointId EndpointTable::upsert(const EndpointSpec& spec)
{
    const auto [entry, added] = this->byName.try_emplace(spec.name, static_cast<EndpointId>(this->rows.size()));
    const EndpointId endpoint = entry->second;
    if (added) {
        this->rows.emplace_back();
    } else {
        this->removeFromPools(endpoint);
    }
    Row& row = this->rows[endpoint];
    row.spec = spec;
    row.service = this->services.try_emplace(spec.service, static_cast<ServiceId>(this->services.size())).first->second;
    row.zone = this->locationId(spec.zone);
    row.region = this->locationId(spec.region);
    this->addToPools(endpoint);
    return endpoint;
}

void EndpointTable::setTraffic(EndpointId endpoint, TrafficShare traffic)
{
    Row& row = this->rows[endpoint];
    if ((row.traffic.share > 0) == (traffic.share > 0)) {
        row.traffic = traffic;
        return;
    }
    this->removeFromPools(endpoint);
    row.traffic = traffic;
    this->addToPools(endpoint);
}

std::optional<EndpointId> EndpointTable::find(const std::string& name) const
{
    const auto entry = this->byName.find(name);
    return entry == this->byName.end() ? std::nullopt : std::optional(entry->second);
}

std::uint32_t EndpointTable::locationId(const std::string& name)
{
    return this->locationIds.try_emplace(name, static_cast<std::uint32_t>(this->locationIds.size())).first->second;
}

std::optional<std::uint32_t> EndpointTable::findLocation(const std::string& name) const
{
    const auto entry = this->locationIds.find(name);
    return entry == this->locationIds.end() ? std::nullopt : std::optional(entry->second);
}

EndpointPool* EndpointTable::pool(const std::string& service, const std::string& model)
{
    const auto models = this->pools.find(service);
    if (models == this->pools.end()) {
        return nullptr;
    }
    const auto entry = models->second.find(model);
    return entry == models->second.end() ? nullptr : &entry->second;
}

bool EndpointTable::serves(EndpointId endpoint, const std::string& service, const std::string& model) const
{
    const Row& row = this->rows[endpoint];
    if (row.spec.state != EndpointState::Live || row.traffic.share <= 0 || row.spec.service != service) {
        return false;
    }
    return model.empty() ? row.spec.models.empty()
                         : std::find(row.spec.models.begin(), row.spec.models.end(), model) != row.spec.models.end();
}

std::vector<EndpointPool*> EndpointTable::poolsOf(const EndpointSpec& spec)
{
    auto& models = this->pools[spec.service];
    if (spec.models.empty()) {
        return { &models[""] };
    }
    std::vector<EndpointPool*> result;
    for (const std::string& model : spec.models) {
        result.push_back(&models[model]);
    }
    return result;
}

void EndpointTable::addToPools(EndpointId endpoint)
{
    const Row& row = this->rows[endpoint];
    // The pools must exist even if the endpoint may not be chosen yet: their absence means that the model is unknown.
    const std::vector<EndpointPool*> served = this->poolsOf(row.spec);
    if (row.spec.state != EndpointState::Live || row.traffic.share <= 0) {
        return;
    }
    for (EndpointPool* pool : served) {
        pool->all.push_back(endpoint);
        pool->byZone[row.zone].push_back(endpoint);
        pool->byRegion[row.region].push_back(endpoint);
    }
}

void EndpointTable::removeFromPools(EndpointId endpoint)
{
    const Row& row = this->rows[endpoint];
    for (EndpointPool* pool : this->poolsOf(row.spec)) {
        std::erase(pool->all, endpoint);
        std::erase(pool->byZone[row.zone], endpoint);
        std::erase(pool->byRegion[row.region], endpoint);
    }
}

} // namespace lagoontiller::policy
