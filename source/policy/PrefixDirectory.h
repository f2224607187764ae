#pragma once

#include "policy/Types.h"

#include <unordered_map>
#include <vector>

namespace lagoontiller::policy {

/// \brief A change in an engine's prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false;
    PrefixKey prefix = 0;
    std::uint32_t tokens = 0;
    /// \brief Time of the event; start of the request that fetched it where the engine gives none.
    core::TimePoint at {};
};

/// \brief An endpoint believed to hold a prefix.
struct PrefixHolder {
    EndpointId endpoint = 0;
    std::uint32_t tokens = 0;
    core::TimePoint confirmedAt {};
    double logSurvivalAtConfirmation = 0;
    std::uint32_t cacheGeneration = 0;
};

/// \brief Which endpoints hold the prefix of which program, from routed calls and late cache events with gaps.
///
/// A gap of g events can have evicted at most g of the k prefixes believed on the endpoint, so that the expected
/// tokens of each are scaled by 1 - g/k. A later call or event confirms a prefix again.
class PrefixDirectory {
public:
    static constexpr std::size_t maxHolders = 4;

    explicit PrefixDirectory(std::size_t maxPrefixes)
        : maxPrefixes(maxPrefixes)
    {
    }

    /// \brief Records that the endpoint processed `tokens` of the prefix at `now`.
    void confirm(PrefixKey prefix, EndpointId endpoint, std::uint32_t tokens, core::TimePoint now);
    /// \brief Applies an event; events at or below the last sequence are ignored.
    void apply(EndpointId endpoint, const CacheEvent& event);
    /// \brief The endpoint lost its whole cache.
    void clear(EndpointId endpoint);
    void release(PrefixKey prefix);

    [[nodiscard]] const std::vector<PrefixHolder>* holders(PrefixKey prefix) const;
    /// \brief Expected cached tokens, from 0 to `holder.tokens`.
    [[nodiscard]] double expectedTokens(const PrefixHolder& holder) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->prefixes.size(); }

private:
    struct EndpointCache {
        std::uint64_t lastSequence = 0;
        /// \brief Sum of the logarithms of the survival probabilities of all gaps.
        double logSurvival = 0;
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
