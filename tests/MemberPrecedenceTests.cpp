#include "nodes/Member.h"
#include "nodes/Membership.h"

namespace lagoontiller::nodes {

namespace {

Member arbitraryMember()
{
    Member member;
    member.node = "a";
    member.address = *rc::gen::element(std::string("127.0.0.1:1"), std::string("127.0.0.2:1"));
    member.zone = *rc::gen::element(std::string("z1"), std::string("z2"));
    member.incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
    member.state = *rc::gen::element(wire::ALIVE, wire::SUSPECT, wire::DEAD, wire::LEFT);
    member.leaving = *rc::gen::arbitrary<bool>();
    member.documentVersion = *rc::gen::inRange<std::uint64_t>(0, 4);
    return member;
}

wire::Envelope acknowledgementWith(const Member& member)
{
    wire::Envelope envelope;
    envelope.set_sender("b");
    toWire(member, *envelope.mutable_acknowledgement()->add_updates());
    return envelope;
}

} // namespace

// Guards against nodes that converge to different records because updates reached them in different orders.
RC_GTEST_PROP(MemberPrecedence, MergeIsCommutative, ())
{
    const auto left = arbitraryMember();
    const auto right = arbitraryMember();
    RC_ASSERT(merge(left, right) == merge(right, left));
}

RC_GTEST_PROP(MemberPrecedence, MergeIsAssociative, ())
{
    const auto first = arbitraryMember();
    const auto second = arbitraryMember();
    const auto third = arbitraryMember();
    RC_ASSERT(merge(merge(first, second), third) == merge(first, merge(second, third)));
}

RC_GTEST_PROP(MemberPrecedence, MergeIsIdempotent, ())
{
    const auto left = arbitraryMember();
    const auto right = arbitraryMember();
    const auto merged = merge(left, right);
    RC_ASSERT(merge(merged, left) == merged);
    RC_ASSERT(merge(merged, right) == merged);
}

// Guards against a Membership that applies updates by a rule other than `merge`.
RC_GTEST_PROP(MemberPrecedence, MembershipEndsWithTheSameRecordInAnyOrder, ())
{
    const auto first = arbitraryMember();
    auto updates = *rc::gen::container<std::vector<Member>>(rc::gen::exec([] { return arbitraryMember(); }));
    Member known = first;
    known.state = wire::ALIVE;
    const auto apply = [&](const std::vector<Member>& sequence) {
        RandomGenerator generator(1);
        const core::TimePoint now(std::chrono::seconds(1));
        Member self { "self", "127.0.0.9:1", {}, {}, {}, 1, wire::ALIVE, false, 0 };
        Membership membership(self, {}, generator, now);
        (void)membership.handle(acknowledgementWith(known), now);
        for (const auto& update : sequence)
            (void)membership.handle(acknowledgementWith(update), now);
        return membership.find("a");
    };
    auto reversed = updates;
    std::reverse(reversed.begin(), reversed.end());
    RC_ASSERT(apply(updates) == apply(reversed));
}

struct Case {
    std::uint64_t currentIncarnation;
    wire::MemberState currentState;
    std::uint64_t incarnation;
    wire::MemberState state;
    bool replaces;
};

class MemberPrecedenceTable : public testing::TestWithParam<Case> { };

// Guards against a changed precedence of states, which the properties above would not detect.
TEST_P(MemberPrecedenceTable, FollowsSwim)
{
    Member current { "a", "127.0.0.1:1", {}, {}, {}, GetParam().currentIncarnation, GetParam().currentState, false, 0 };
    Member update = current;
    update.incarnation = GetParam().incarnation;
    update.state = GetParam().state;
    EXPECT_EQ(supersedes(update, current), GetParam().replaces);
}

INSTANTIATE_TEST_SUITE_P(Rules, MemberPrecedenceTable,
    testing::Values(Case { 5, wire::ALIVE, 5, wire::SUSPECT, true }, Case { 5, wire::SUSPECT, 5, wire::ALIVE, false },
        Case { 5, wire::SUSPECT, 6, wire::ALIVE, true }, Case { 5, wire::ALIVE, 4, wire::SUSPECT, false },
        Case { 5, wire::SUSPECT, 5, wire::DEAD, true }, Case { 5, wire::DEAD, 5, wire::ALIVE, false },
        Case { 5, wire::DEAD, 6, wire::ALIVE, true }, Case { 5, wire::DEAD, 5, wire::LEFT, true },
        Case { 5, wire::LEFT, 5, wire::DEAD, false }, Case { 5, wire::ALIVE, 5, wire::ALIVE, false }));

// Guards against invalid updates that reach the member table, for example an incarnation that cannot be raised.
TEST(MemberValidity, InvalidUpdatesAreRejectedAndCounted)
{
    RandomGenerator generator(1);
    const core::TimePoint now(std::chrono::seconds(1));
    Member self { "self", "127.0.0.9:1", {}, {}, {}, 1, wire::ALIVE, false, 0 };
    Membership membership(self, {}, generator, now);
    Member noAddress { "a", "", {}, {}, {}, 1, wire::ALIVE, false, 0 };
    Member noName { "", "127.0.0.1:1", {}, {}, {}, 1, wire::ALIVE, false, 0 };
    Member tooHigh { "a", "127.0.0.1:1", {}, {}, {}, maxIncarnation, wire::ALIVE, false, 0 };
    Member badState { "a", "127.0.0.1:1", {}, {}, {}, 1, static_cast<wire::MemberState>(77), false, 0 };
    Member longName { std::string(maxNameBytes + 1, 'a'), "127.0.0.1:1", {}, {}, {}, 1, wire::ALIVE, false, 0 };
    for (const auto& member : { noAddress, noName, tooHigh, badState, longName })
        (void)membership.handle(acknowledgementWith(member), now);
    EXPECT_EQ(membership.size(), 0U);
    EXPECT_EQ(membership.rejectedCount(), 5U);
}

} // namespace lagoontiller::nodes
