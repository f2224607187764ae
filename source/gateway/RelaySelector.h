#pragma once

#include "core/Time.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoontiller::gateway {

/// \brief Chooses the peers through which a node without store access relays its calls.
///
/// Pattern: the store is unreachable for a part of the nodes, often for most nodes of a zone. Peers that recently
/// reached the store come first and share the calls; peers that could not are left out for a while, so that successive
/// calls try other peers. If the store is unreachable for all nodes, calls soon find no candidate and cost no message.
/// Probes look for further peers until `wantedPeers` are known, because a transaction that is sent to a peer that does
/// not answer has an unknown outcome.
class RelaySelector {
public:
    enum class Purpose : int {
        Call,
        Probe,
    };

    /// \brief Nodes with different seeds start with different peers.
    explicit RelaySelector(std::size_t seed) noexcept
        : rotation(seed)
    {
    }

    /// \brief Peers to try, in order, at most `maxPeersPerCall`; empty when all were found without store access lately.
    /// `zonePeers` are preferred to `otherPeers`.
    [[nodiscard]] std::vector<std::string> choose(const std::vector<std::string>& zonePeers,
        const std::vector<std::string>& otherPeers, Purpose purpose, core::TimePoint now);
    /// \brief Records that the peer reached the store for this node.
    void reached(const std::string& peer, core::TimePoint now);
    /// \brief Records that the peer could not reach the store or did not answer.
    void notReached(const std::string& peer, core::TimePoint now);

    static constexpr std::size_t maxPeersPerCall = 5;
    static constexpr std::size_t wantedPeers = 3;

private:
    struct Finding {
        bool reachedStore = false;
        core::TimePoint at {};
    };

    /// \brief Whether the peer reached the store; empty without a recent finding.
    [[nodiscard]] std::optional<bool> recentFinding(const std::string& peer, core::TimePoint now) const;

    std::unordered_map<std::string, Finding> findings;
    std::size_t rotation;
};

} // namespace lagoontiller::gateway
