#pragma once

#include "policy/Types.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace lagoontiller::policy {

/// \brief Learns how long programs pause for each tool.
class PauseEstimator {
public:
    explicit PauseEstimator(std::size_t maxTools = 1'024)
        : maxTools(maxTools)
    {
    }

    /// \brief Observes an ended pause; when the bound is reached the tool observed longest ago is dropped.
    void observe(const std::string& tool, core::Duration pause, core::TimePoint now);
    /// \brief Expected remaining pause after `elapsed`. A pause that exceeds the expectation is expected to last as
    /// long again, since long pauses have heavy tails.
    [[nodiscard]] core::Duration expected(const std::string& tool, core::Duration elapsed = {}) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->tools.size(); }

private:
    struct Tool {
        /// \brief Smoothed logarithm of the pause in microseconds.
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
    /// \brief Share of used KV memory below which keeping costs nothing.
    double freePressureLimit = 0.7;
    /// \brief Time in which a full engine replaces its whole cache.
    core::Duration cacheTurnoverTime = std::chrono::seconds(60);
    /// \brief Longest pause for which memory of an engine is kept.
    core::Duration maxKeepTime = std::chrono::minutes(10);
    double exportBytesPerMs = 1'000'000;
    double regionLinkBytesPerMs = 12'500;
    double prefillTokensPerMs = 8;
    double billedMsPerMegabyte = 100;
};

/// \brief The cache of a program that waits for a tool.
struct PausedCache {
    core::Duration expectedPause {};
    std::uint32_t tokens = 0;
    std::uint64_t kvBytes = 0;
    /// \brief Used part of the engine's KV memory, 0 to 1.
    double memoryPressure = 0;
    /// \brief Probability that the program sends another turn.
    double returnProbability = 1;
    bool canExport = false;
};

/// \brief The cheapest of: keeping (others recompute what is displaced), exporting and importing, dropping and
/// recomputing. Equal costs keep.
[[nodiscard]] CacheAction decidePausedCache(const PausedCache& cache, const PauseCacheOptions& options);

/// \brief A KV cache on another endpoint than the one chosen for the next turn.
struct KvMove {
    std::uint32_t tokens = 0;
    std::uint64_t kvBytes = 0;
    bool crossRegion = false;
    double latencyWeight = 1;
    double wastedCacheWeight = 1;
};

/// \brief Whether moving is cheaper than recomputing, billed cross-region bytes included, by the service's weights.
[[nodiscard]] bool shouldMoveKv(const KvMove& move, const PauseCacheOptions& options);

} // namespace lagoontiller::policy
