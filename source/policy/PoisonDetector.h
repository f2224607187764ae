#pragma once

#include "policy/Types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoontiller::policy {

struct PoisonOptions {
    /// \brief Number of counted losses that isolate a digest; at least 2.
    std::size_t isolatingLosses = 2;
    /// \brief Time within which the counted losses isolate a digest, and after which a suspicion ends.
    core::Duration suspicionWindow = std::chrono::minutes(10);
    /// \brief Time since its last loss for which a digest stays isolated.
    core::Duration isolationTime = std::chrono::hours(1);
    /// \brief Time within which several reports of the loss of an endpoint are taken as one loss.
    core::Duration lossMergeWindow = std::chrono::seconds(10);
    /// \brief Number of losses within `burstWindow` before or after a loss that indicates a platform failure (rack,
    /// zone).
    std::size_t minBurstLosses = 5;
    core::Duration burstWindow = std::chrono::seconds(3);
    std::size_t maxDigests = 4'096;
    std::size_t maxLosses = 1'024;
    std::size_t maxDigestsPerLoss = 256;
};

/// \brief Report of a lost endpoint with the digests that the reporting node was running on it; sent to the other
/// nodes.
struct PoisonNotice {
    std::string endpoint;
    std::vector<std::string> digests;
    /// \brief Time since the loss; sent instead of a time point because the clocks of nodes are not comparable.
    core::Duration age {};
    [[nodiscard]] bool operator==(const PoisonNotice&) const = default;
};

enum class PoisonVerdict : int {
    Clear,
    /// \brief May run on one endpoint at a time, and only if no other suspect runs there.
    Suspect,
    /// \brief Must not run and is refused with `RequestIsolated`.
    Isolated,
};

/// \brief Detects requests that crash their endpoints (poison requests) by the digest of their content.
///
/// A loss of an endpoint counts against every digest that was running there, whichever attempt or node sent it.
/// `isolatingLosses` counted losses within the suspicion window isolate a digest, and so do two at which nothing else
/// was running. A loss does not count against a digest if another digest of the same loss explains it: that digest was
/// present at more losses, or at as many losses of which it was the only digest at more. If the loss belongs to a burst
/// (rack or zone failure), all losses of the digest in the burst count for one less than their number, and for less
/// than an isolation. A burst has at least `minBurstLosses` losses that no other recurrent digest explains, and the
/// digest was present at less than half of them: requests that crash their endpoints at the same time do not excuse
/// each other.
///
/// A digest is CONTENT/CALLER, or CONTENT alone if callers are not told apart. The losses and successes of one caller
/// do not decide about another one with the same content. Only if the content was lost with several callers, again
/// after the first burst, and is not known to have completed for any caller, all callers are refused.
///
/// A suspect runs on one endpoint at a time and never beside another suspect, so that a second loss tells the cause
/// from the other digests of the first loss. A suspect that completes is cleared. The verdict depends only on the known
/// losses: a late notice that explains a loss also ends a wrong isolation.
class PoisonDetector {
public:
    explicit PoisonDetector(PoisonOptions options = {})
        : options(options)
    {
    }

    /// \brief Records that an endpoint was lost while this node ran the digests on it. Returns the notice to send to
    /// the other nodes, with at most `maxDigestsPerLoss` digests.
    PoisonNotice endpointLost(const std::string& endpoint, std::span<const std::string> digests, core::TimePoint now);
    /// \brief Records the loss in a notice of another node, unless it is older than `isolationTime`.
    void merge(const PoisonNotice& notice, core::TimePoint now);
    /// \brief Records that a call with the digest completed, which clears a suspect but not an isolated digest.
    void succeeded(const std::string& digest, core::TimePoint now);

    [[nodiscard]] PoisonVerdict verdict(const std::string& digest, core::TimePoint now) const;
    /// \brief Whether one more counted loss would isolate the digest.
    [[nodiscard]] bool isIsolatedByNextLoss(const std::string& digest, core::TimePoint now) const;
    /// \brief Returns whether a request with the digest may be sent to the endpoint now.
    [[nodiscard]] bool mayRun(const std::string& digest, const std::string& endpoint, core::TimePoint now) const;
    /// \brief Records that a request with a suspect digest was sent to the endpoint.
    void suspectStarted(const std::string& digest, const std::string& endpoint);
    /// \brief Records that a request reported to `suspectStarted` ended, with any outcome.
    void suspectEnded(const std::string& digest, const std::string& endpoint);
    /// \brief Forgets expired losses and digests. Call about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return this->digests.size(); }

private:
    using LossKey = std::pair<core::TimePoint, std::string>;
    using LossMap = std::map<LossKey, std::set<std::string>>;
    struct DigestEntry {
        std::set<LossKey> losses;
    };
    /// \brief Orders digests for eviction: first those with a single loss, then by the time of the last loss.
    using EvictionKey = std::tuple<bool, core::TimePoint, std::string>;

    void recordLoss(const std::string& endpoint, std::span<const std::string> digests, core::TimePoint at);
    /// \brief Returns the loss of the endpoint within `lossMergeWindow` of `at`, or a new one without digests.
    [[nodiscard]] LossMap::iterator findOrAddLoss(const std::string& endpoint, core::TimePoint at);
    void dropLoss(LossMap::iterator loss);
    void dropDigest(const std::string& digest);
    [[nodiscard]] static EvictionKey evictionKey(const std::string& digest, const DigestEntry& entry);
    /// \brief The verdict that the losses of this caller give.
    [[nodiscard]] PoisonVerdict callerVerdict(
        const std::string& digest, const DigestEntry& entry, core::TimePoint now) const;
    /// \brief Returns the number of losses of the digest, and of those at which it was the only digest.
    [[nodiscard]] std::pair<std::size_t, std::size_t> lossCounts(const std::string& digest) const;
    /// \brief Returns whether another digest of the loss, of another content if `content` is set, has higher loss
    /// counts than `digest`.
    [[nodiscard]] bool explainedByOther(
        const std::string& digest, const LossKey& loss, std::string_view content = {}) const;
    /// \brief Returns whether a digest other than `digest` that was present at several losses was present at this one.
    [[nodiscard]] bool hasOtherRecurrentDigest(const std::string& digest, const std::set<std::string>& present) const;
    /// \brief Returns whether the loss belongs to a burst and the digest was present at less than half of its losses.
    [[nodiscard]] bool inPlatformFailure(const std::string& digest, const LossKey& loss) const;
    /// \brief Losses that count against the digest, in ascending order.
    [[nodiscard]] std::vector<LossKey> countedLosses(const std::string& digest, const DigestEntry& entry) const;
    [[nodiscard]] bool isolated(const std::string& digest, const DigestEntry& entry) const;
    /// \brief Losses with a content that is not known to have completed; empty otherwise.
    struct ContentLosses {
        std::set<LossKey> losses;
        std::size_t callers = 0;
    };
    [[nodiscard]] ContentLosses contentLosses(const std::string& digest, core::TimePoint now) const;
    [[nodiscard]] bool isContentIsolated(const std::string& digest, core::TimePoint now) const;
    void recordSuccess(std::string_view content, core::TimePoint now);

    PoisonOptions options;
    LossMap losses;
    /// \brief Ordered, so that the callers of a content are adjacent.
    std::map<std::string, DigestEntry> digests;
    std::set<EvictionKey> evictionOrder;
    /// \brief Running requests with a suspect digest: endpoints by digest, and digests by endpoint.
    std::multimap<std::string, std::string> suspectsByDigest;
    std::multimap<std::string, std::string> suspectsByEndpoint;
    /// \brief Contents that completed within the last one to two suspicion windows, in two generations.
    std::set<std::string, std::less<>> recentSuccesses;
    std::set<std::string, std::less<>> earlierSuccesses;
    core::TimePoint successesSince {};
};

} // namespace lagoontiller::policy
