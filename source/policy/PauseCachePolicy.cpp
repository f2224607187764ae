#include "policy/PauseCachePolicy.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

constexpr double bytesPerMegabyte = 1e6;

} // namespace

void PauseEstimator::observe(const std::string& tool, core::Duration pause, core::TimePoint now)
{
    constexpr double smoothingFactor = 0.2;
    const double logPause = std::log(std::max(1.0, microseconds(pause)));
    const auto [entry, added] = this->tools.try_emplace(tool, Tool { logPause, now });
    if (!added) {
        this->byObservedAt.erase({ entry->second.observedAt, tool });
        entry->second.logMicroseconds += smoothingFactor * (logPause - entry->second.logMicroseconds);
        entry->second.observedAt = now;
    }
    this->byObservedAt.emplace(now, tool);
    if (this->tools.size() > this->maxTools) {
        const auto oldest = this->byObservedAt.begin();
        this->tools.erase(oldest->second);
        this->byObservedAt.erase(oldest);
    }
}

core::Duration PauseEstimator::expected(const std::string& tool, core::Duration elapsed) const
{
    constexpr core::Duration defaultPause = std::chrono::seconds(5);
    const auto entry = this->tools.find(tool);
    core::Duration total = defaultPause;
    if (entry != this->tools.end()) {
        total = core::Duration(std::llround(std::exp(entry->second.logMicroseconds)));
    }
    return elapsed < total ? total - elapsed : elapsed;
}

CacheAction decidePausedCache(const PausedCache& cache, const PauseCacheOptions& options)
{
    const double recompute = cache.tokens / options.prefillTokensPerMs;
    const double pressure
        = std::clamp((cache.memoryPressure - options.freePressureLimit) / (1 - options.freePressureLimit), 0.0, 1.0);
    const double heldRatio = std::min(1.0, microseconds(cache.expectedPause) / microseconds(options.cacheTurnoverTime));
    const double drop = cache.returnProbability * recompute;
    // The export always costs its transfer time, the import only if the program returns.
    const double transfer = static_cast<double>(cache.kvBytes) / options.exportBytesPerMs;
    const double exported = transfer * (1 + cache.returnProbability);
    const bool mayKeep = cache.expectedPause <= options.maxKeepTime;
    const double keep = recompute * pressure * heldRatio;
    if (mayKeep && keep <= drop && (keep <= exported || !cache.canExport)) {
        return CacheAction::Keep;
    }
    return cache.canExport && exported < drop ? CacheAction::Export : CacheAction::Drop;
}

bool shouldMoveKv(const KvMove& move, const PauseCacheOptions& options)
{
    const double recompute = move.tokens / options.prefillTokensPerMs;
    const auto bytes = static_cast<double>(move.kvBytes);
    const double transfer = bytes / (move.crossRegion ? options.regionLinkBytesPerMs : options.exportBytesPerMs);
    const double billed = move.crossRegion ? bytes / bytesPerMegabyte * options.billedMsPerMegabyte : 0;
    return move.latencyWeight * transfer + move.wastedCacheWeight * billed
        < (move.latencyWeight + move.wastedCacheWeight) * recompute;
}

} // namespace lagoontiller::policy
