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
        if (this->departed.erase(endpoint) > 0) {
            added.state = HealthState::SlowStart;
            added.since = now;
            this->unhealthy.insert(endpoint);
        }
        changes.push_back(this->change(endpoint, now));
        return changes;
    }
    if (this->endpoints.erase(endpoint) > 0) {
        this->departed.insert(endpoint);
        this->services[service].erase(endpoint);
        this->unhealthy.erase(endpoint);
        this->restoreBound(service, now, changes);
    }
    return changes;
}

std::vector<HealthChange> HealthTracker::sent(EndpointId endpoint, core::TimePoint now)
{
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end() || entry->second.state != HealthState::Probing || entry->second.probeInFlight
        || !this->mayLoseTraffic(entry->second)) {
        return {};
    }
    entry->second.probeInFlight = true;
    return { this->change(endpoint, now) };
}

std::vector<HealthChange> HealthTracker::succeeded(EndpointId endpoint, double latency, core::TimePoint now)
{
    constexpr double smoothing = 0.2;
    const auto entry = this->endpoints.find(endpoint);
    if (entry == this->endpoints.end()) {
        return {};
    }
    Endpoint& found = entry->second;
    found.silences = 0;
    found.failures = 0;
    found.latency = found.latencySamples == 0 ? latency : found.latency + smoothing * (latency - found.latency);
    found.latencySamples += 1;
    if (found.state != HealthState::Probing) {
        return {};
    }
    found.state = HealthState::SlowStart;
    found.since = now;
    found.probeInFlight = false;
    return { this->change(endpoint, now) };
}

std::vector<HealthChange> HealthTracker::failed(EndpointId endpoint, FailureKind kind, core::TimePoint now)
{
    const auto entry = this->endpoints.find(endpoint);
    // A refusal for overload or a cancelled call says nothing about the health of the endpoint.
    if (entry == this->endpoints.end()) {
        return {};
    }
    Endpoint& found = entry->second;
    if (kind == FailureKind::Overloaded || kind == FailureKind::Cancelled) {
        const bool probe = found.probeInFlight;
        found.probeInFlight = false;
        return probe ? std::vector { this->change(endpoint, now) } : std::vector<HealthChange> {};
    }
    found.silences += kind == FailureKind::Silent ? 1 : 0;
    found.failures += 1;
    const bool due = isEndpointLoss(kind) || found.silences >= this->options.silences
        || found.failures >= this->options.otherFailures || found.state == HealthState::Probing;
    if (!due || found.state == HealthState::Ejected) {
        return {};
    }
    this->eject(endpoint, found, now);
    return { this->change(endpoint, now) };
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
        if (endpoint.state == HealthState::Ejected && now >= endpoint.until) {
            endpoint.state = HealthState::Probing;
            endpoint.probeInFlight = false;
            changes.push_back(this->change(id, now));
        } else if (endpoint.state == HealthState::SlowStart) {
            if (now - endpoint.since >= this->options.slowStart) {
                endpoint.state = HealthState::Healthy;
                this->unhealthy.erase(id);
            }
            changes.push_back(this->change(id, now));
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
        const double elapsed = microseconds(now - entry->second.since) / microseconds(this->options.slowStart);
        return { std::clamp(elapsed, this->options.probeShare, 1.0), false };
    }
    default:
        return { 1, false };
    }
}

std::pair<std::size_t, std::size_t> HealthTracker::ejected(ServiceId service) const
{
    const auto entry = this->services.find(service);
    if (entry == this->services.end()) {
        return { 0, 0 };
    }
    const auto without = [this](EndpointId id) { return this->endpoints.at(id).withoutTraffic(); };
    const auto count = std::count_if(entry->second.begin(), entry->second.end(), without);
    return { static_cast<std::size_t>(count), entry->second.size() };
}

bool HealthTracker::mayLoseTraffic(const Endpoint& endpoint) const
{
    const auto [without, live] = this->ejected(endpoint.service);
    return without + (endpoint.withoutTraffic() ? 0 : 1) <= live / 2;
}

void HealthTracker::eject(EndpointId id, Endpoint& endpoint, core::TimePoint now)
{
    constexpr int maximumDoublings = 16;
    this->unhealthy.insert(id);
    endpoint.silences = 0;
    endpoint.failures = 0;
    endpoint.latencySamples = 0;
    if (!this->mayLoseTraffic(endpoint)) {
        endpoint.state = HealthState::SlowStart;
        endpoint.since = now;
        endpoint.probeInFlight = false;
        return;
    }
    if (now - endpoint.lastEjection > this->options.forgetEjections) {
        endpoint.ejections = 0;
    }
    const auto time = this->options.firstEjection * (1 << std::min(endpoint.ejections, maximumDoublings));
    endpoint.ejections += 1;
    endpoint.lastEjection = now;
    endpoint.state = HealthState::Ejected;
    endpoint.probeInFlight = false;
    endpoint.until = now + std::min<core::Duration>(time, this->options.longestEjection);
}

void HealthTracker::restoreBound(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes)
{
    while (true) {
        const auto [without, live] = this->ejected(service);
        if (without <= live / 2) {
            return;
        }
        Endpoint* earliest = nullptr;
        EndpointId earliestId = 0;
        for (const EndpointId id : this->services[service]) {
            Endpoint& endpoint = this->endpoints.at(id);
            if (endpoint.withoutTraffic() && (earliest == nullptr || endpoint.until < earliest->until)) {
                earliest = &endpoint;
                earliestId = id;
            }
        }
        earliest->state = HealthState::SlowStart;
        earliest->since = now;
        earliest->probeInFlight = false;
        changes.push_back(this->change(earliestId, now));
    }
}

void HealthTracker::compareLatencies(ServiceId service, core::TimePoint now, std::vector<HealthChange>& changes)
{
    std::vector<std::pair<double, EndpointId>> sampled;
    for (const EndpointId id : this->services[service]) {
        const Endpoint& endpoint = this->endpoints.at(id);
        if (!endpoint.withoutTraffic() && endpoint.latencySamples >= this->options.minimumSlowSamples) {
            sampled.emplace_back(endpoint.latency, id);
        }
    }
    if (sampled.size() < this->options.minimumSampledEndpoints) {
        return;
    }
    // With an even count the lower median is used: two slow endpoints of four must not hide each other.
    const auto middle = sampled.begin() + static_cast<std::ptrdiff_t>((sampled.size() - 1) / 2);
    std::nth_element(sampled.begin(), middle, sampled.end());
    const double limit = middle->first * this->options.slowMultiple;
    for (const auto& [latency, id] : sampled) {
        Endpoint& endpoint = this->endpoints.at(id);
        if (latency > limit && this->mayLoseTraffic(endpoint)) {
            this->eject(id, endpoint, now);
            changes.push_back(this->change(id, now));
        }
    }
}

HealthChange HealthTracker::change(EndpointId endpoint, core::TimePoint now) const
{
    return { endpoint, this->traffic(endpoint, now) };
}

} // namespace lagoontiller::policy
