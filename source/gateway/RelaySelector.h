#pragma once

#include "core/Time.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Chooses the peers through which a node relays calls to a target (the store, or the endpoints) that it does
/// not reach itself.
///
/// Pattern: the target is unreachable for a part of the nodes, often for most nodes of a zone. Peers that recently
/// reached it come first and share the calls; peers that could not are left out for a while, so that successive calls
/// try other peers. If the target is unreachable for all nodes, calls soon find no candidate and cost no message.
/// Probes look for further peers until `wantedPeers` are known, because a call that is sent to a peer that does not
/// answer has an unknown outcome, and because the relayed calls are shared among the known peers.
class RelaySelector {
public:
    static constexpr std::size_t defaultPeersPerCall = 5;
    /// \brief Time for which a finding about a peer is used.
    static constexpr core::Duration findingLifetime = std::chrono::milliseconds(2'000);

    enum class Purpose : int {
        Call,
        Probe,
    };

    struct Options {
        /// \brief Peers that one call tries.
        std::size_t maxPeersPerCall = defaultPeersPerCall;
        /// \brief Time for which a peer that did not reach the target is left out.
        core::Duration absence = findingLifetime;
    };

    /// \brief Nodes with different seeds start with different peers.
    explicit RelaySelector(std::size_t seed) noexcept
        : RelaySelector(seed, Options())
    {
    }
    RelaySelector(std::size_t seed, const Options& options) noexcept
        : rotation(seed)
        , options(options)
    {
    }

    /// \brief Peers to try, in order, at most as many as a call may try; empty when all were found without a path to
    /// the target lately. `zonePeers` are preferred to `otherPeers`.
    [[nodiscard]] std::vector<std::string> choose(const std::vector<std::string>& zonePeers,
        const std::vector<std::string>& otherPeers, Purpose purpose, core::TimePoint now);
    /// \brief Records that the peer reached the target for this node.
    void reached(const std::string& peer, core::TimePoint now);
    /// \brief Records that the peer could not reach the target or did not answer.
    void notReached(const std::string& peer, core::TimePoint now);

    static constexpr std::size_t wantedPeers = 3;

private:
    struct Finding {
        bool reachedTarget = false;
        core::TimePoint at {};
    };

    /// \brief Whether the peer reached the target; empty without a recent finding.
    [[nodiscard]] std::optional<bool> recentFinding(const std::string& peer, core::TimePoint now) const;

    std::unordered_map<std::string, Finding> findings;
    std::size_t rotation;
    Options options;
};

} // namespace lagoontiller::gateway
