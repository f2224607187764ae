#include "policy/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

void LoadEstimate::started(core::TimePoint now)
{
    this->ownCount += 1;
    this->record(now);
}

void LoadEstimate::ended(core::TimePoint now)
{
    this->ownCount -= std::min<std::uint32_t>(1, this->ownCount);
    this->record(now);
}

bool LoadEstimate::report(const LoadReport& report)
{
    if (report.sampledAt <= this->lastSample) {
        return false;
    }
    this->lastSample = report.sampledAt;
    const double total = static_cast<double>(report.running) + report.waiting;
    this->othersCount = std::max(0.0, total - this->ownAt(report.sampledAt));
    return true;
}

void LoadEstimate::reset()
{
    this->othersCount = 0;
}

double LoadEstimate::requests(core::TimePoint now, double meanOfOthers) const
{
    constexpr core::Duration fresh = std::chrono::seconds(2);
    constexpr double decayMicroseconds = 5e6;
    const core::Duration age = now - this->lastSample;
    if (age <= fresh) {
        return this->ownCount + this->othersCount;
    }
    const double weight = std::exp(-microseconds(age - fresh) / decayMicroseconds);
    return this->ownCount + weight * this->othersCount + (1 - weight) * meanOfOthers;
}

void LoadEstimate::record(core::TimePoint now)
{
    this->history[this->steps % historySize] = Step { now, this->ownCount };
    this->steps += 1;
}

std::uint32_t LoadEstimate::ownAt(core::TimePoint time) const
{
    const std::uint32_t kept = std::min<std::uint32_t>(this->steps, historySize);
    for (std::uint32_t back = 1; back <= kept; ++back) {
        const Step& step = this->history[(this->steps - back) % historySize];
        if (step.at <= time) {
            return step.count;
        }
    }
    return this->steps <= historySize ? 0 : this->history[this->steps % historySize].count;
}

} // namespace lagoontiller::policy
