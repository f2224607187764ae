#pragma once

#include "bench/fakes/PrefixCache.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lagoontiller::fakes {

/// \brief State of an engine at one moment.
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
    /// \brief The state as it was `lag` before `now`; an idle engine before the first sample.
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
    /// \brief Value for `after` of the next request.
    std::uint64_t next = 0;
};

/// \brief Cache events of an engine: visible after a lag, some lost, and only the newest ones kept.
class CacheEventLog {
public:
    /// \brief Gives the change the next sequence number; every `gapEvery`-th change is lost, unless that is 0.
    void add(const CacheChange& change, core::TimePoint visibleFrom, std::uint64_t gapEvery);
    [[nodiscard]] CacheEventPage after(std::uint64_t sequence, core::TimePoint now) const;

private:
    std::deque<CacheEvent> kept;
    std::uint64_t last = 0;
};

} // namespace lagoontiller::fakes
