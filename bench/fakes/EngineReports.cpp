#include "bench/fakes/EngineReports.h"

#include <algorithm>

namespace lagoontiller::fakes {

namespace {

// Older events are discarded; a reader that lags further behind sees a gap.
constexpr std::size_t maxKeptEvents = 10'000;
constexpr std::size_t eventsPerPage = 1'000;

} // namespace

void LoadHistory::add(const LoadSample& sample, core::Duration lag)
{
    this->samples.push_back(sample);
    while (this->samples.size() > 1 && this->samples[1].sampledAt <= sample.sampledAt - lag)
        this->samples.pop_front();
}

LoadSample LoadHistory::at(core::TimePoint now, core::Duration lag) const
{
    LoadSample result;
    for (const auto& sample : this->samples) {
        if (sample.sampledAt > now - lag)
            break;
        result = sample;
    }
    result.sampledAt = now - lag;
    return result;
}

void CacheEventLog::add(const CacheChange& change, core::TimePoint visibleFrom, std::uint64_t gapEvery)
{
    ++this->last;
    if (gapEvery > 0 && this->last % gapEvery == 0)
        return;
    this->kept.push_back({ this->last, change, visibleFrom });
    if (this->kept.size() > maxKeptEvents)
        this->kept.pop_front();
}

CacheEventPage CacheEventLog::after(std::uint64_t sequence, core::TimePoint now) const
{
    CacheEventPage page;
    page.next = sequence;
    const auto first = std::upper_bound(this->kept.begin(), this->kept.end(), sequence,
        [](std::uint64_t value, const CacheEvent& event) { return value < event.sequence; });
    for (auto event = first; event != this->kept.end() && page.events.size() < eventsPerPage; ++event) {
        if (event->visibleFrom > now)
            break;
        page.events.push_back(*event);
        page.next = event->sequence;
    }
    return page;
}

} // namespace lagoontiller::fakes
