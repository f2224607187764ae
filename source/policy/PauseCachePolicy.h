#pragma once

#include "policy/Types.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace lagoontiller::policy {

/// \brief Estimates how long programs pause for each tool, from observed pauses.
class PauseEstimator {
public:
    explicit PauseEstimator(std::size_t maxTools = 1'024)
        : maxTools(maxTools)
    {
    }

    /// \brief Records the length of an ended pause. Beyond the maximum number of tools, the tool whose last observation
    /// is oldest is forgotten.
    void observe(const std::string& tool, core::Duration pause, core::TimePoint now);
    /// \brief Returns the expected remaining pause after `elapsed`. A pause that has exceeded the expectation is
    /// expected to last for `elapsed` again, since pause lengths are heavy-tailed.
    [[nodiscard]] core::Duration expected(const std::string& tool, core::Duration elapsed = {}) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->tools.size(); }

private:
    struct Tool {
        /// \brief Exponentially smoothed natural logarithm of the pause in microseconds.
        double logMicroseconds = 0;
        core::TimePoint observedAt {};
    };

    std::size_t maxTools;
    std::map<std::string, Tool> tools;
    std::set<std::pair<core::TimePoint, std::string>> byObservedAt;
};

enum class CacheAction : int {
    Keep,
    Export,
    Drop,
};

struct PauseCacheOptions {
    /// \brief Used fraction of the KV memory up to which keeping a cache costs nothing.
    double freePressureLimit = 0.7;
    /// \brief Time in which an engine with full KV memory replaces its whole cache.
    core::Duration cacheTurnoverTime = std::chrono::seconds(60);
    /// \brief Longest expected pause for which a cache is kept in the memory of the engine.
    core::Duration maxKeepTime = std::chrono::minutes(10);
    double exportBytesPerMs = 1'000'000;
    double regionLinkBytesPerMs = 12'500;
    double prefillTokensPerMs = 8;
    /// \brief Price of billed cross-region traffic in milliseconds of recomputation per megabyte.
    double billedMsPerMegabyte = 100;
};

/// \brief KV cache of a program that waits for a tool.
struct PausedCache {
    core::Duration expectedPause {};
    std::uint32_t tokens = 0;
    std::uint64_t kvBytes = 0;
    /// \brief Used fraction of the engine's KV memory, 0 to 1.
    double memoryPressure = 0;
    /// \brief Probability that the program sends another turn.
    double returnProbability = 1;
    bool canExport = false;
};

/// \brief Returns the cheapest action for the cache: keep it (which evicts caches that other programs then recompute),
/// export and later import it, or drop and recompute it. At equal cost the cache is kept. It is not kept when the
/// expected pause exceeds `maxKeepTime`.
[[nodiscard]] CacheAction decidePausedCache(const PausedCache& cache, const PauseCacheOptions& options);

/// \brief Transfer of a KV cache to the endpoint chosen for the next turn from the endpoint that holds it.
struct KvMove {
    std::uint32_t tokens = 0;
    std::uint64_t kvBytes = 0;
    bool crossRegion = false;
    double latencyWeight = 1;
    double wastedCacheWeight = 1;
};

/// \brief Returns whether the transfer, including billed cross-region bytes, costs less than recomputing the tokens.
/// The costs are weighted by the service's latency and wasted cache weights.
[[nodiscard]] bool shouldMoveKv(const KvMove& move, const PauseCacheOptions& options);

} // namespace lagoontiller::policy
