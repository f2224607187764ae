// Decisions for calls with an idempotency key. Guards against repeated calls and false "not run" answers.
#include "state/CallLedger.h"

#include <gtest/gtest.h>

namespace lagoontiller::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::ProgramKey program { "c", "p" };
const core::TimePoint start { seconds(100) };

CallRequest requestOf(bool repeatable = false, const std::string& digest = "d")
{
    return { program, "k", digest, "orders", "/charge", "r1", repeatable };
}

ProgramState stateWith(CallOutcome outcome, bool ended = false)
{
    ProgramState state;
    StoredCall call;
    call.key = "k";
    call.digest = "d";
    call.requestId = "r0";
    call.outcome = outcome;
    call.status = 201;
    call.body = "stored";
    state.calls["k"] = call;
    state.ended = ended;
    return state;
}

struct DecisionCase {
    std::string name;
    std::optional<CallOutcome> recorded;
    bool ended;
    bool repeatable;
    std::string digest;
    bool storeAvailable;
    std::size_t decision; // Index in CallDecision.
    core::ResultCode code = core::ResultCode::Ok;
    core::RunState ran = core::RunState::NotRun;
};

class CallDecisions : public testing::TestWithParam<DecisionCase> { };

TEST_P(CallDecisions, FollowTheTable)
{
    const auto& given = this->GetParam();
    std::optional<ProgramState> state;
    if (given.recorded) {
        state = stateWith(*given.recorded, given.ended);
    } else if (given.ended) {
        state.emplace().ended = true;
    }
    CallLedger ledger;
    const auto decision = ledger.decide(
        requestOf(given.repeatable, given.digest), state ? &*state : nullptr, given.storeAvailable, start);
    ASSERT_EQ(decision.index(), given.decision);
    if (const auto* refused = std::get_if<RefuseCall>(&decision)) {
        EXPECT_EQ(refused->error.code, given.code);
        EXPECT_EQ(refused->error.ran, given.ran);
    }
    if (const auto* replay = std::get_if<ReplayCall>(&decision)) {
        EXPECT_EQ(replay->result, (CallResult { 201, "", "stored" }));
    }
    EXPECT_EQ(ledger.size(), given.decision <= 1 ? 1U : 0U);
}

constexpr auto mayHaveRun = core::RunState::MayHaveRun;
INSTANTIATE_TEST_SUITE_P(Table, CallDecisions,
    testing::Values(DecisionCase { "Repeatable", {}, false, true, "d", false, 0 },
        DecisionCase { "NonRepeatable", {}, false, false, "d", true, 1 },
        DecisionCase { "StoreDown", {}, false, false, "d", false, 4, core::ResultCode::StoreUnavailable },
        DecisionCase { "Ended", {}, true, true, "d", true, 4, core::ResultCode::ProgramEnded },
        DecisionCase { "Recorded", CallOutcome::Finished, false, false, "d", false, 3 },
        DecisionCase { "RecordedAndEnded", CallOutcome::Finished, true, false, "d", true, 3 },
        DecisionCase { "KeyReused", CallOutcome::Finished, false, false, "x", true, 4, core::ResultCode::KeyReused },
        DecisionCase { "IntentOnly", CallOutcome::Intended, false, false, "d", true, 4,
            core::ResultCode::OutcomeUnknown, mayHaveRun },
        DecisionCase {
            "Unknown", CallOutcome::Unknown, false, false, "d", true, 4, core::ResultCode::OutcomeUnknown, mayHaveRun },
        DecisionCase { "NotRunBefore", CallOutcome::NotRun, false, false, "d", true, 1 },
        DecisionCase {
            "NotRunOtherBody", CallOutcome::NotRun, false, false, "x", true, 4, core::ResultCode::KeyReused }),
    [](const auto& info) { return info.param.name; });

struct PauseCase {
    int beforeCommitMs;
    int afterCommitMs;
    bool sends;
};

class EventLoopPauses : public testing::TestWithParam<PauseCase> { };

// A pause of the event loop between commit and send may outlast a takeover: the membership view is stale.
TEST_P(EventLoopPauses, DecideWhetherToSend)
{
    CallLedger ledger;
    ASSERT_TRUE(std::holds_alternative<CommitIntent>(ledger.decide(requestOf(), nullptr, true, start)));
    const auto firstSent = start + milliseconds(this->GetParam().beforeCommitMs);
    ledger.onControlLoop(firstSent);
    const auto now = firstSent + milliseconds(this->GetParam().afterCommitMs);
    const auto decision = ledger.onIntentCommitted(program, "k", firstSent, now);
    EXPECT_EQ(std::holds_alternative<SendCall>(decision), this->GetParam().sends);
    if (const auto* refused = std::get_if<RefuseCall>(&decision)) {
        EXPECT_EQ(refused->error.ran, core::RunState::MayHaveRun);
    }
    // Neither a second commit event nor a repeated decision sends it again.
    EXPECT_TRUE(std::holds_alternative<RefuseCall>(ledger.onIntentCommitted(program, "k", firstSent, now)));
}

INSTANTIATE_TEST_SUITE_P(Table, EventLoopPauses,
    testing::Values(PauseCase { 0, 0, true }, PauseCase { 10, 2000, true }, PauseCase { 10, 2001, false },
        PauseCase { 5000, 100, true }, PauseCase { 10, 60000, false }));

TEST(CallLedger, SecondCallJoinsTheRunningOne)
{
    CallLedger ledger;
    (void)ledger.decide(requestOf(), nullptr, true, start);
    auto second = requestOf();
    second.requestId = "r2";
    EXPECT_EQ(std::get<JoinCall>(ledger.decide(second, nullptr, true, start)), JoinCall { "r1" });
    const auto other = ledger.decide(requestOf(false, "x"), nullptr, true, start);
    EXPECT_EQ(std::get<RefuseCall>(other).error.code, core::ResultCode::KeyReused);
    ledger.onIntentRejected(program, "k");
    EXPECT_TRUE(std::holds_alternative<CommitIntent>(ledger.decide(second, nullptr, true, start)));
}

TEST(CallLedger, AbandonedCallIsNotSentWhenItsIntentCommitsLater)
{
    CallLedger ledger;
    (void)ledger.decide(requestOf(), nullptr, true, start);
    const auto record = ledger.abandon(program, "k");
    ASSERT_TRUE(record);
    EXPECT_TRUE(record->call_finished().not_run());
    const auto decision = ledger.onIntentCommitted(program, "k", start, start);
    EXPECT_EQ(std::get<RefuseCall>(decision).error.ran, core::RunState::NotRun);
    EXPECT_TRUE(std::holds_alternative<RefuseCall>(ledger.decide(requestOf(), nullptr, true, start)));
}

TEST(CallLedger, SentCallCannotBeAbandoned)
{
    CallLedger ledger;
    (void)ledger.decide(requestOf(), nullptr, true, start);
    ASSERT_TRUE(std::holds_alternative<SendCall>(ledger.onIntentCommitted(program, "k", start, start)));
    EXPECT_FALSE(ledger.abandon(program, "k"));
    const auto record = ledger.onResult(program, "k", { 200, "text/plain", "done" });
    ASSERT_TRUE(record);
    EXPECT_EQ(record->call_finished().body(), "done");
    EXPECT_EQ(record->call_finished().request_id(), "r1");
    EXPECT_FALSE(ledger.onUnknown(program, "k"));
}

TEST(CallLedger, LateResultNeedsTheMatchingIntent)
{
    const CallResult result { 200, "", "late" };
    for (const auto outcome :
        { CallOutcome::Intended, CallOutcome::Unknown, CallOutcome::Finished, CallOutcome::NotRun }) {
        const auto state = stateWith(outcome);
        const bool open = outcome == CallOutcome::Intended || outcome == CallOutcome::Unknown;
        EXPECT_EQ(CallLedger::lateResult(program, &state, "k", "r0", result).has_value(), open);
        EXPECT_FALSE(CallLedger::lateResult(program, &state, "k", "r9", result));
    }
    EXPECT_FALSE(CallLedger::lateResult(program, nullptr, "k", "r0", result));
}

} // namespace
} // namespace lagoontiller::state
