#include "gateway/StopSchedule.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Minimum time for which the node accepts connections: entry responses name it until the next heartbeat.
constexpr core::Duration minAcceptTime = std::chrono::milliseconds(1'000);
/// \brief Time for which a node without calls accepts connections: most callers have asked for new addresses then.
constexpr core::Duration idleAcceptTime = std::chrono::milliseconds(3'000);
/// \brief Time before SIGKILL at which the process ends the calls in progress itself.
constexpr core::Duration killReserve = std::chrono::milliseconds(400);
/// \brief Time before the end of the calls from which no connections are accepted.
constexpr core::Duration acceptLead = std::chrono::milliseconds(1'500);

} // namespace

StopSchedule::StopSchedule(core::TimePoint startedAt, core::Duration grace) noexcept
    : startedAt(startedAt)
    , end(startedAt + std::max(grace - killReserve, core::Duration::zero()))
{
}

bool StopSchedule::mayStopAccepting(bool idle, core::Duration longestCall, core::TimePoint now) const noexcept
{
    const auto longestCallsRefused = std::max(this->end - longestCall, this->startedAt + minAcceptTime);
    const auto earliestIdle = std::min(this->startedAt + idleAcceptTime, this->end);
    return now > this->end - acceptLead || now > longestCallsRefused || (idle && now > earliestIdle);
}

} // namespace lagoontiller::gateway
