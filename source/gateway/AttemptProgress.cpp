#include "gateway/AttemptProgress.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

constexpr std::size_t progressBytes = 1'024;
/// \brief A stream moves to another endpoint after this part of the caller's patience; the rest is for the first event
/// from there.
constexpr int patiencePercent = 60;
/// \brief An idempotent call is retried at another endpoint after this fraction of its time.
constexpr int idempotentTimeDivisor = 2;

} // namespace

void AttemptProgress::bodyReceived(std::size_t bytes, core::TimePoint now) noexcept
{
    this->bytesSinceProgress += bytes;
    if (this->bytesSinceProgress < progressBytes)
        return;
    this->bytesSinceProgress = 0;
    this->progressedAt = now;
}

core::Duration callerPatience(const Route& route) noexcept
{
    constexpr core::Duration minPatience = std::chrono::seconds(2);
    return std::max({ minPatience, route.targetLatency * 4, route.targetGap * 8 });
}

std::optional<core::Duration> inactivityLimit(const Route& route, core::Duration attemptTime) noexcept
{
    if (route.kind == CallKind::Idempotent)
        return attemptTime / idempotentTimeDivisor;
    if (route.kind == CallKind::Streaming && route.resumable)
        return callerPatience(route) * patiencePercent / 100;
    return std::nullopt;
}

} // namespace lagoontiller::gateway
