#include "tests/support/ControlWorld.h"

#include <gtest/gtest.h>

namespace lagoontiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string chargePath = "/charges/take";
const std::string chargeBody = R"({"amount":5})";
const core::ProgramKey chargeProgram { "workshop", "east.p1" };

callers::IncomingRequest charge(const std::string& body = chargeBody)
{
    return serviceRequest("workshop", chargePath, body, { .program = chargeProgram.program, .key = "k1" });
}

/// \brief Step of the call at which the fault is injected.
enum class FaultPoint : int {
    None,
    KilledBeforeIntent,
    KilledAfterIntent,
    KilledAfterSend,
    KilledAfterResult,
    PausedBetweenCommitAndSend,
    StoreDown,
    StoreSlow,
    IntentReplyLost,
    IntentLost,
    EndpointRefusesConnection,
    EndpointCrashesBeforeRun,
    EndpointCrashesAfterRun,
    EndpointSilent,
};

struct FaultCase {
    std::string name;
    FaultPoint faultPoint = FaultPoint::None;
    /// \brief How often the endpoint ran the call.
    int runs = 0;
    /// \brief `ran` of the refusal that the caller gets; empty for an answer.
    std::string expectedRefusal;
    /// \brief What a later lookup by key returns: `answer`, or `ran` of the refusal.
    std::string expectedFetch;
};

std::ostream& operator<<(std::ostream& stream, const FaultCase& faultCase)
{
    return stream << faultCase.name;
}

class AtMostOnce : public testing::TestWithParam<FaultCase> {
protected:
    /// \brief Entry node that does not own the program, so that it survives the failure of the owner.
    [[nodiscard]] std::size_t entryNode() { return (this->owner + 1) % this->world.size(); }

    void SetUp() override
    {
        ASSERT_TRUE(this->world.settle());
        this->world.advance(seconds(3));
        this->owner = this->world.ownerOf(chargeProgram);
        ASSERT_LT(this->owner, this->world.size());
    }

    /// \brief Runs until the owner emits an effect of the given kind, then injects the fault at the owner.
    template <typename Effect> void injectAtEffect(std::function<void()> injectFault, bool beforeEffect)
    {
        this->world.onEffect = [this, injectFault, beforeEffect](std::size_t, const control::Effect& effect) {
            if (this->injected || !std::holds_alternative<Effect>(effect))
                return;
            this->injected = true;
            if (beforeEffect)
                injectFault();
            else
                this->deferredFault = injectFault;
        };
    }

    void scheduleFault(FaultPoint faultPoint)
    {
        const auto kill = [this] { this->world.kill(this->owner); };
        switch (faultPoint) {
        case FaultPoint::None:
            break;
        case FaultPoint::KilledBeforeIntent:
            this->world.store.fates = { Fate::LostWrite };
            this->killAfter = milliseconds(200);
            break;
        case FaultPoint::KilledAfterIntent:
            this->world.store.fates = { Fate::LostReply };
            this->killAfter = milliseconds(200);
            break;
        case FaultPoint::KilledAfterSend:
            this->injectAtEffect<control::CallService>(kill, false);
            break;
        case FaultPoint::KilledAfterResult:
            this->killAfter = seconds(1);
            break;
        case FaultPoint::PausedBetweenCommitAndSend:
            this->world.store.fates = { Fate::LostReply };
            this->pauseAfter = milliseconds(200);
            break;
        case FaultPoint::StoreDown:
            this->world.store.down = true;
            this->world.advance(seconds(1));
            break;
        case FaultPoint::StoreSlow:
            this->world.store.slow = true;
            break;
        case FaultPoint::IntentReplyLost:
            this->world.store.fates = { Fate::LostReply };
            break;
        case FaultPoint::IntentLost:
            this->world.store.fates = { Fate::LostWrite };
            break;
        case FaultPoint::EndpointRefusesConnection:
            this->world.endpoints.servicePlans = { { EndpointFate::NotConnected } };
            break;
        case FaultPoint::EndpointCrashesBeforeRun:
            this->world.endpoints.servicePlans = { { EndpointFate::CrashBeforeRun } };
            break;
        case FaultPoint::EndpointCrashesAfterRun:
            this->world.endpoints.servicePlans = { { EndpointFate::CrashAfterRun } };
            break;
        case FaultPoint::EndpointSilent:
            this->world.endpoints.servicePlans = { { EndpointFate::Silent } };
            break;
        }
    }

    void run()
    {
        const auto begin = this->world.now;
        for (int index = 0; index < 3000; ++index) {
            this->world.advance(ControlWorld::step);
            if (this->deferredFault)
                std::exchange(this->deferredFault, nullptr)();
            if (this->killAfter && this->world.now - begin >= *this->killAfter) {
                this->world.kill(this->owner);
                this->killAfter.reset();
            }
            if (this->pauseAfter && this->world.now - begin >= *this->pauseAfter) {
                this->world.pause(this->owner);
                this->pauseAfter.reset();
                this->resumeAt = this->world.now + seconds(8);
            }
            if (this->resumeAt && this->world.now >= *this->resumeAt) {
                this->world.resume(this->owner);
                this->resumeAt.reset();
            }
        }
    }

    ControlWorld world;
    std::size_t owner = 0;
    bool injected = false;
    std::function<void()> deferredFault;
    std::optional<core::Duration> killAfter;
    std::optional<core::Duration> pauseAfter;
    std::optional<core::TimePoint> resumeAt;
};

} // namespace

// Guards against a non-repeatable call that runs twice, and against a refusal that reports "not run" after it ran.
TEST_P(AtMostOnce, RunsTheStatedNumberOfTimesAndReportsIt)
{
    const auto& faultCase = GetParam();
    this->scheduleFault(faultCase.faultPoint);
    const auto answer = this->world.send(this->entryNode(), charge());
    this->run();
    EXPECT_EQ(faultCase.runs, this->world.endpoints.runsOf("k1"));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ(faultCase.expectedRefusal, answer->ran()) << answer->body;
    if (faultCase.expectedRefusal.empty()) {
        EXPECT_EQ(200, answer->status) << answer->body;
    }
    this->world.store.down = false;
    this->world.store.slow = false;
    ASSERT_TRUE(this->world.settle());
    this->world.advance(seconds(10));
    // The caller lost its connection, looks the call up by key and then sends it again.
    const auto fetched = this->world.send(
        this->entryNode(), plainRequest("workshop", "GET", "/v1/calls/k1", { .program = chargeProgram.program }));
    this->world.advance(seconds(2));
    EXPECT_EQ(faultCase.expectedFetch, fetched->status == 200 ? "answer" : fetched->ran()) << fetched->body;
    const auto again = this->world.send(this->entryNode(), charge());
    this->world.advance(seconds(15));
    ASSERT_TRUE(again->ended);
    const int runs = this->world.endpoints.runsOf("k1");
    EXPECT_LE(runs, 1);
    if (again->ran() == "not run") {
        EXPECT_EQ(0, runs) << again->body;
    }
    // A call that certainly has not run may run now; every other one must not.
    EXPECT_EQ(faultCase.expectedFetch == "not run" ? 1 : faultCase.runs, runs) << again->body;
    EXPECT_TRUE(this->world.store.table.violations.empty());
}

INSTANTIATE_TEST_SUITE_P(Faults, AtMostOnce,
    testing::Values(FaultCase { "None", FaultPoint::None, 1, "", "answer" },
        // The entry sends the call to the next owner, which finds no intent.
        FaultCase { "KilledBeforeIntent", FaultPoint::KilledBeforeIntent, 1, "", "answer" },
        FaultCase { "KilledAfterIntent", FaultPoint::KilledAfterIntent, 0, "may have run", "may have run" },
        FaultCase { "KilledAfterSend", FaultPoint::KilledAfterSend, 1, "may have run", "may have run" },
        FaultCase { "KilledAfterResult", FaultPoint::KilledAfterResult, 1, "", "answer" },
        FaultCase {
            "PausedBetweenCommitAndSend", FaultPoint::PausedBetweenCommitAndSend, 0, "may have run", "may have run" },
        FaultCase { "StoreDown", FaultPoint::StoreDown, 0, "not run", "not run" },
        FaultCase { "StoreSlow", FaultPoint::StoreSlow, 1, "", "answer" },
        FaultCase { "IntentReplyLost", FaultPoint::IntentReplyLost, 1, "", "answer" },
        FaultCase { "IntentLost", FaultPoint::IntentLost, 1, "", "answer" },
        FaultCase { "EndpointRefusesConnection", FaultPoint::EndpointRefusesConnection, 1, "", "answer" },
        FaultCase {
            "EndpointCrashesBeforeRun", FaultPoint::EndpointCrashesBeforeRun, 0, "may have run", "may have run" },
        FaultCase { "EndpointCrashesAfterRun", FaultPoint::EndpointCrashesAfterRun, 1, "may have run", "may have run" },
        FaultCase { "EndpointSilent", FaultPoint::EndpointSilent, 1, "may have run", "may have run" }),
    [](const auto& info) { return info.param.name; });

class EqualKeys : public testing::TestWithParam<bool> { };

// Guards against two concurrent requests with the same key that both reach the endpoint.
TEST_P(EqualKeys, ConcurrentRequestsRunOnceAndShareTheAnswer)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    const std::size_t second = GetParam() ? 1 : 0;
    const auto one = world.send(0, charge());
    const auto two = world.send(second, charge());
    world.advance(seconds(3));
    EXPECT_EQ(1, world.endpoints.runsOf("k1"));
    EXPECT_EQ(200, one->status) << one->body;
    EXPECT_EQ(200, two->status) << two->body;
    EXPECT_EQ(one->body, two->body);
}

// Guards against a key without a program that is routed to different owners when it arrives at two nodes.
TEST_P(EqualKeys, WithoutProgramAreRoutedToOneOwner)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    const auto request = serviceRequest("workshop", chargePath, chargeBody, { .key = "k7" });
    const auto one = world.send(0, request);
    const auto two = world.send(GetParam() ? 1 : 0, request);
    world.advance(seconds(3));
    EXPECT_EQ(1, world.endpoints.runsOf("k7"));
    EXPECT_EQ(one->body, two->body);
    EXPECT_EQ(200, one->status);
}

INSTANTIATE_TEST_SUITE_P(
    Nodes, EqualKeys, testing::Bool(), [](const auto& info) { return info.param ? "AtTwoNodes" : "AtOneNode"; });

// Guards against a reused key that returns the answer to another request, while that request runs and afterwards.
TEST(ReusedKey, WithAnotherBodyIsRefusedAndDoesNotRun)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    const auto first = world.send(0, charge());
    const auto during = world.send(1, charge(R"({"amount":6})"));
    world.advance(seconds(3));
    const auto after = world.send(2, charge(R"({"amount":7})"));
    world.advance(seconds(3));
    EXPECT_EQ(200, first->status);
    for (const auto& refused : { during, after }) {
        EXPECT_EQ("key_reused", refused->code()) << refused->body;
        EXPECT_EQ("not run", refused->ran());
    }
    EXPECT_EQ(1, world.endpoints.runsOf("k1"));
}

// Guards against a key that stays blocked after its call was abandoned before the intent was recorded.
TEST(AbandonedIntent, AllowsALaterCallWithTheKey)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    world.advance(seconds(3));
    // The intent is queued while the outage is not yet known, and is recorded after the caller was refused.
    world.store.down = true;
    const auto refused = world.send(world.ownerOf(chargeProgram), charge());
    world.advance(seconds(14));
    ASSERT_TRUE(refused->ended);
    EXPECT_EQ("not run", refused->ran()) << refused->body;
    world.store.down = false;
    world.advance(seconds(10));
    EXPECT_EQ(0, world.endpoints.runsOf("k1"));
    const auto again = world.send(0, charge());
    world.advance(seconds(3));
    EXPECT_EQ(200, again->status) << again->body;
    EXPECT_EQ(1, world.endpoints.runsOf("k1"));
}

// Guards against "not run" after an attempt that may have run was followed by one that did not.
TEST(RepeatableCall, ReportsThatAnEarlierAttemptMayHaveRun)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    world.endpoints.servicePlans = { { EndpointFate::CrashAfterRun }, { EndpointFate::NotConnected },
        { EndpointFate::NotConnected }, { EndpointFate::NotConnected }, { EndpointFate::NotConnected } };
    const auto answer
        = world.send(0, serviceRequest("workshop", "/stock", "{}", { .program = "east.p2", .key = "k2" }));
    world.advance(seconds(15));
    ASSERT_TRUE(answer->ended);
    EXPECT_EQ(1, world.endpoints.runsOf("k2"));
    EXPECT_EQ("may have run", answer->ran()) << answer->body;
}

// Guards against a late result that is lost when its partition has a new owner: the new owner must record it.
TEST(LateResult, OfAPausedOwnerIsRecordedByTheNextOne)
{
    ControlWorld world;
    ASSERT_TRUE(world.settle());
    world.advance(seconds(3));
    const auto owner = world.ownerOf(chargeProgram);
    world.endpoints.servicePlans = { { EndpointFate::Late, seconds(2) } };
    const auto answer = world.send((owner + 1) % world.size(), charge());
    ASSERT_TRUE(world.runUntil([&] { return world.endpoints.runsOf("k1") == 1; }));
    world.pause(owner);
    world.advance(seconds(10));
    world.resume(owner);
    world.advance(seconds(30));
    const auto fetched = world.send((owner + 1) % world.size(),
        plainRequest("workshop", "GET", "/v1/calls/k1", { .program = chargeProgram.program }));
    world.advance(seconds(2));
    EXPECT_EQ(200, fetched->status) << fetched->body;
    EXPECT_EQ(1, world.endpoints.runsOf("k1"));
}

} // namespace lagoontiller::tests
