#include "policy/AdmissionController.h"
#include "policy/RequestQueue.h"

namespace lagoontiller::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint start { seconds(1000) };

AdmissionOptions smallOptions()
{
    AdmissionOptions options;
    options.slots = 10;
    options.queueCapacity = 30;
    return options;
}

struct DivisionCase {
    std::vector<Demand> demands;
    std::vector<double> expected;
};

struct LimitCase {
    std::string name;
    int priority;
    bool started;
    std::uint32_t accepted;
};

} // namespace

class Division : public testing::TestWithParam<DivisionCase> { };

// Guards against a division of slots that leaves capacity unused or reduces small demands in favour of a large one.
TEST_P(Division, IsMaxMinFair)
{
    const auto parts = weightedMaxMin(12, GetParam().demands);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        EXPECT_NEAR(parts[i], GetParam().expected[i], 1e-9) << i;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, Division,
    testing::Values(DivisionCase { { { 2, 1 }, { 100, 1 } }, { 2, 10 } },
        DivisionCase { { { 100, 1 }, { 100, 2 } }, { 4, 8 } }, DivisionCase { { { 3, 1 }, { 3, 1 } }, { 3, 3 } },
        DivisionCase { { { 100, 1 }, { 1, 1 }, { 100, 1 } }, { 5.5, 1, 5.5 } },
        DivisionCase { { { 0, 1 }, { 100, 0.5 } }, { 0, 12 } }));

class OverloadOrder : public testing::TestWithParam<LimitCase> { };

// Guards against refusing high priority or started programs before low priority. Two customers, 40 places, one idle.
TEST_P(OverloadOrder, RefusesLowPriorityFirst)
{
    AdmissionController admission(smallOptions());
    admission.setCustomer("a", { 1, 1'000 });
    admission.setCustomer("b", { 3, 1'000 });
    std::uint32_t accepted = 0;
    while (admission.admit({ "a", accepted, GetParam().priority, GetParam().started }, start)) {
        accepted += 1;
    }
    EXPECT_EQ(accepted, GetParam().accepted);
}

INSTANTIATE_TEST_SUITE_P(Table, OverloadOrder,
    testing::Values(LimitCase { "Lowest", 0, false, 22 }, LimitCase { "Middle", 5, false, 29 },
        LimitCase { "Highest", 9, false, 35 }, LimitCase { "Started", 0, true, 40 }),
    [](const auto& info) { return info.param.name; });

// Guards against limits that are not enforced, and against a retry time that ignores the rate at which slots become
// free.
TEST(AdmissionRefusal, NamesTheLimitAndTheRetryTime)
{
    AdmissionController admission(smallOptions());
    admission.setCustomer("a", { 1, 12 });
    EXPECT_EQ(admission.admit({ "x", 1, 5, false }, start).error().error.code, core::ResultCode::UnknownKey);
    for (std::uint64_t i = 0; i < 12; ++i) {
        ASSERT_TRUE(admission.admit({ "a", i, 5, false }, start));
    }
    const auto idle = admission.admit({ "a", 99, 5, false }, start);
    EXPECT_EQ(idle.error().error.code, core::ResultCode::TooManyRequests);
    EXPECT_EQ(idle.error().error.ran, core::RunState::NotRun);
    EXPECT_EQ(idle.error().retryAfter, seconds(30)) << "nothing has ended yet";
    for (std::uint64_t i = 0; i < 10; ++i) {
        admission.dispatched("a");
        admission.ended("a", i, start);
        ASSERT_TRUE(admission.admit({ "a", i, 5, false }, start));
    }
    EXPECT_NEAR(microseconds(admission.admit({ "a", 99, 5, false }, start).error().retryAfter), 5e5, 1);
    admission.setCustomer("a", { 1, 100 });
    for (int i = 0; i < 16; ++i) {
        ASSERT_TRUE(admission.admit({ "a", 50, 9, true }, start));
    }
    EXPECT_EQ(admission.admit({ "a", 50, 9, true }, start).error().error.code, core::ResultCode::ProgramLimitReached);
}

// Guards against a refused program that loses its queue position to programs that arrived after its refusal.
TEST(AdmissionRefusal, KeepsThePlaceOfTheProgram)
{
    AdmissionController admission(smallOptions());
    admission.setCustomer("a", { 1, 1 });
    ASSERT_TRUE(admission.admit({ "a", 1, 5, false }, start));
    ASSERT_FALSE(admission.admit({ "a", 2, 5, true }, start + seconds(1)));
    ASSERT_FALSE(admission.admit({ "a", 2, 5, true }, start + seconds(3)));
    admission.withdrawn("a", 1);
    EXPECT_EQ(admission.admit({ "a", 2, 5, true }, start + seconds(9))->arrivedAt, start + seconds(1));
    admission.withdrawn("a", 2);
    EXPECT_EQ(admission.admit({ "a", 2, 5, true }, start + seconds(9))->arrivedAt, start + seconds(9));
}

// Guards against a refused program whose next turn is queued behind a new program of the same priority.
RC_GTEST_PROP(AdmissionFairness, RefusedProgramIsNotWorseOff, ())
{
    AdmissionController admission(smallOptions());
    RequestQueue queue;
    admission.setCustomer("a", { 1, 1 });
    const int priority = *rc::gen::inRange(0, 10);
    const bool started = *rc::gen::arbitrary<bool>();
    const auto wait = milliseconds(*rc::gen::inRange(0, 60'000));
    RC_ASSERT(admission.admit({ "a", 1, 0, false }, start).has_value());
    RC_ASSERT(!admission.admit({ "a", 2, priority, started }, start).has_value());
    admission.setCustomer("a", { 1, 10 });
    const auto fresh = admission.admit({ "a", 3, priority, false }, start + wait);
    const auto again = admission.admit({ "a", 2, priority, started }, start + wait);
    const Urgency urgency { priority, core::TimePoint::max() };
    const auto keyFresh = queue.key({ 1, 3, "a", urgency, fresh->arrivedAt, 0, false });
    const auto keyAgain = queue.key({ 2, 2, "a", urgency, again->arrivedAt, 0, started });
    RC_ASSERT(wait == milliseconds(0) || keyAgain < keyFresh);
}

// Guards against a burst of one customer that causes refusals of others within their shares or occupies their slots.
RC_GTEST_PROP(AdmissionFairness, BurstLeavesOthersTheirShares, ())
{
    AdmissionOptions options = smallOptions();
    options.slots = 12;
    options.maxConcurrentPerProgram = 1'000;
    AdmissionController admission(options);
    RequestQueue queue;
    const std::vector<std::string> names { "burst", "b", "c" };
    const std::vector<double> shares { 1, 2, 3 };
    for (std::size_t i = 0; i < names.size(); ++i) {
        admission.setCustomer(names[i], { shares[i], 1'000 });
    }
    std::map<CallId, std::string> running;
    std::map<std::string, int> held;
    CallId next = 0;
    const auto send = [&](const std::string& customer, int priority, bool started) {
        const auto admitted = admission.admit({ customer, 1, priority, started }, start);
        if (!admitted) {
            return false;
        }
        held[customer] += 1;
        if (admitted->evictFrom) {
            RC_ASSERT(*admitted->evictFrom == "burst");
            RC_ASSERT(queue.evictLeastUrgent(*admitted->evictFrom).has_value());
            admission.withdrawn(*admitted->evictFrom, 1);
            held[*admitted->evictFrom] -= 1;
        }
        queue.push({ next, 1, customer, { priority, core::TimePoint::max() }, start, 0, started });
        next += 1;
        return true;
    };
    const auto dispatch = [&] {
        while (const auto call = queue.pop([&](const auto& each) { return admission.mayDispatch(each.customer); })) {
            admission.dispatched(call->customer);
            running.emplace(call->id, call->customer);
        }
    };
    for (int step = 0; step < 200; ++step) {
        send("burst", 9, true);
        send("burst", 9, true);
        const std::size_t other = *rc::gen::inRange<std::size_t>(1, 3);
        if (held[names[other]] + 1 <= admission.guaranteedCalls(names[other])) {
            RC_ASSERT(send(names[other], 0, false));
        }
        dispatch();
        RC_ASSERT(admission.running() <= options.slots);
        RC_ASSERT(admission.waiting() <= options.queueCapacity + options.slots);
        RC_ASSERT(queue.size() == admission.waiting());
        const auto ended = std::next(running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(running)));
        held[ended->second] -= 1;
        admission.ended(ended->second, 1, start);
        running.erase(ended);
        dispatch();
        RC_ASSERT(admission.running() == options.slots || queue.size() == 0);
    }
    // Every slot is released once without new arrivals: each customer then runs its share or all of its calls.
    for (int i = 0; i < 12 && !running.empty(); ++i) {
        const auto above = std::find_if(running.begin(), running.end(), [&](const auto& call) {
            const auto at
                = static_cast<std::size_t>(std::find(names.begin(), names.end(), call.second) - names.begin());
            return admission.running(call.second) > shares[at] * 2;
        });
        if (above == running.end()) {
            break;
        }
        held[above->second] -= 1;
        admission.ended(above->second, 1, start);
        running.erase(above);
        dispatch();
    }
    for (std::size_t i = 1; i < names.size(); ++i) {
        RC_ASSERT(admission.running(names[i]) >= std::min<double>(held[names[i]], shares[i] * 2));
    }
}

} // namespace lagoontiller::policy
