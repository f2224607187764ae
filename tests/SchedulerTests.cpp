#include "policy/Scheduler.h"

#include <functional>

namespace lagoontiller::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint start { seconds(1'000) };

SchedulerOptions smallOptions()
{
    SchedulerOptions options;
    options.router.slotsPerEndpoint = 1;
    options.overcommitRatio = 1;
    options.admission.queueCapacity = 2;
    return options;
}

/// \brief Creates a scheduler with one customer and `engines` engines of one slot each.
Scheduler withEngines(int engines)
{
    Scheduler scheduler(smallOptions(), 7);
    for (int i = 0; i < engines; ++i) {
        scheduler.upsert({ "engine" + std::to_string(i), "models", { "large" }, "zone", "region" }, start);
    }
    scheduler.setCustomer("customer", {});
    return scheduler;
}

ScheduledCall call(CallId id, bool repeatable = true)
{
    ScheduledCall result;
    result.id = id;
    result.customer = "customer";
    result.program = id;
    result.route.service = "models";
    result.route.model = "large";
    result.route.prefix = id;
    result.route.promptTokens = 1'000;
    result.route.expectedTokens = 10;
    result.route.repeatable = repeatable;
    result.digest = "digest" + std::to_string(id);
    return result;
}

std::string describe(const ScheduleStep& step)
{
    std::string text;
    for (const Assignment& each : step.assignments) {
        text += "send " + std::to_string(each.call) + " ";
    }
    for (const DroppedCall& each : step.dropped) {
        text += "drop " + std::to_string(each.call) + " ";
    }
    return text;
}

std::string submitCalls(Scheduler& scheduler, CallId last)
{
    std::string refused;
    for (CallId id = 1; id <= last; ++id) {
        refused += scheduler.submit(call(id), start) ? "" : "refuse " + std::to_string(id) + " ";
    }
    return refused;
}

std::string afterFailure(bool repeatable, FailureKind kind, core::RunState ran)
{
    Scheduler scheduler = withEngines(2);
    static_cast<void>(scheduler.submit(call(1, repeatable), start));
    const Assignment first = scheduler.schedule(start).assignments.at(0);
    const AttemptOutcome outcome = scheduler.failed(first.attempt, kind, ran, start);
    if (!outcome.retryAt) {
        return outcome.error->ran == core::RunState::NotRun ? "error, not run" : "error, may have run";
    }
    const std::string early = describe(scheduler.schedule(*outcome.retryAt - milliseconds(1)));
    const ScheduleStep retried = scheduler.schedule(*outcome.retryAt);
    const bool other = retried.assignments.size() == 1 && retried.assignments[0].endpoint != first.endpoint;
    return early + (other ? "retry elsewhere" : "retry at the same endpoint");
}

struct SchedulerCase {
    std::string name;
    std::function<std::string()> run;
    std::string decision;
};

const std::vector<SchedulerCase> schedulerCases {
    { "FreeSlotSendsAtOnce",
        [] {
            Scheduler scheduler = withEngines(1);
            std::string text = submitCalls(scheduler, 1);
            text += describe(scheduler.schedule(start));
            return text;
        },
        "send 1 " },
    { "NoFreeSlotWaits",
        [] {
            Scheduler scheduler = withEngines(1);
            std::string text = submitCalls(scheduler, 2);
            text += describe(scheduler.schedule(start));
            text += describe(scheduler.schedule(start));
            return text;
        },
        "send 1 " },
    { "FreedSlotSendsTheNext",
        [] {
            Scheduler scheduler = withEngines(1);
            submitCalls(scheduler, 2);
            const ScheduleStep first = scheduler.schedule(start);
            scheduler.finished(first.assignments.at(0).attempt, { 1'000, 10, 0 }, start + seconds(1));
            return describe(scheduler.schedule(start + seconds(1)));
        },
        "send 2 " },
    { "FullQueueRefuses",
        [] {
            Scheduler scheduler = withEngines(1);
            return submitCalls(scheduler, 4);
        },
        "refuse 4 " },
    { "NoMemoryRefusesNewProgramsOnly",
        [] {
            Scheduler scheduler = withEngines(1);
            scheduler.report(0, { 0, 0, 0, 2'000, start });
            std::string text = submitCalls(scheduler, 2);
            ScheduledCall started = call(3);
            started.started = true;
            text += scheduler.submit(started, start) ? "accept 3" : "refuse 3";
            return text;
        },
        "refuse 2 accept 3" },
    { "ProgramEndFreesMemory",
        [] {
            Scheduler scheduler = withEngines(1);
            scheduler.report(0, { 0, 0, 0, 2'000, start });
            submitCalls(scheduler, 1);
            const ScheduleStep first = scheduler.schedule(start);
            scheduler.finished(first.assignments.at(0).attempt, { 1'000, 10, 0 }, start);
            scheduler.programEnded(1);
            return std::string(scheduler.submit(call(2), start) ? "accept 2" : "refuse 2");
        },
        "accept 2" },
    { "CallsPastTheirDeadlineAreDropped",
        [] {
            Scheduler scheduler = withEngines(1);
            submitCalls(scheduler, 1);
            std::string text = describe(scheduler.schedule(start));
            ScheduledCall late = call(2);
            late.urgency.deadline = start + seconds(5);
            static_cast<void>(scheduler.submit(late, start));
            text += describe(scheduler.schedule(start));
            text += describe(scheduler.schedule(start + seconds(5)));
            return text;
        },
        "send 1 drop 2 " },
    { "LeavingEndpointGetsNothing",
        [] {
            Scheduler scheduler = withEngines(1);
            scheduler.upsert({ "engine0", "models", { "large" }, "zone", "region", EndpointState::Leaving }, start);
            std::string text = submitCalls(scheduler, 1);
            text += describe(scheduler.schedule(start));
            return text;
        },
        "" },
    { "RepeatableCallIsRetried", [] { return afterFailure(true, FailureKind::Crashed, core::RunState::MayHaveRun); },
        "retry elsewhere" },
    { "NonRepeatableCallIsNot", [] { return afterFailure(false, FailureKind::Crashed, core::RunState::MayHaveRun); },
        "error, may have run" },
    { "RefusedConnectionIsRetriedInAnyCase",
        [] { return afterFailure(false, FailureKind::ConnectionRefused, core::RunState::NotRun); }, "retry elsewhere" },
    { "CancelledCallIsNotRetried",
        [] { return afterFailure(true, FailureKind::Cancelled, core::RunState::MayHaveRun); }, "error, may have run" },
    { "SecondLossIsolatesThePoison",
        [] {
            Scheduler scheduler = withEngines(4);
            submitCalls(scheduler, 1);
            core::TimePoint now = start;
            for (int loss = 0; loss < 2; ++loss) {
                const ScheduleStep step = scheduler.schedule(now);
                const auto outcome = scheduler.failed(
                    step.assignments.at(0).attempt, FailureKind::Crashed, core::RunState::MayHaveRun, now);
                now = outcome.retryAt.value_or(now);
            }
            ScheduledCall again = call(2);
            again.digest = "digest1";
            const auto refused = scheduler.submit(again, now);
            const bool isolated = !refused && refused.error().error.code == core::ResultCode::RequestIsolated;
            return describe(scheduler.schedule(now)) + (isolated ? "isolated" : "accepted");
        },
        "drop 1 isolated" },
    { "NoticeOfAnotherNodeCounts",
        [] {
            Scheduler scheduler = withEngines(4);
            scheduler.merge({ "engine2", { "digest1" }, {} }, start);
            scheduler.merge({ "engine3", { "digest1" }, {} }, start);
            return submitCalls(scheduler, 1);
        },
        "refuse 1 " },
    { "CancelFreesTheSlot",
        [] {
            Scheduler scheduler = withEngines(1);
            submitCalls(scheduler, 2);
            static_cast<void>(scheduler.schedule(start));
            const auto stopped = scheduler.cancel(1, start);
            return std::to_string(stopped.size()) + " stopped, " + describe(scheduler.schedule(start));
        },
        "1 stopped, send 2 " },
    { "ShortPauseKeepsTheCache",
        [] {
            Scheduler scheduler = withEngines(1);
            submitCalls(scheduler, 1);
            const ScheduleStep first = scheduler.schedule(start);
            scheduler.finished(first.assignments.at(0).attempt, { 1'000, 10, 0 }, start);
            const auto order = scheduler.paused({ 1, "tool" }, start);
            return std::string(order && order->action == CacheAction::Keep ? "keep" : "other");
        },
        "keep" },
};

} // namespace

class SchedulerDecisions : public testing::TestWithParam<SchedulerCase> { };

// Guards against a scheduler that loses or contradicts a decision of one of its components.
TEST_P(SchedulerDecisions, MatchExpected)
{
    EXPECT_EQ(GetParam().run(), GetParam().decision);
}

INSTANTIATE_TEST_SUITE_P(
    All, SchedulerDecisions, testing::ValuesIn(schedulerCases), [](const auto& info) { return info.param.name; });

} // namespace lagoontiller::policy
