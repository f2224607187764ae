#include "policy/RequestQueue.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };

QueuedRequest requestOf(CallId id, int priority, core::TimePoint arrived = start, std::uint64_t served = 0,
    bool started = false, core::TimePoint deadline = core::TimePoint::max())
{
    return { id, id, "c" + std::to_string(id % 3), { priority, deadline }, arrived, served, started };
}

struct OrderCase {
    std::string name;
    QueuedRequest first;
    QueuedRequest second;
};

QueuedRequest arbitraryRequest()
{
    const auto small = [](int limit) { return *rc::gen::inRange(0, limit); };
    return requestOf(static_cast<CallId>(small(5)), small(10), start + seconds(small(8)),
        static_cast<std::uint64_t>(small(3)), small(2) == 1, start + seconds(small(3)));
}

} // namespace

class QueueOrder : public testing::TestWithParam<OrderCase> { };

// Guards against a criterion that is missing, reversed or applied with the wrong rank.
TEST_P(QueueOrder, ServesTheFirstBeforeTheSecond)
{
    RequestQueue queue;
    queue.push(GetParam().second);
    queue.push(GetParam().first);
    EXPECT_EQ(queue.pop()->id, GetParam().first.id);
    EXPECT_EQ(queue.pop()->id, GetParam().second.id);
    EXPECT_FALSE(queue.pop().has_value());
}

INSTANTIATE_TEST_SUITE_P(Table, QueueOrder,
    testing::Values(OrderCase { "Priority", requestOf(2, 9, start, 1'000), requestOf(1, 8, start, 0, true) },
        OrderCase { "StartedBeforeNew", requestOf(2, 5, start, 1'000, true), requestOf(1, 5) },
        OrderCase { "LeastService", requestOf(2, 5, start, 10, true), requestOf(1, 5, start, 20, true) },
        OrderCase { "Deadline", requestOf(2, 5, start, 0, false, start + seconds(1)), requestOf(1, 5) },
        OrderCase { "Arrival", requestOf(2, 5, start), requestOf(1, 5, start + milliseconds(1)) },
        OrderCase { "AgeOutweighsPriority", requestOf(2, 0, start), requestOf(1, 9, start + seconds(20)) },
        OrderCase { "PriorityOutweighsShortAge", requestOf(2, 9, start + seconds(17)), requestOf(1, 0, start) }),
    [](const auto& info) { return info.param.name; });

// Guards against a sub-agent that waits behind requests less urgent than its parent.
TEST(QueueUrgency, IsInheritedFromTheParent)
{
    RequestQueue queue;
    queue.push(requestOf(1, 5));
    queue.push(requestOf(2, 1));
    queue.raiseUrgency(2, { 7, start + seconds(5) });
    EXPECT_EQ(queue.pop()->id, 2U);
    EXPECT_EQ(inheritedUrgency({ 3, start }, { 1, start + seconds(1) }), (Urgency { 3, start }));
}

// Guards against an unbounded queue, and against refusing a request that is more urgent than a queued one.
TEST(QueueBound, RefusesTheLeastUrgent)
{
    RequestQueue queue({ 2, seconds(2) });
    queue.push(requestOf(1, 5));
    queue.push(requestOf(2, 3));
    EXPECT_EQ(queue.push(requestOf(3, 4))->id, 2U);
    EXPECT_EQ(queue.push(requestOf(4, 0))->id, 4U);
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(queue.evictLeastUrgent("c0")->id, 3U);
    EXPECT_FALSE(queue.evictLeastUrgent("c0").has_value());
}

// Guards against requests that wait beyond their deadline, and against popping a request that may not be dispatched.
TEST(QueueDeadline, ExpiresAndSkips)
{
    RequestQueue queue;
    queue.push(requestOf(1, 5, start, 0, false, start + seconds(1)));
    queue.push(requestOf(2, 9));
    EXPECT_EQ(queue.pop([](const QueuedRequest& request) { return request.customer == "c1"; })->id, 1U);
    queue.push(requestOf(1, 5, start, 0, false, start + seconds(1)));
    EXPECT_TRUE(queue.expire(start).empty());
    EXPECT_EQ(queue.expire(start + seconds(1)).size(), 1U);
    EXPECT_EQ(queue.size(), 1U);
}

// Guards against a comparison that is not a strict weak order, which sorted containers require.
RC_GTEST_PROP(QueueOrdering, IsAStrictWeakOrder, ())
{
    const RequestQueue queue;
    const auto a = queue.key(arbitraryRequest());
    const auto b = queue.key(arbitraryRequest());
    const auto c = queue.key(arbitraryRequest());
    RC_ASSERT(!(a < a));
    RC_ASSERT(!(a < b && b < a));
    RC_ASSERT(!(a < b && b < c) || a < c);
    const bool ab = !(a < b) && !(b < a);
    const bool bc = !(b < c) && !(c < b);
    RC_ASSERT(!(ab && bc) || (!(a < c) && !(c < a)));
}

// Guards against starvation: with one request served per arrival, a low priority is overtaken only by requests that
// arrive within (9 + 1) ageing periods of 2 s, and never by later ones.
RC_GTEST_PROP(QueueOrdering, NoStarvation, ())
{
    RequestQueue queue;
    core::TimePoint now = start;
    queue.push(requestOf(1, 0, start, 1'000'000'000));
    for (CallId id = 2;; ++id) {
        now += milliseconds(*rc::gen::inRange(1, 500));
        queue.push(requestOf(id, *rc::gen::inRange(0, 10), now, 0, true, now));
        if (queue.pop()->id == 1) {
            break;
        }
        RC_ASSERT(now - start <= seconds(21));
    }
}

// Guards against requests that are lost or answered twice when the queue changes.
RC_GTEST_PROP(QueueContent, EveryRequestLeavesOnce, (const std::vector<std::uint8_t>& steps))
{
    RequestQueue queue({ 5, seconds(2) });
    std::multiset<CallId> left;
    CallId next = 0;
    for (const std::uint8_t step : steps) {
        if (step % 3 != 0) {
            if (const auto refused = queue.push(requestOf(next++, step % 10, start, 0, false, start + seconds(step)))) {
                left.insert(refused->id);
            }
        } else if (step % 2 == 0) {
            queue.addServedTokens(step % (next + 1), step);
            for (const auto& expired : queue.expire(start + seconds(step / 4))) {
                left.insert(expired.id);
            }
        } else if (const auto popped = queue.pop()) {
            left.insert(popped->id);
        }
        RC_ASSERT(queue.size() <= 5U);
        RC_ASSERT(queue.size("c0") + queue.size("c1") + queue.size("c2") == queue.size());
    }
    while (const auto popped = queue.pop()) {
        left.insert(popped->id);
    }
    RC_ASSERT(left.size() == next);
    RC_ASSERT(std::set<CallId>(left.begin(), left.end()).size() == next);
}

} // namespace lagoontiller::policy
