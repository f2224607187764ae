#include "nodes/VersionGossip.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Peers with a newer version that are remembered as request targets; more would not make a fetch more reliable.
constexpr std::size_t maxNewerPeers = 16;

} // namespace

VersionGossip::VersionGossip(VersionGossipSettings settings, RandomGenerator& generator)
    : settings(settings)
    , generator(&generator)
{
}

bool VersionGossip::advance(std::uint64_t newVersion)
{
    if (newVersion <= this->version)
        return false;
    this->version = newVersion;
    std::erase_if(this->newerPeers, [&](const auto& entry) { return entry.second <= newVersion; });
    this->pendingRequest.reset();
    return true;
}

void VersionGossip::recordPeerVersion(const std::string& peer, std::uint64_t peerVersion)
{
    if (peerVersion <= this->version)
        return;
    const auto known = this->newerPeers.find(peer);
    if (known != this->newerPeers.end()) {
        known->second = std::max(known->second, peerVersion);
        return;
    }
    if (this->newerPeers.size() >= maxNewerPeers) {
        const auto lowest = std::min_element(this->newerPeers.begin(), this->newerPeers.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        if (lowest->second >= peerVersion)
            return;
        this->newerPeers.erase(lowest);
    }
    this->newerPeers.emplace(peer, peerVersion);
}

std::optional<std::string> VersionGossip::startRequest(core::TimePoint now)
{
    if (this->pendingRequest && now < this->pendingRequest->deadline)
        return std::nullopt;
    if (this->pendingRequest)
        this->dropPeer(std::string(this->pendingRequest->peer));
    if (this->newerPeers.empty())
        return std::nullopt;
    std::uint64_t newest = 0;
    for (const auto& [peer, peerVersion] : this->newerPeers)
        newest = std::max(newest, peerVersion);
    std::vector<std::string> sources;
    for (const auto& [peer, peerVersion] : this->newerPeers) {
        if (peerVersion == newest)
            sources.push_back(peer);
    }
    const auto& chosen = sources[randomIndex(*this->generator, sources.size())];
    this->pendingRequest = Request { chosen, now + this->settings.requestTimeout };
    return chosen;
}

void VersionGossip::dropPeer(const std::string& peer)
{
    this->newerPeers.erase(peer);
    if (this->pendingRequest && this->pendingRequest->peer == peer)
        this->pendingRequest.reset();
}

std::vector<std::string> VersionGossip::choosePushTargets(
    const std::vector<std::string>& peers, const std::string& except)
{
    std::vector<std::string> chosen = peers;
    std::erase(chosen, except);
    keepRandomSample(*this->generator, chosen, this->settings.fanout);
    return chosen;
}

} // namespace lagoontiller::nodes
