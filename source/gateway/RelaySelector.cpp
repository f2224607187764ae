#include "gateway/RelaySelector.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Moves another peer to the front with each count, so that calls are shared.
void rotateBy(std::vector<std::string>& peers, std::size_t count)
{
    if (!peers.empty())
        std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(count % peers.size()), peers.end());
}

} // namespace

std::optional<bool> RelaySelector::recentFinding(const std::string& peer, core::TimePoint now) const
{
    const auto found = this->findings.find(peer);
    if (found == this->findings.end())
        return std::nullopt;
    const auto lifetime = found->second.reachedTarget ? findingLifetime : this->options.absence;
    if (now - found->second.at > lifetime)
        return std::nullopt;
    return found->second.reachedTarget;
}

std::vector<std::string> RelaySelector::choose(const std::vector<std::string>& zonePeers,
    const std::vector<std::string>& otherPeers, Purpose purpose, core::TimePoint now)
{
    std::vector<std::string> withContact;
    std::vector<std::string> unknown;
    for (const auto* const peers : { &zonePeers, &otherPeers }) {
        std::vector<std::string> unknownPeers;
        for (const auto& peer : *peers) {
            const auto finding = this->recentFinding(peer, now);
            if (!finding)
                unknownPeers.push_back(peer);
            else if (*finding)
                withContact.push_back(peer);
        }
        rotateBy(unknownPeers, this->rotation);
        unknown.insert(unknown.end(), unknownPeers.begin(), unknownPeers.end());
    }
    rotateBy(withContact, this->rotation);
    ++this->rotation;
    const bool explore = purpose == Purpose::Probe && withContact.size() < wantedPeers;
    auto& first = explore ? unknown : withContact;
    const auto& second = explore ? withContact : unknown;
    first.insert(first.end(), second.begin(), second.end());
    first.resize(std::min(first.size(), this->options.maxPeersPerCall));
    return std::move(first);
}

void RelaySelector::reached(const std::string& peer, core::TimePoint now)
{
    this->findings[peer] = { true, now };
}

void RelaySelector::notReached(const std::string& peer, core::TimePoint now)
{
    this->findings[peer] = { false, now };
}

} // namespace lagoontiller::gateway
