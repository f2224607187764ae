#include "policy/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

void LoadEstimate::started(core::TimePoint now)
{
    this->ownRequestCount += 1;
    this->record(now);
}

void LoadEstimate::ended(core::TimePoint now)
{
    this->ownRequestCount -= std::min<std::uint32_t>(1, this->ownRequestCount);
    this->record(now);
}

bool LoadEstimate::report(const LoadReport& report)
{
    if (report.sampledAt <= this->lastSample) {
        return false;
    }
    this->lastSample = report.sampledAt;
    const double total = static_cast<double>(report.running) + report.waiting;
    this->otherRequestCount = std::max(0.0, total - this->ownAt(report.sampledAt));
    return true;
}

void LoadEstimate::reset()
{
    this->otherRequestCount = 0;
}

double LoadEstimate::expectedRequests(core::TimePoint now, double meanOtherRequests) const
{
    constexpr core::Duration maxFreshAge = std::chrono::seconds(2);
    constexpr double decayMicroseconds = 5e6;
    const core::Duration age = now - this->lastSample;
    if (age <= maxFreshAge) {
        return this->ownRequestCount + this->otherRequestCount;
    }
    const double weight = std::exp(-microseconds(age - maxFreshAge) / decayMicroseconds);
    return this->ownRequestCount + weight * this->otherRequestCount + (1 - weight) * meanOtherRequests;
}

void LoadEstimate::record(core::TimePoint now)
{
    this->history[this->changeCount % historySize] = OwnCountChange { now, this->ownRequestCount };
    this->changeCount += 1;
}

std::uint32_t LoadEstimate::ownAt(core::TimePoint time) const
{
    const std::uint32_t kept = std::min<std::uint32_t>(this->changeCount, historySize);
    for (std::uint32_t back = 1; back <= kept; ++back) {
        const OwnCountChange& change = this->history[(this->changeCount - back) % historySize];
        if (change.at <= time) {
            return change.count;
        }
    }
    return this->changeCount <= historySize ? 0 : this->history[this->changeCount % historySize].count;
}

} // namespace lagoontiller::policy
