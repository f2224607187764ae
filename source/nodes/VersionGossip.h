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
    /// \brief Random members to which a newly held version is pushed.
    std::size_t fanout = 4;
    /// \brief A request without an answer for this long goes to another peer.
    core::Duration requestTimeout = std::chrono::milliseconds(500);
    /// \brief Larger updates are announced only, and fetched once by each receiver that is behind.
    std::size_t maxPushBytes = 16 * 1024;
};

/// \brief Who is ahead, what to fetch from whom and whom to push to, for any value with a rising version.
class VersionGossip {
public:
    VersionGossip(VersionGossipSettings settings, RandomGenerator& generator);

    [[nodiscard]] std::uint64_t heldVersion() const noexcept { return this->version; }
    /// \brief Raises the held version. False, without a change, when `version` is not higher.
    bool advance(std::uint64_t version);

    /// \brief Notes the version that a peer's message carried.
    void recordPeerVersion(const std::string& peer, std::uint64_t version);
    /// \brief Peer to request from now, if this node is behind and no request is in flight. Starts the time-out.
    [[nodiscard]] std::optional<std::string> startRequest(core::TimePoint now);
    /// \brief The peer's answer could not be used: the next request goes to another one.
    void dropPeer(const std::string& peer);

    /// \brief Random receivers of a new version, without `except`.
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
