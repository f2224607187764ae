#pragma once

#include "policy/Types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoontiller::policy {

struct PoisonOptions {
    /// \brief Two counted losses within this time isolate a digest; also the life of a suspicion.
    core::Duration suspicionWindow = std::chrono::minutes(10);
    core::Duration isolationTime = std::chrono::hours(1);
    /// \brief Reports of the loss of one endpoint within this time are the same loss.
    core::Duration lossMergeWindow = std::chrono::seconds(10);
    /// \brief Losses of this many endpoints within `burstWindow` are a failure of the platform (rack, zone).
    std::size_t minBurstLosses = 5;
    core::Duration burstWindow = std::chrono::seconds(3);
    std::size_t maxDigests = 4'096;
    std::size_t maxLosses = 1'024;
    std::size_t maxDigestsPerLoss = 256;
};

/// \brief A lost endpoint with the digests that this node was running on it; spread to the other nodes.
struct PoisonNotice {
    std::string endpoint;
    std::vector<std::string> digests;
    /// \brief Time since the loss; clocks of different nodes are not comparable.
    core::Duration age {};
    [[nodiscard]] bool operator==(const PoisonNotice&) const = default;
};

enum class PoisonVerdict : int {
    Clear,
    /// \brief May run on one endpoint at a time, on which no other suspect runs.
    Suspect,
    /// \brief Must not run; refused with `RequestIsolated`.
    Isolated,
};

/// \brief Recognises requests that crash their endpoints by the digest of their content.
///
/// A loss counts against every digest that ran on the endpoint, whatever caller, attempt or node sent it. Two counted
/// losses of different endpoints within the window isolate a digest. A loss does not count against a digest where
/// - another digest of the same loss explains it: it was present at more losses, or at as many of which more hit it
///   alone; or
/// - it belongs to a burst of losses (rack or zone failure) of which the digest was present at less than half.
/// Suspects run on one endpoint at a time and never beside each other, so that the second loss separates the cause from
/// the bystanders of the first; a suspect that ends normally is cleared. The verdict depends on the known losses only:
/// a late notice that explains a loss also ends a wrong isolation.
class PoisonDetector {
public:
    explicit PoisonDetector(PoisonOptions options = {})
        : options(options)
    {
    }

    /// \brief An endpoint was lost while this node ran the digests on it; returns the notice for the other nodes.
    PoisonNotice endpointLost(const std::string& endpoint, std::span<const std::string> digests, core::TimePoint now);
    void merge(const PoisonNotice& notice, core::TimePoint now);
    /// \brief The digest ran to its end; a suspicion that has not led to isolation is dropped.
    void succeeded(const std::string& digest, core::TimePoint now);

    [[nodiscard]] PoisonVerdict verdict(const std::string& digest, core::TimePoint now) const;
    /// \brief Whether the digest may be sent to the endpoint now.
    [[nodiscard]] bool mayRun(const std::string& digest, const std::string& endpoint, core::TimePoint now) const;
    /// \brief A request with a suspect digest was sent, or ended in any way.
    void suspectStarted(const std::string& digest, const std::string& endpoint);
    void suspectEnded(const std::string& digest, const std::string& endpoint);
    /// \brief Drops what has expired; due about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return this->digests.size(); }

private:
    using LossKey = std::pair<core::TimePoint, std::string>;
    using LossMap = std::map<LossKey, std::set<std::string>>;
    struct DigestEntry {
        std::set<LossKey> losses;
    };
    /// \brief Digests with few losses are evicted first, then by the time of the last loss.
    using EvictionKey = std::tuple<bool, core::TimePoint, std::string>;

    void recordLoss(const std::string& endpoint, std::span<const std::string> digests, core::TimePoint at);
    [[nodiscard]] LossMap::iterator findOrAddLoss(const std::string& endpoint, core::TimePoint at);
    void dropLoss(LossMap::iterator loss);
    void dropDigest(const std::string& digest);
    [[nodiscard]] static EvictionKey evictionKey(const std::string& digest, const DigestEntry& entry);
    [[nodiscard]] std::pair<std::size_t, std::size_t> lossCounts(const std::string& digest) const;
    [[nodiscard]] bool explainedByOther(const std::string& digest, const LossKey& loss) const;
    [[nodiscard]] bool inPlatformFailure(const std::string& digest, const LossKey& loss) const;
    [[nodiscard]] bool isolated(const std::string& digest, const DigestEntry& entry) const;

    PoisonOptions options;
    LossMap losses;
    std::unordered_map<std::string, DigestEntry> digests;
    std::set<EvictionKey> evictionOrder;
    /// \brief Suspects in progress: digest and endpoint.
    std::multimap<std::string, std::string> suspectsByDigest;
    std::multimap<std::string, std::string> suspectsByEndpoint;
};

} // namespace lagoontiller::policy
