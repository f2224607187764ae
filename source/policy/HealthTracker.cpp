#include "policy/HealthTracker.h"

#include <algorithm>

namespace lagoontiller::policy {

std::vector<HealthChange> HealthTracker::upsert(
    EndpointId endpoint, ServiceId service, EndpointState state, core::TimePoint now)
{
    std::vector<HealthChange> changes;
    if (state == EndpointState::Live) {
        if (this->endpoints.contains(endpoint)) {
            return changes;
        }
        Endpoint& added = this->endpoints[endpoint];
        added.service = service;
        this->services[service].insert(endpoint);
        if (this->removedEndpoints.erase(endpoint) > 0) {
            added.state = HealthState::SlowStart;
            added.slowStartAt = now;
            this->unhealthy.insert(endpoint);
        }
        changes.push_back(this->trafficChange(endpoint, now));
        return changes;
    }
    if (this->endpoints.erase(endpoint) > 0) {
        this->removedEndpoints.insert(endpoint);
        this->services[service].erase(endpoint);
        this->unhealthy.erase(endpoint);
        this->enforceEjectionLimit(service, now, changes);
    }
    return changes;
}

std::vector<HealthChange> HealthTracker::sent(EndpointId endpoint, core::TimePoint now)
{
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end() || entry->second.state != HealthState::Probing || entry->second.probeInFlight
        || !this->ejectionAllowed(entry->second)) {
        return {};
    }
    entry->second.probeInFlight = true;
    return { this->trafficChange(endpoint, now) };
}

std::vector<HealthChange> HealthTracker::succeeded(EndpointId endpoint, double latency, core::TimePoint now)
{
    constexpr double smoothingFactor = 0.2;
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end()) {
        return {};
    }
    Endpoint& tracked = entry->second;
    tracked.consecutiveSilences = 0;
    tracked.consecutiveFailures = 0;
    tracked.latency
        = tracked.latencySamples == 0 ? latency : tracked.latency + smoothingFactor * (latency - tracked.latency);
    tracked.latencySamples += 1;
    if (tracked.state != HealthState::Probing) {
        return {};
    }
    tracked.state = HealthState::SlowStart;
    tracked.slowStartAt = now;
    tracked.probeInFlight = false;
    return { this->trafficChange(endpoint, now) };
}

std::vector<HealthChange> HealthTracker::failed(EndpointId endpoint, FailureKind kind, core::TimePoint now)
{
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end()) {
        return {};
    }
    Endpoint& tracked = entry->second;
    // A refusal due to overload or a cancelled call says nothing about the health of the endpoint.
    if (kind == FailureKind::Overloaded || kind == FailureKind::Cancelled) {
        const bool probe = tracked.probeInFlight;
        tracked.probeInFlight = false;
        return probe ? std::vector { this->trafficChange(endpoint, now) } : std::vector<HealthChange> {};
    }
    tracked.consecutiveSilences += kind == FailureKind::Silent ? 1 : 0;
    tracked.consecutiveFailures += 1;
    const bool shouldEject = isEndpointLoss(kind) || tracked.consecutiveSilences >= this->options.silenceLimit
        || tracked.consecutiveFailures >= this->options.failureLimit || tracked.state == HealthState::Probing;
    if (!shouldEject || tracked.state == HealthState::Ejected) {
        return {};
    }
    this->eject(endpoint, tracked, now);
    return { this->trafficChange(endpoint, now) };
}

std::vector<HealthChange> HealthTracker::tick(core::TimePoint now)
{
    std::vector<HealthChange> changes;
    for (const auto& service : this->services) {
        this->compareLatencies(service.first, now, changes);
    }
    for (auto next = this->unhealthy.begin(); next != this->unhealthy.end();) {
        const EndpointId id = *next;
        ++next;
        Endpoint& endpoint = this->endpoints.at(id);
        if (endpoint.state == HealthState::Ejected && now >= endpoint.ejectedUntil) {
            endpoint.state = HealthState::Probing;
            endpoint.probeInFlight = false;
            changes.push_back(this->trafficChange(id, now));
        } else if (endpoint.state == HealthState::SlowStart) {
            if (now - endpoint.slowStartAt >= this->options.slowStartTime) {
                endpoint.state = HealthState::Healthy;
                this->unhealthy.erase(id);
            }
            changes.push_back(this->trafficChange(id, now));
        }
    }
    return changes;
}

HealthState HealthTracker::state(EndpointId endpoint) const
{
    const auto entry = this->endpoints.find(endpoint);
    return entry == this->endpoints.end() ? HealthState::Ejected : entry->second.state;
}

TrafficShare HealthTracker::traffic(EndpointId endpoint, core::TimePoint now) const
{
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end() || entry->second.withoutTraffic()) {
        return { 0, false };
    }
    switch (entry->second.state) {
    case HealthState::Probing:
        return { this->options.probeShare, true };
    case HealthState::SlowStart: {
        const double elapsed
            = microseconds(now - entry->second.slowStartAt) / microseconds(this->options.slowStartTime);
        return { std::clamp(elapsed, this->options.probeShare, 1.0), false };
    }
    default:
        return { 1, false };
    }
}

std::pair<std::size_t, std::size_t> HealthTracker::countEjected(ServiceId service) const
{
    const auto entry = this->services.find(service);
    if (entry == this->services.end()) {
        return { 0, 0 };
    }
    const auto without = [this](EndpointId id) { return this->endpoints.at(id).withoutTraffic(); };
    const auto count = std::count_if(entry->second.begin(), entry->second.end(), without);
    return { static_cast<std::size_t>(count), entry->second.size() };
}

bool HealthTracker::ejectionAllowed(const Endpoint& endpoint) const
{
    const auto [without, live] = this->countEjected(endpoint.service);
    return without + (endpoint.withoutTraffic() ? 0 : 1) <= live / 2;
}

void HealthTracker::eject(EndpointId id, Endpoint& endpoint, core::TimePoint now)
{
    constexpr int maxDoublings = 16;
    this->unhealthy.insert(id);
    endpoint.consecutiveSilences = 0;
    endpoint.consecutiveFailures = 0;
    endpoint.latencySamples = 0;
    if (!this->ejectionAllowed(endpoint)) {
        endpoint.state = HealthState::SlowStart;
        endpoint.slowStartAt = now;
        endpoint.probeInFlight = false;
        return;
    }
    if (now - endpoint.lastEjection > this->options.ejectionResetInterval) {
        endpoint.ejections = 0;
    }
    const auto time = this->options.minEjectionTime * (1 << std::min(endpoint.ejections, maxDoublings));
    endpoint.ejections += 1;
    endpoint.lastEjection = now;
    endpoint.state = HealthState::Ejected;
    endpoint.probeInFlight = false;
    endpoint.ejectedUntil = now + std::min<core::Duration>(time, this->options.maxEjectionTime);
}

void HealthTracker::enforceEjectionLimit(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes)
{
    while (true) {
        const auto [without, live] = this->countEjected(service);
        if (without <= live / 2) {
            return;
        }
        Endpoint* earliest = nullptr;
        EndpointId earliestId = 0;
        for (const EndpointId id : this->services[service]) {
            Endpoint& endpoint = this->endpoints.at(id);
            if (endpoint.withoutTraffic() && (earliest == nullptr || endpoint.ejectedUntil < earliest->ejectedUntil)) {
                earliest = &endpoint;
                earliestId = id;
            }
        }
        earliest->state = HealthState::SlowStart;
        earliest->slowStartAt = now;
        earliest->probeInFlight = false;
        changes.push_back(this->trafficChange(earliestId, now));
    }
}

void HealthTracker::compareLatencies(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes)
{
    std::vector<std::pair<double, EndpointId>> sampled;
    for (const EndpointId id : this->services[service]) {
        const Endpoint& endpoint = this->endpoints.at(id);
        if (!endpoint.withoutTraffic() && endpoint.latencySamples >= this->options.minLatencySamples) {
            sampled.emplace_back(endpoint.latency, id);
        }
    }
    if (sampled.size() < this->options.minSampledEndpoints) {
        return;
    }
    // With an even count the lower median is used, so that two slow endpoints of four do not raise the limit for each
    // other.
    const auto middle = sampled.begin() + static_cast<std::ptrdiff_t>((sampled.size() - 1) / 2);
    std::nth_element(sampled.begin(), middle, sampled.end());
    const double limit = middle->first * this->options.slowLatencyRatio;
    for (const auto& [latency, id] : sampled) {
        Endpoint& endpoint = this->endpoints.at(id);
        if (latency > limit && this->ejectionAllowed(endpoint)) {
            this->eject(id, endpoint, now);
            changes.push_back(this->trafficChange(id, now));
        }
    }
}

HealthChange HealthTracker::trafficChange(EndpointId endpoint, core::TimePoint now) const
{
    return { endpoint, this->traffic(endpoint, now) };
}

} // namespace lagoontiller::policy
