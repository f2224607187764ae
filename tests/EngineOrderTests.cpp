#include "policy/OrderPlanner.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };
const EngineAssignment oldModel { OrderKind::LoadModel, "m", "1" };
const EngineAssignment newModel { OrderKind::LoadModel, "m", "2" };
const EngineAssignment adapter { OrderKind::LoadAdapter, "a", "1" };

std::vector<EngineView> engines(std::size_t count, const EngineAssignment& assignment)
{
    std::vector<EngineView> result;
    for (EndpointId id = 0; id < count; ++id) {
        result.push_back({ id, { assignment }, static_cast<double>(10 - id), false });
    }
    return result;
}

void apply(std::vector<EngineView>& views, const std::vector<EngineOrder>& orders)
{
    for (const EngineOrder& order : orders) {
        auto& held = views[order.endpoint].assignments;
        if (order.assignment.kind != OrderKind::LoadAdapter) {
            std::erase_if(held, [&](const auto& each) { return each.kind == order.assignment.kind; });
        }
        held.insert(order.assignment);
    }
}

OrderPlanner decider(OrderOptions options = {})
{
    OrderPlanner planner(options);
    planner.becomeLeader(1, start);
    return planner;
}

struct TakeoverCase {
    std::string name;
    bool checksFencing;
    core::Duration afterEarlierTerm;
    bool expected;
};

} // namespace

class DeciderTakeover : public testing::TestWithParam<TakeoverCase> { };

// Guards against orders of two deciders to one engine that does not check fencing numbers.
TEST_P(DeciderTakeover, WaitsForTheEarlierDecider)
{
    OrderOptions options;
    options.checksFencing = GetParam().checksFencing;
    OrderPlanner planner(options);
    EXPECT_FALSE(planner.mayOrder(start + minutes(5)));
    EXPECT_TRUE(planner.becomeLeader(7, start));
    EXPECT_FALSE(planner.becomeLeader(7, start));
    const auto now = start + GetParam().afterEarlierTerm;
    EXPECT_EQ(planner.mayOrder(now), GetParam().expected);
    EXPECT_EQ(!planner.plan({ { newModel, 0, 1, 0 } }, engines(4, oldModel), now).empty(), GetParam().expected);
    planner.stepDown();
    EXPECT_FALSE(planner.mayOrder(start + minutes(5)));
}

INSTANTIATE_TEST_SUITE_P(Table, DeciderTakeover,
    testing::Values(TakeoverCase { "FencesChecked", true, seconds(-5), true },
        TakeoverCase { "FencesIgnoredWithinTerm", false, seconds(-5), false },
        TakeoverCase { "FencesIgnoredRequestsInFlight", false, seconds(29), false },
        TakeoverCase { "FencesIgnoredAfterLongestRequest", false, seconds(30), true }),
    [](const auto& info) { return info.param.name; });

// Guards against changing all engines at once, a busy engine before an idle one, or engines that leave.
TEST(EngineOrders, ChangeFewAndTheLeastLoaded)
{
    OrderPlanner planner = decider();
    auto views = engines(8, oldModel);
    views[7].leaving = true;
    const std::vector<DesiredAssignment> desired { { newModel, 0, 7, 0 } };
    const auto first = planner.plan(desired, views, start);
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0], (EngineOrder { 6, newModel, (1ULL << 32U) + 1 }));
    EXPECT_EQ(first[1].endpoint, 5U);
    EXPECT_TRUE(planner.plan(desired, views, start + seconds(1)).empty()) << "both orders are in progress";
    apply(views, first);
    EXPECT_EQ(planner.plan(desired, views, start + seconds(2)).size(), 2U);
    planner.failed(4);
    EXPECT_EQ(planner.plan(desired, views, start + seconds(3)).front().endpoint, 4U);
}

// Guards against loads that exceed the rate of the weight store.
TEST(EngineOrders, AreLimitedToTheRateOfTheWeightStore)
{
    OrderOptions options;
    options.maxChangingRatio = 1;
    OrderPlanner planner = decider(options);
    auto views = engines(8, oldModel);
    const std::vector<DesiredAssignment> desired { { adapter, 0, 8, 5'000'000'000 } };
    for (int second = 0; second < 40; ++second) {
        const auto orders = planner.plan(desired, views, start + seconds(second));
        EXPECT_EQ(orders.size(), second % 5 == 0 ? 1U : 0U) << second;
        apply(views, orders);
    }
}

// Guards against taking a model from its last engine, and against orders for what is already there.
TEST(EngineOrders, KeepWhatIsNeeded)
{
    OrderPlanner planner = decider();
    const auto views = engines(2, oldModel);
    EXPECT_TRUE(planner.plan({ { oldModel, 0, 2, 0 }, { newModel, 0, 1, 0 } }, views, start).empty());
    EXPECT_TRUE(planner.plan({ { oldModel, 0, 1, 0 } }, views, start).empty());
}

// Guards against flapping: demand that alternates faster than the hold time must not move engines.
TEST(EngineOrders, DoNotFollowFlappingDemand)
{
    OrderPlanner planner = decider();
    auto views = engines(4, oldModel);
    apply(views, { { 0, newModel, 0 }, { 1, newModel, 0 } });
    int orders = 0;
    const auto step = [&](int second, double demand) {
        const auto now = start + seconds(second);
        const auto made = planner.plan({ { oldModel, 0.5, 1, 0 }, { newModel, demand, 1, 0 } }, views, now);
        orders += static_cast<int>(made.size());
        apply(views, made);
    };
    for (int second = 0; second < 600; second += 10) {
        step(second, second % 20 == 0 ? 1.7 : 2.9);
    }
    EXPECT_EQ(orders, 0);
    for (int second = 600; second < 700; second += 10) {
        step(second, 2.6);
    }
    EXPECT_EQ(orders, 1) << "lasting demand moves an engine once";
}

// Guards against a fencing number that is reused or decreases, within a term and across deciders.
RC_GTEST_PROP(EngineOrders, FencesStrictlyRise, (const std::vector<std::uint8_t>& steps))
{
    OrderOptions options;
    options.maxChangingRatio = 1;
    options.minChangeInterval = {};
    std::vector<OrderPlanner> planners(3, OrderPlanner(options));
    std::uint32_t term = 0;
    std::uint64_t last = 0;
    std::size_t current = 0;
    std::size_t given = 0;
    core::TimePoint now = start;
    auto views = engines(4, oldModel);
    for (const std::uint8_t step : steps) {
        now += seconds(60);
        if (step % 4 == 0) {
            planners[current].stepDown();
            current = step % planners.size();
            RC_ASSERT(planners[current].becomeLeader(++term, now));
        }
        const std::string version = std::to_string(step % 5);
        for (auto& planner : planners) {
            const auto orders = planner.plan({ { { OrderKind::LoadModel, "m", version }, 0, 4, 0 } }, views, now);
            for (const EngineOrder& order : orders) {
                RC_ASSERT(order.fence > last);
                last = order.fence;
                given += 1;
            }
            apply(views, orders);
        }
    }
    RC_CLASSIFY(given > 4U);
}

} // namespace lagoontiller::policy
