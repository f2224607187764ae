#include "gateway/RetrySchedule.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

constexpr double minAcceptedPerSecond = 0.2;
constexpr core::Duration minRetryAfter = std::chrono::milliseconds(50);
/// \brief Callers that would return later than this are told to return then; the limits may have ended.
constexpr core::Duration maxRetryAfter = std::chrono::seconds(5);

} // namespace

core::Duration RetrySchedule::assign(bool newProgram, core::TimePoint earliest, double perSecond, core::TimePoint now)
{
    const auto spacing
        = core::Duration(static_cast<core::Duration::rep>(1e6 / std::max(perSecond, minAcceptedPerSecond)));
    auto& last = newProgram ? this->lastAny : this->lastUnderWay;
    last = std::max(earliest, last + spacing);
    this->lastAny = std::max(this->lastAny, last);
    last = std::min(last, now + maxRetryAfter);
    this->lastAny = std::min(this->lastAny, now + maxRetryAfter);
    return std::clamp<core::Duration>(last - now, minRetryAfter, maxRetryAfter);
}

} // namespace lagoontiller::gateway
