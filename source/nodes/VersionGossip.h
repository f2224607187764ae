#pragma once

#include "core/Time.h"
#include "nodes/Random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::nodes {

struct VersionGossipSettings {
    /// \brief Number of random members to which a newly adopted version is pushed.
    std::size_t fanout = 4;
    /// \brief After this time without an answer, the request is sent to another peer.
    core::Duration requestTimeout = std::chrono::milliseconds(500);
    /// \brief Larger updates are only announced; each receiver with an older version then fetches the update once.
    std::size_t maxPushBytes = 16 * 1024;
};

/// \brief Version bookkeeping for the gossip of a value whose version only increases: tracks the peers that have a
/// newer version, and chooses the peer to request it from and the peers to push it to.
class VersionGossip {
public:
    VersionGossip(VersionGossipSettings settings, RandomGenerator& generator);

    [[nodiscard]] std::uint64_t heldVersion() const noexcept { return this->version; }
    /// \brief Sets a higher held version. Returns false and changes nothing if `version` is not higher.
    bool advance(std::uint64_t version);

    /// \brief Records the version that a peer's message carried, if it is newer than the held one.
    void recordPeerVersion(const std::string& peer, std::uint64_t version);
    /// \brief Chooses a random peer among those with the newest version and starts the request timeout. Returns nothing
    /// if no peer has a newer version or a request is pending. A peer whose request timed out is dropped first.
    [[nodiscard]] std::optional<std::string> startRequest(core::TimePoint now);
    /// \brief Removes a peer whose answer is missing or unusable from the request targets, and clears a pending request
    /// to it.
    void dropPeer(const std::string& peer);

    /// \brief Returns up to `fanout` random peers other than `except`.
    [[nodiscard]] std::vector<std::string> choosePushTargets(
        const std::vector<std::string>& peers, const std::string& except);
    [[nodiscard]] const VersionGossipSettings& limits() const noexcept { return this->settings; }

private:
    struct Request {
        std::string peer;
        core::TimePoint deadline;
    };

    VersionGossipSettings settings;
    RandomGenerator* generator;
    std::uint64_t version = 0;
    std::map<std::string, std::uint64_t> newerPeers;
    std::optional<Request> pendingRequest;
};

} // namespace lagoontiller::nodes
