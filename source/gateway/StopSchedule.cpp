#include "gateway/StopSchedule.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Minimum time for which the node accepts connections: most callers have asked for new addresses then.
constexpr core::Duration minAcceptTime = std::chrono::milliseconds(3'000);
/// \brief Time before SIGKILL at which the process ends the calls in progress itself.
constexpr core::Duration killReserve = std::chrono::milliseconds(400);
/// \brief Time before the end of the calls from which no connections are accepted.
constexpr core::Duration acceptLead = std::chrono::milliseconds(1'500);
/// \brief Margin of the longest recent call: calls may slow down while other nodes stop, too.
constexpr int longestCallFactor = 2;
constexpr core::Duration longestCallMargin = std::chrono::milliseconds(200);

} // namespace

StopSchedule::StopSchedule(core::TimePoint startedAt, core::Duration grace) noexcept
    : startedAt(startedAt)
    , end(startedAt + std::max(grace - killReserve, core::Duration::zero()))
{
}

bool StopSchedule::admits(
    core::TimePoint deadline, std::optional<core::Duration> longestCall, core::TimePoint now) const noexcept
{
    const auto expectedEnd = longestCall ? now + *longestCall * longestCallFactor + longestCallMargin : deadline;
    return std::min(deadline, expectedEnd) <= this->end;
}

bool StopSchedule::mayStopAccepting(bool idle, core::TimePoint now) const noexcept
{
    const auto earliest = std::min(this->startedAt + minAcceptTime, this->end);
    return now > this->end - acceptLead || (idle && now > earliest);
}

} // namespace lagoontiller::gateway
