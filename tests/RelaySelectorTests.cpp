// Choice of the peers that relay store calls, for patterns in which the store is unreachable for a part of the nodes.
// No network; the time is an argument.

#include "gateway/RelaySelector.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace lagoontiller::gateway {

namespace {

using std::chrono::milliseconds;

/// \brief Nodes without store access, and how soon a node among them must relay its calls.
struct OutagePattern {
    std::string name;
    std::size_t zoneNodes = 0;
    std::size_t otherNodes = 0;
    double zoneShareCut = 0;
    double otherShareCut = 0;
    /// \brief Calls that may fail before the first one succeeds; none may fail after it.
    std::size_t failedCalls = 0;
};

void PrintTo(const OutagePattern& pattern, std::ostream* stream)
{
    *stream << pattern.name;
}

class RelayOutage : public testing::TestWithParam<OutagePattern> { };

std::vector<std::string> names(const std::string& prefix, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(prefix + std::to_string(index));
    return result;
}

/// \brief Peers without store access: the share of each group, drawn with the seed.
std::set<std::string> drawCut(std::vector<std::string> peers, double share, unsigned seed)
{
    std::mt19937 random(seed);
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(static_cast<std::size_t>(share * static_cast<double>(peers.size())));
    return { peers.begin(), peers.end() };
}

/// \brief One node that relays its calls through the peers that its selector chooses.
class RelayingNode {
public:
    RelayingNode(
        std::vector<std::string> zone, std::vector<std::string> others, std::set<std::string> cut, std::size_t seed = 1)
        : zone(std::move(zone))
        , others(std::move(others))
        , cut(std::move(cut))
        , selector(seed)
    {
    }

    bool call(core::TimePoint now, RelaySelector::Purpose purpose = RelaySelector::Purpose::Call)
    {
        for (const auto& peer : this->selector.choose(this->zone, this->others, purpose, now)) {
            ++this->messages;
            if (!this->cut.contains(peer)) {
                this->selector.reached(peer, now);
                ++this->callsByPeer[peer];
                return true;
            }
            this->selector.notReached(peer, now);
        }
        return false;
    }

    std::size_t messages = 0;
    std::map<std::string, std::size_t> callsByPeer;

private:
    std::vector<std::string> zone;
    std::vector<std::string> others;
    std::set<std::string> cut;
    RelaySelector selector;
};

constexpr milliseconds callInterval { 20 };

} // namespace

// Guards against refusing callers because the few peers of each call happened to be cut off too, while others were not.
TEST_P(RelayOutage, FindsAPeerAndKeepsIt)
{
    const auto& pattern = GetParam();
    const auto zone = names("zone", pattern.zoneNodes);
    const auto others = names("other", pattern.otherNodes);
    for (unsigned seed = 1; seed <= 50; ++seed) {
        auto cut = drawCut(zone, pattern.zoneShareCut, seed);
        cut.merge(drawCut(others, pattern.otherShareCut, seed + 1'000));
        RelayingNode node(zone, others, cut);
        std::size_t failed = 0;
        core::TimePoint now {};
        while (!node.call(now)) {
            ++failed;
            now += callInterval;
            ASSERT_LE(failed, pattern.failedCalls) << "seed " << seed;
        }
        // The peers hold their access for the next 12 s.
        for (const auto end = now + std::chrono::seconds(12); now < end; now += callInterval)
            ASSERT_TRUE(node.call(now)) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, RelayOutage,
    testing::Values(OutagePattern { "AThirdOfAllNodes", 12, 60, 0.35, 0.35, 2 },
        OutagePattern { "HalfOfAllNodes", 12, 60, 0.5, 0.5, 2 }, OutagePattern { "TheWholeZone", 12, 60, 1, 0, 2 },
        OutagePattern { "TheWholeZoneOfALargeFleet", 48, 245, 1, 0.1, 10 },
        OutagePattern { "AllButOneNode", 12, 60, 1, 0.99, 14 }, OutagePattern { "TwoOfThreeNodes", 2, 6, 1, 0.5, 1 }),
    [](const auto& info) { return info.param.name; });

// Guards against messages to all peers again and again while the store is unreachable for every node.
TEST(RelaySelector, CostsFewMessagesInAWholeOutage)
{
    const auto zone = names("zone", 12);
    const auto others = names("other", 60);
    auto cut = drawCut(zone, 1, 1);
    cut.merge(drawCut(others, 1, 1));
    RelayingNode node(zone, others, cut);
    constexpr auto outage = std::chrono::seconds(10);
    for (core::TimePoint now {}; now < core::TimePoint(outage); now += callInterval)
        EXPECT_FALSE(node.call(now));
    EXPECT_LE(node.messages, (zone.size() + others.size()) * outage.count() / 2);
}

// Guards against one peer that relays all calls of a node.
TEST(RelaySelector, SharesTheCallsAmongPeersWithAccess)
{
    const auto zone = names("zone", 12);
    RelayingNode node(zone, {}, drawCut(zone, 0.5, 7));
    constexpr milliseconds probeInterval { 240 };
    for (core::TimePoint now {}; now < core::TimePoint(std::chrono::seconds(12)); now += callInterval) {
        if (now.time_since_epoch() % probeInterval == core::Duration::zero())
            EXPECT_TRUE(node.call(now, RelaySelector::Purpose::Probe));
        EXPECT_TRUE(node.call(now));
    }
    ASSERT_GE(node.callsByPeer.size(), RelaySelector::wantedPeers);
    for (const auto& [peer, calls] : node.callsByPeer)
        EXPECT_LE(calls, 600 / 2U) << peer;
}

// Guards against one peer that relays the calls of all nodes that were cut off at the same moment.
TEST(RelaySelector, NodesStartWithDifferentPeers)
{
    std::set<std::string> chosen;
    for (std::size_t seed = 0; seed < 24; ++seed) {
        RelayingNode node(names("zone", 12), {}, {}, seed * 7'919);
        EXPECT_TRUE(node.call({}));
        chosen.insert(node.callsByPeer.begin()->first);
    }
    EXPECT_GE(chosen.size(), 6U);
}

} // namespace lagoontiller::gateway
