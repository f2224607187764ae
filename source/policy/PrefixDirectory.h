#pragma once

#include "policy/Types.h"

#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

/// \brief Event of an engine's prefix cache: a prefix was stored or evicted.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    PrefixKey prefix = 0;
    std::uint32_t tokens = 0;
    /// \brief Time of the event; where the engine gives none, the start of the request that fetched the event.
    core::TimePoint at {};
};

/// \brief Endpoint that is expected to have a prefix in its cache.
struct PrefixHolder {
    EndpointId endpoint = 0;
    std::uint32_t tokens = 0;
    core::TimePoint confirmedAt {};
    double logSurvivalAtConfirmation = 0;
    std::uint32_t cacheGeneration = 0;
};

/// \brief Directory of the endpoints that are expected to cache the prefix of a program, maintained from routed calls
/// and from cache events that can arrive late or be lost.
///
/// g lost events can have evicted at most g of the k prefixes that are expected on the endpoint, so the expected tokens
/// of each prefix are scaled by 1 - g/k. A later call or event confirms a prefix again.
class PrefixDirectory {
public:
    static constexpr std::size_t maxHolders = 4;

    explicit PrefixDirectory(std::size_t maxPrefixes)
        : maxPrefixes(maxPrefixes)
    {
    }

    /// \brief Records that the endpoint processed `tokens` of the prefix at `now` and has them in its cache. A prefix
    /// of 0 is ignored.
    void confirm(PrefixKey prefix, EndpointId endpoint, std::uint32_t tokens, core::TimePoint now);
    /// \brief Applies a cache event. Events with a sequence number at or below the last one are ignored.
    void apply(EndpointId endpoint, const CacheEvent& event);
    /// \brief Records that the endpoint lost its whole cache.
    void clear(EndpointId endpoint);
    /// \brief Removes the prefix from the directory.
    void release(PrefixKey prefix);

    /// \brief Returns the holders of the prefix; null when there are none.
    [[nodiscard]] const std::vector<PrefixHolder>* holders(PrefixKey prefix) const;
    /// \brief Returns the expected number of cached tokens, from 0 to `holder.tokens`.
    [[nodiscard]] double expectedTokens(const PrefixHolder& holder) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->prefixes.size(); }

private:
    struct EndpointCache {
        std::uint64_t lastSequence = 0;
        /// \brief Sum of the logarithms of the probabilities that a prefix survived each gap in the events.
        double logSurvival = 0;
        /// \brief Number of times that the endpoint lost its whole cache.
        std::uint32_t generation = 0;
        std::size_t expectedPrefixes = 0;
    };

    [[nodiscard]] EndpointCache& cache(EndpointId endpoint);
    void applyGap(EndpointCache& cache, std::uint64_t missed);
    void removeHolder(PrefixKey prefix, EndpointId endpoint);
    void evictOldest();

    std::size_t maxPrefixes;
    std::unordered_map<PrefixKey, std::vector<PrefixHolder>> prefixes;
    std::vector<EndpointCache> caches;
};

} // namespace lagoontiller::policy
