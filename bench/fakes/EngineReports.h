#pragma once

#include "bench/fakes/PrefixCache.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lagoontiller::fakes {

/// \brief Load of an engine at one point in time.
struct LoadSample {
    core::TimePoint sampledAt;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvCapacity = 0;
    [[nodiscard]] bool operator==(const LoadSample&) const = default;
};

/// \brief Load samples that become visible after a lag.
class LoadHistory {
public:
    void add(const LoadSample& sample, core::Duration lag);
    /// \brief Load at `now - lag`; all counts are 0 before the first sample.
    [[nodiscard]] LoadSample at(core::TimePoint now, core::Duration lag) const;

private:
    std::deque<LoadSample> samples;
};

struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheChange change;
    core::TimePoint visibleFrom;
};

struct CacheEventPage {
    std::vector<CacheEvent> events;
    /// \brief Value of `after` for the next request.
    std::uint64_t next = 0;
};

/// \brief Bounded log of the cache events of an engine; events become visible after a lag and may be dropped.
class CacheEventLog {
public:
    /// \brief Assigns the next sequence number to the change; drops every `gapEvery`-th change unless that is 0.
    void add(const CacheChange& change, core::TimePoint visibleFrom, std::uint64_t gapEvery);
    [[nodiscard]] CacheEventPage after(std::uint64_t sequence, core::TimePoint now) const;

private:
    std::deque<CacheEvent> kept;
    std::uint64_t last = 0;
};

} // namespace lagoontiller::fakes
