#include "gateway/EndpointPaths.h"

#include <algorithm>

namespace lagoontiller::gateway {

bool EndpointPaths::needsCheck(const transport::PoolActivity& activity, core::TimePoint now) const noexcept
{
    if (this->hasFailure)
        return true;
    const auto elapsed = [this, now](core::TimePoint since) { return now - std::max(since, this->observedSince); };
    if (activity.connectingSince && elapsed(*activity.connectingSince) >= maxConnectTime)
        return true;
    return activity.waitingSince && elapsed(*activity.waitingSince) >= maxSilence
        && elapsed(activity.heardAt) >= maxSilence;
}

std::size_t EndpointPaths::startProbes(
    const transport::PoolActivity& activity, std::size_t endpoints, core::TimePoint now) noexcept
{
    if (this->pending > 0 || endpoints == 0 || now < this->nextCheckAt)
        return 0;
    if (!this->lost && !this->needsCheck(activity, now))
        return 0;
    this->probes = this->lost && !this->reopening ? 1 : std::min(probesPerCheck, endpoints);
    this->pending = this->probes;
    this->accepted = 0;
    return this->probes;
}

void EndpointPaths::probeEnded(bool probeAccepted, core::TimePoint now) noexcept
{
    if (this->pending == 0)
        return;
    --this->pending;
    this->accepted += probeAccepted ? 1 : 0;
    // The first endpoint that accepts proves that the paths are open.
    if (!this->lost && probeAccepted) {
        this->hasFailure = false;
        this->nextCheckAt = now + openCheckInterval;
    }
    if (this->pending == 0)
        this->checkEnded(now);
}

void EndpointPaths::checkEnded(core::TimePoint now) noexcept
{
    if (!this->lost) {
        if (this->accepted == 0) {
            this->lost = true;
            this->lostSeveral = this->probes > 1;
            this->nextCheckAt = now + lostCheckInterval;
        }
        return;
    }
    const bool most = this->accepted * 2 > this->probes;
    if (this->reopening && most) {
        this->lost = false;
        this->hasFailure = false;
        this->reopenedAt = now;
        this->nextCheckAt = now + openCheckInterval;
    } else {
        this->nextCheckAt = most ? now : now + lostCheckInterval;
    }
    this->reopening = !this->reopening && most;
}

} // namespace lagoontiller::gateway
