#include "gateway/CallDurations.h"

#include <algorithm>

namespace lagoontiller::gateway {

void CallDurations::record(const std::string& route, core::Duration took, core::TimePoint now)
{
    const auto number = periodAt(now);
    auto& period = this->periodsByRoute[route][static_cast<std::size_t>(number) % periodCount];
    if (period.number != number)
        period = { number, {} };
    period.longest = std::max(period.longest, took);
}

std::optional<core::Duration> CallDurations::longest(const std::string& route, core::TimePoint now) const
{
    const auto found = this->periodsByRoute.find(route);
    if (found == this->periodsByRoute.end())
        return std::nullopt;
    std::optional<core::Duration> result;
    for (const auto& period : found->second) {
        if (period.number >= 0 && periodAt(now) - period.number < static_cast<std::int64_t>(periodCount))
            result = std::max(result.value_or(core::Duration::zero()), period.longest);
    }
    return result;
}

} // namespace lagoontiller::gateway
