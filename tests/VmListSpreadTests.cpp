#include "nodes/VmListGossip.h"
#include "support/VirtualNetwork.h"

namespace lagoontiller::nodes {

namespace {

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t index = 0; index < count; ++index) {
        Member member;
        member.node = "n" + std::to_string(index);
        member.zone = index % 2 == 0 ? "even" : "odd";
        members.push_back(member);
    }
    return members;
}

} // namespace

// Guards against polls that exceed 3 requests per second and zone at the platform, and against zones without polls.
TEST(VmListPollers, ThreePerZoneOrAllOfASmallZone)
{
    const auto members = makeMembers(40);
    const auto pollers = vmListPollers("even", members);
    ASSERT_EQ(pollers.size(), pollersPerZone);
    for (const auto& name : pollers)
        EXPECT_EQ(std::stoi(name.substr(1)) % 2, 0);
    EXPECT_EQ(vmListPollers("odd", makeMembers(4)).size(), 2U);
    EXPECT_TRUE(vmListPollers("none", members).empty());
    auto reversed = members;
    std::reverse(reversed.begin(), reversed.end());
    EXPECT_EQ(vmListPollers("even", reversed), pollers);
}

// Guards against replacing all pollers when one node fails.
TEST(VmListPollers, OneDeathReplacesOnePoller)
{
    auto members = makeMembers(40);
    const auto before = vmListPollers("even", members);
    std::erase_if(members, [&](const Member& member) { return member.node == before[1]; });
    const auto after = vmListPollers("even", members);
    EXPECT_EQ(after[0], before[0]);
    EXPECT_EQ(after[1], before[2]);
}

namespace {

struct Case {
    std::size_t bytes;
    double loss;
};

class VmListGossipNetwork : public testing::TestWithParam<Case> { };

} // namespace

// Guards against a node that sends new calls to a leaving VM: the list must reach all nodes within the 3 s of condition
// C8. Each node receives a large list in full only once.
TEST_P(VmListGossipNetwork, ReachesAllNodes)
{
    support::NetworkOptions options;
    options.nodes = 48;
    support::VirtualNetwork network(options);
    std::deque<RandomGenerator> generators;
    std::deque<VmListGossip> lists;
    for (std::size_t index = 0; index < options.nodes; ++index) {
        generators.emplace_back(index);
        lists.emplace_back(VersionGossipSettings {}, generators.back());
    }
    std::uint64_t fullListCount = 0;
    const auto applyEffects = [&](std::size_t index, VmListEffects effects) {
        for (auto& effect : effects) {
            if (const auto* change = std::get_if<VmListAdopted>(&effect))
                network.membership(index).setVmListVersion(change->version);
        }
        for (auto& effect : effects) {
            if (auto* message = std::get_if<SendMessage>(&effect)) {
                fullListCount += message->envelope.vm_list_update().list().empty() ? 0 : 1;
                network.send(index, std::move(*message));
            }
        }
    };
    network.setHook([&](std::size_t index, const wire::Envelope* envelope, core::TimePoint now) {
        const auto& peers = network.membership(index).peers();
        applyEffects(index, envelope == nullptr ? lists[index].tick(now) : lists[index].handle(*envelope, peers, now));
    });
    ASSERT_TRUE(network.runUntil([&] { return network.isConverged(); }, std::chrono::seconds(60)));
    network.setLoss(GetParam().loss);
    for (std::uint64_t version = 1; version <= 3; ++version) {
        fullListCount = 0;
        const std::string list(GetParam().bytes + version, 'x');
        applyEffects(version, lists[version].publish(version, list, network.membership(version).peers()));
        applyEffects(9, lists[9].publish(version - 1, "old", network.membership(9).peers()));
        const auto isEverywhere = [&] {
            return std::all_of(lists.begin(), lists.end(), [&](const auto& entry) { return entry.list() == list; });
        };
        ASSERT_TRUE(network.runUntil(isEverywhere, std::chrono::seconds(3))) << "version " << version;
        if (GetParam().bytes > VersionGossipSettings {}.maxPushBytes && GetParam().loss == 0) {
            EXPECT_EQ(fullListCount, options.nodes - 1);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, VmListGossipNetwork,
    testing::Values(Case { 100, 0 }, Case { 100, 0.02 }, Case { 100'000, 0 }, Case { 100'000, 0.02 }));

} // namespace lagoontiller::nodes
