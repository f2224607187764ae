#include "nodes/VersionSpread.h"

#include <algorithm>

namespace lagoontiller::nodes {

namespace {

/// Peers remembered as sources; more would not make a fetch safer.
constexpr std::size_t maxSources = 16;

} // namespace

VersionSpread::VersionSpread(VersionSpreadSettings settings, Generator& generator)
    : settings(settings)
    , generator(&generator)
{
}

bool VersionSpread::raise(std::uint64_t newVersion)
{
    if (newVersion <= this->version)
        return false;
    this->version = newVersion;
    std::erase_if(this->ahead, [&](const auto& entry) { return entry.second <= newVersion; });
    this->inFlight.reset();
    return true;
}

void VersionSpread::observe(const std::string& peer, std::uint64_t peerVersion)
{
    if (peerVersion <= this->version)
        return;
    const auto known = this->ahead.find(peer);
    if (known != this->ahead.end()) {
        known->second = std::max(known->second, peerVersion);
        return;
    }
    if (this->ahead.size() >= maxSources) {
        const auto lowest = std::min_element(this->ahead.begin(), this->ahead.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        if (lowest->second >= peerVersion)
            return;
        this->ahead.erase(lowest);
    }
    this->ahead.emplace(peer, peerVersion);
}

std::optional<std::string> VersionSpread::nextRequest(core::TimePoint now)
{
    if (this->inFlight && now < this->inFlight->deadline)
        return std::nullopt;
    if (this->inFlight)
        this->refuse(std::string(this->inFlight->peer));
    if (this->ahead.empty())
        return std::nullopt;
    std::uint64_t newest = 0;
    for (const auto& [peer, peerVersion] : this->ahead)
        newest = std::max(newest, peerVersion);
    std::vector<std::string> sources;
    for (const auto& [peer, peerVersion] : this->ahead) {
        if (peerVersion == newest)
            sources.push_back(peer);
    }
    const auto& chosen = sources[pickIndex(*this->generator, sources.size())];
    this->inFlight = Request { chosen, now + this->settings.requestTimeout };
    return chosen;
}

void VersionSpread::refuse(const std::string& peer)
{
    this->ahead.erase(peer);
    if (this->inFlight && this->inFlight->peer == peer)
        this->inFlight.reset();
}

std::vector<std::string> VersionSpread::receivers(const std::vector<std::string>& peers, const std::string& except)
{
    std::vector<std::string> chosen = peers;
    std::erase(chosen, except);
    keepRandom(*this->generator, chosen, this->settings.fanout);
    return chosen;
}

} // namespace lagoontiller::nodes
