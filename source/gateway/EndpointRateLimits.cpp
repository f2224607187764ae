#include "gateway/EndpointRateLimits.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Lowest share at which a node sends calls; below it the limit has expired before the next call.
constexpr double minShare = 1e-3;

core::Duration interval(double share)
{
    return core::Duration(static_cast<core::Duration::rep>(1e6 / std::max(share, minShare)));
}

/// \brief Retention for nodes without a share. They learn only from the rows of the endpoint's zone how the limit
/// changes, and read those of other zones rarely.
constexpr core::Duration unsharedRetention = std::chrono::seconds(60);

} // namespace

bool EndpointRateLimits::isInForce(const Observation& observation, core::TimePoint now)
{
    return observation.perSecond
        && now - observation.observedAt <= (observation.share < minShare ? unsharedRetention : rateLimitRetention);
}

void EndpointRateLimits::setMembers(ZoneMembers next, core::TimePoint now)
{
    if (this->members == next)
        return;
    this->members = std::move(next);
    for (auto& [id, observation] : this->observations) {
        if (!observation.perSecond)
            continue;
        observation.share = rateLimitShare(id, observation.zone, *observation.perSecond, this->members);
        observation.nextSendAt = std::min(observation.nextSendAt, now + interval(observation.share));
    }
}

void EndpointRateLimits::observe(const Endpoint& endpoint, std::optional<double> perSecond, core::TimePoint sentAt,
    std::uint64_t storeTimeMs, core::TimePoint now)
{
    const auto* const known = this->find(endpoint, now);
    if (!perSecond && (known == nullptr || sentAt < known->observedAt))
        return;
    this->update(endpoint, { endpoint.startedAt, endpoint.zone, perSecond, storeTimeMs, now, true, 0, {} }, now);
}

void EndpointRateLimits::merge(
    const Endpoint& endpoint, const RateLimitReport& report, std::uint64_t storeTimeMs, core::TimePoint now)
{
    const auto age
        = std::chrono::milliseconds(storeTimeMs > report.observedAtMs ? storeTimeMs - report.observedAtMs : 0);
    if (report.startedAt != endpoint.startedAt || age > rateLimitRetention)
        return;
    const auto known = this->observations.find(endpoint.id);
    const bool isKnown = known != this->observations.end() && known->second.startedAt == endpoint.startedAt;
    if (isKnown ? known->second.observedAtMs >= report.observedAtMs : !report.perSecond)
        return;
    this->update(endpoint,
        { endpoint.startedAt, endpoint.zone, report.perSecond, report.observedAtMs, now - age, false, 0, {} }, now);
}

void EndpointRateLimits::update(const Endpoint& endpoint, const Observation& latest, core::TimePoint now)
{
    const auto* const known = this->find(endpoint, now);
    auto next = latest;
    if (next.perSecond) {
        next.share = rateLimitShare(endpoint.id, endpoint.zone, *next.perSecond, this->members);
        next.nextSendAt = now + interval(next.share);
        if (known != nullptr)
            next.nextSendAt = std::min(known->nextSendAt, next.nextSendAt);
    }
    if ((known == nullptr ? std::nullopt : known->perSecond) != next.perSecond) {
        core::logInfo("endpoint_limit")
            .with("endpoint", endpoint.id)
            .with("per_second", next.perSecond.value_or(-1))
            .with("share", next.share)
            .with("source", next.own ? "response" : "peer");
    }
    this->observations[endpoint.id] = std::move(next);
}

const EndpointRateLimits::Observation* EndpointRateLimits::find(const Endpoint& endpoint, core::TimePoint now) const
{
    const auto found = this->observations.find(endpoint.id);
    const bool known = found != this->observations.end() && found->second.startedAt == endpoint.startedAt;
    return known && isInForce(found->second, now) ? &found->second : nullptr;
}

std::vector<RateLimitReport> EndpointRateLimits::reports(core::TimePoint now) const
{
    std::vector<RateLimitReport> result;
    for (const auto& [id, each] : this->observations) {
        if (each.own && now - each.observedAt <= rateLimitRetention)
            result.push_back({ id, each.startedAt, each.perSecond, each.observedAtMs });
    }
    return result;
}

bool EndpointRateLimits::isLimited(const Endpoint& endpoint, core::TimePoint now) const
{
    return this->find(endpoint, now) != nullptr;
}

std::optional<core::TimePoint> EndpointRateLimits::earliestSend(const Endpoint& endpoint, core::TimePoint now) const
{
    const auto* const known = this->find(endpoint, now);
    if (known == nullptr)
        return now;
    if (known->share < minShare)
        return std::nullopt;
    return std::max(now, known->nextSendAt);
}

core::TimePoint EndpointRateLimits::reserve(const Endpoint& endpoint, core::TimePoint now)
{
    const auto at = this->earliestSend(endpoint, now).value_or(now);
    if (this->isLimited(endpoint, now)) {
        auto& known = this->observations.at(endpoint.id);
        known.nextSendAt = at + interval(known.share);
    }
    return at;
}

double EndpointRateLimits::share(const Endpoint& endpoint, core::TimePoint now) const
{
    const auto* const known = this->find(endpoint, now);
    return known == nullptr ? 0 : known->share;
}

void EndpointRateLimits::tick(core::TimePoint now)
{
    std::erase_if(this->observations, [now](const auto& entry) {
        return now - entry.second.observedAt > rateLimitRetention && !isInForce(entry.second, now);
    });
}

std::size_t EndpointRateLimits::limitedEndpoints(core::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->observations.begin(), this->observations.end(),
        [now](const auto& entry) { return isInForce(entry.second, now); }));
}

} // namespace lagoontiller::gateway
