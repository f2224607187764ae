#include "bench/fakes/FaultPlan.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

namespace {

using nlohmann::json;
using Action = FaultDecision::Action;

core::TimePoint at(std::int64_t milliseconds)
{
    return core::TimePoint(std::chrono::milliseconds(milliseconds));
}

struct Request {
    std::string method;
    std::string path;
    std::string body;
    std::int64_t time;
    Action expected;
};

struct FaultCase {
    std::string name;
    std::string fault;
    std::vector<Request> requests;
};

class FaultPlans : public testing::TestWithParam<FaultCase> { };

} // namespace

// Guards against faults that hit other requests, last longer than stated or end early. Faults are set at 0 ms.
TEST_P(FaultPlans, AffectTheStatedRequests)
{
    FaultPlan plan;
    const auto fault = parseFault(json::parse(GetParam().fault));
    ASSERT_TRUE(fault.has_value() && fault->has_value());
    plan.set(**fault, at(0));
    for (const auto& request : GetParam().requests)
        EXPECT_EQ(plan.decide(request.method, request.path, request.body, at(request.time)).action, request.expected)
            << request.method << " " << request.path << " at " << request.time;
}

INSTANTIATE_TEST_SUITE_P(Cases, FaultPlans,
    testing::Values(
        FaultCase { "loseReplyCountsWritesOnly", R"({"fault":"lose_reply","count":1})",
            { { "GET", "/v1/rows", "", 1, Action::Serve }, { "POST", "/v1/transactions", "", 2, Action::LoseReply },
                { "POST", "/v1/transactions", "", 3, Action::Serve } } },
        FaultCase { "durationEnds", R"({"fault":"hang","ms":100})",
            { { "GET", "/x", "", 99, Action::Hang }, { "GET", "/x", "", 100, Action::Serve } } },
        FaultCase { "pathLimits", R"({"fault":"hang","path":"/v1/rows"})",
            { { "GET", "/v1/rows", "", 1, Action::Hang }, { "GET", "/v1/other", "", 1, Action::Serve } } },
        FaultCase { "crashOnText", R"({"fault":"crash_on","text":"poison","ms":50})",
            { { "POST", "/x", "a poisonous body", 1'000, Action::Crash },
                { "POST", "/x", "body", 1'001, Action::Serve }, { "POST", "/x", "poison", 9'000, Action::Crash } } },
        FaultCase { "hangCounts", R"({"fault":"hang","count":2})",
            { { "POST", "/x", "", 1, Action::Hang }, { "POST", "/x", "", 1, Action::Hang },
                { "POST", "/x", "", 1, Action::Serve } } }),
    [](const auto& info) { return info.param.name; });

// Guards against a slow fault that changes the decision or outlives its time.
TEST(FaultPlan, SlowAddsDelayAndFactor)
{
    FaultPlan plan;
    plan.set(**parseFault(json::parse(R"({"fault":"slow","delay_ms":30,"factor":4,"ms":100})")), at(0));
    EXPECT_EQ(plan.decide("GET", "/", "", at(1)), (FaultDecision { Action::Serve, std::chrono::milliseconds(30), {} }));
    EXPECT_EQ(plan.slowness(at(1)), 4);
    EXPECT_EQ(plan.slowness(at(100)), 1);
    EXPECT_EQ(plan.decide("GET", "/", "", at(100)).delay.count(), 0);
}

// Guards against a crash whose length differs from the stated one.
TEST(FaultPlan, CrashLastsAsStated)
{
    FaultPlan plan;
    plan.set(**parseFault(json::parse(R"({"fault":"crash_on","text":"x","ms":70})")), at(0));
    EXPECT_EQ(plan.decide("POST", "/", "x", at(1)).downTime, std::chrono::milliseconds(70));
}

// Guards against a misspelt fault that is silently ignored.
TEST(FaultPlan, RefusesUnknownFaults)
{
    for (const auto* text : { R"({"fault":"dwon"})", R"({"fault":""})", R"({"fault":"crash_on"})" })
        EXPECT_FALSE(parseFault(json::parse(text)).has_value()) << text;
    const auto none = parseFault(json::parse(R"({"fault":"none"})"));
    ASSERT_TRUE(none.has_value());
    EXPECT_FALSE(none->has_value());
}

} // namespace lagoontiller::fakes
