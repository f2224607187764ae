#include "policy/PrefixDirectory.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

void PrefixDirectory::confirm(PrefixKey prefix, EndpointId endpoint, std::uint32_t tokens, core::TimePoint now)
{
    if (prefix == 0) {
        return;
    }
    EndpointCache& cache = this->cache(endpoint);
    if (this->prefixes.size() >= this->maxPrefixes && !this->prefixes.contains(prefix)) {
        this->evictOldest();
    }
    auto& holders = this->prefixes[prefix];
    const PrefixHolder confirmed { endpoint, tokens, now, cache.logSurvival, cache.generation };
    const auto same = [endpoint](const PrefixHolder& holder) { return holder.endpoint == endpoint; };
    const auto known = std::find_if(holders.begin(), holders.end(), same);
    if (known != holders.end()) {
        *known = confirmed;
        return;
    }
    if (holders.size() == maxHolders) {
        const auto older = [](const PrefixHolder& a, const PrefixHolder& b) { return a.confirmedAt < b.confirmedAt; };
        const auto oldest = std::min_element(holders.begin(), holders.end(), older);
        this->cache(oldest->endpoint).expectedPrefixes -= 1;
        holders.erase(oldest);
    }
    holders.push_back(confirmed);
    this->cache(endpoint).expectedPrefixes += 1;
}

void PrefixDirectory::apply(EndpointId endpoint, const CacheEvent& event)
{
    EndpointCache& cache = this->cache(endpoint);
    if (event.sequence <= cache.lastSequence) {
        return;
    }
    if (cache.lastSequence != 0 && event.sequence > cache.lastSequence + 1) {
        this->applyGap(cache, event.sequence - cache.lastSequence - 1);
    }
    cache.lastSequence = event.sequence;
    const auto entry = this->prefixes.find(event.prefix);
    const auto same = [endpoint](const PrefixHolder& holder) { return holder.endpoint == endpoint; };
    if (event.stored) {
        // Unknown prefixes belong to programs of other nodes, whose calls this node does not route.
        if (entry != this->prefixes.end()) {
            this->confirm(event.prefix, endpoint, event.tokens, event.at);
        }
        return;
    }
    if (entry == this->prefixes.end()) {
        return;
    }
    const auto holder = std::find_if(entry->second.begin(), entry->second.end(), same);
    if (holder != entry->second.end() && holder->confirmedAt < event.at) {
        this->removeHolder(event.prefix, endpoint);
    }
}

void PrefixDirectory::clear(EndpointId endpoint)
{
    EndpointCache& cache = this->cache(endpoint);
    cache.generation += 1;
    // A restarted engine numbers its events from the beginning.
    cache.lastSequence = 0;
}

void PrefixDirectory::release(PrefixKey prefix)
{
    const auto entry = this->prefixes.find(prefix);
    if (entry == this->prefixes.end()) {
        return;
    }
    for (const PrefixHolder& holder : entry->second) {
        this->cache(holder.endpoint).expectedPrefixes -= 1;
    }
    this->prefixes.erase(entry);
}

const std::vector<PrefixHolder>* PrefixDirectory::holders(PrefixKey prefix) const
{
    const auto entry = this->prefixes.find(prefix);
    return entry == this->prefixes.end() ? nullptr : &entry->second;
}

double PrefixDirectory::expectedTokens(const PrefixHolder& holder) const
{
    const EndpointCache& cache = this->caches[holder.endpoint];
    if (cache.generation != holder.cacheGeneration) {
        return 0;
    }
    return holder.tokens * std::exp(cache.logSurvival - holder.logSurvivalAtConfirmation);
}

PrefixDirectory::EndpointCache& PrefixDirectory::cache(EndpointId endpoint)
{
    if (endpoint >= this->caches.size()) {
        this->caches.resize(endpoint + 1);
    }
    return this->caches[endpoint];
}

void PrefixDirectory::applyGap(EndpointCache& cache, std::uint64_t missed)
{
    // A lower bound above 0 keeps the sum of logarithms finite.
    constexpr double minSurvivalRatio = 1e-3;
    const double expected = std::max<double>(1, static_cast<double>(cache.expectedPrefixes));
    cache.logSurvival += std::log(std::max(minSurvivalRatio, 1 - static_cast<double>(missed) / expected));
}

void PrefixDirectory::removeHolder(PrefixKey prefix, EndpointId endpoint)
{
    const auto entry = this->prefixes.find(prefix);
    std::erase_if(entry->second, [endpoint](const PrefixHolder& holder) { return holder.endpoint == endpoint; });
    this->cache(endpoint).expectedPrefixes -= 1;
    if (entry->second.empty()) {
        this->prefixes.erase(entry);
    }
}

void PrefixDirectory::evictOldest()
{
    // Approximates least recently used eviction at constant cost: the oldest of a few entries in (arbitrary) hash
    // order.
    constexpr int samples = 8;
    auto oldest = this->prefixes.begin();
    auto entry = oldest;
    for (int i = 0; i < samples && entry != this->prefixes.end(); ++i, ++entry) {
        if (entry->second.back().confirmedAt < oldest->second.back().confirmedAt) {
            oldest = entry;
        }
    }
    this->release(oldest->first);
}

} // namespace lagoontiller::policy
