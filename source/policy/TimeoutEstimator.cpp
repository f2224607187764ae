#include "policy/TimeoutEstimator.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

constexpr double microsecondsPerMs = 1'000;

} // namespace

void DurationDistribution::observe(core::Duration duration)
{
    const double ms = std::max(1.0, static_cast<double>(duration.count()) / microsecondsPerMs);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ms) * bucketsPerDoubling));
    this->counts[std::min(bucket, bucketCount - 1)] += 1;
    this->total += 1;
    if (this->total < halvingThreshold) {
        return;
    }
    this->total = 0;
    for (std::uint32_t& count : this->counts) {
        count /= 2;
        this->total += count;
    }
}

core::Duration DurationDistribution::quantile(double probability) const
{
    if (this->total == 0) {
        return {};
    }
    const double rank = probability * this->total;
    std::uint32_t below = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        below += this->counts[bucket];
        if (below >= rank && below > 0) {
            break;
        }
    }
    const double ms = std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    return core::Duration(static_cast<std::int64_t>(ms * microsecondsPerMs));
}

TimeoutBounds timeoutBounds(TimeoutKind kind) noexcept
{
    using std::chrono::seconds;
    switch (kind) {
    case TimeoutKind::FirstByte:
        return { seconds(2), seconds(120) };
    case TimeoutKind::InterToken:
        return { seconds(1), seconds(30) };
    default:
        return { seconds(1), seconds(600) };
    }
}

void TimeoutEstimator::observe(const std::string& service, TimeoutKind kind, core::Duration duration)
{
    this->distributions[{ service, kind }].observe(duration);
}

void TimeoutEstimator::remove(const std::string& service)
{
    std::erase_if(this->distributions, [&service](const auto& each) { return each.first.first == service; });
}

core::Duration TimeoutEstimator::timeout(const std::string& service, TimeoutKind kind) const
{
    constexpr double timeoutQuantile = 0.99;
    constexpr int timeoutMultiple = 2;
    const TimeoutBounds bounds = timeoutBounds(kind);
    return std::clamp(
        this->quantile(service, kind, timeoutQuantile, bounds.max) * timeoutMultiple, bounds.min, bounds.max);
}

core::Duration TimeoutEstimator::quantile(
    const std::string& service, TimeoutKind kind, double probability, core::Duration fallback) const
{
    const auto entry = this->distributions.find({ service, kind });
    if (entry == this->distributions.end() || entry->second.sampleCount() < minSamples) {
        return fallback;
    }
    return entry->second.quantile(probability);
}

} // namespace lagoontiller::policy
