#include "bench/policy/Simulation.h"

#include "core/Hash.h"

namespace lagoontiller::bench {

namespace {

constexpr std::uint64_t bytesPerToken = 4;
constexpr core::Duration callDeadline = std::chrono::seconds(60);
constexpr core::Duration shortestRetry = std::chrono::milliseconds(200);
/// \brief Time after which a caller gives up a refused call, for the first step of a program and for later steps.
constexpr core::Duration newProgramRetryLimit = std::chrono::seconds(30);
constexpr core::Duration laterTurnRetryLimit = std::chrono::seconds(120);
constexpr core::Duration resendDelay = std::chrono::seconds(1);
constexpr core::Duration storePoll = std::chrono::milliseconds(500);
constexpr int poisonResends = 8;

} // namespace

const ProgramPlan& Simulation::planOf(const Program& program) const
{
    return this->deployment.plans[program.arriving.plan];
}

const PlanStep& Simulation::stepOf(const Program& program) const
{
    return this->planOf(program).steps[program.step];
}

std::uint64_t Simulation::cacheKey(std::size_t program, std::uint32_t context) const
{
    return core::hash64(std::to_string(program) + "~" + std::to_string(context));
}

void Simulation::startProgram(std::size_t index)
{
    this->programs[index].callSince = this->now;
    this->runStep(index);
}

void Simulation::runStep(std::size_t index)
{
    Program& program = this->programs[index];
    if (program.step >= this->planOf(program).steps.size()) {
        this->endProgram(index, true);
        return;
    }
    const PlanStep& step = this->stepOf(program);
    program.callSince = this->now;
    if (step.kind == StepKind::Pause) {
        this->pause(index, step);
    } else {
        this->submitCall(index);
    }
}

void Simulation::pause(std::size_t index, const PlanStep& step)
{
    Program& program = this->programs[index];
    const auto key = this->cacheKey(index, step.context);
    Decider& decider = *this->nodes[program.node].decider;
    const auto order = decider.paused({ key, step.tool, 1, false }, this->now);
    if (order && order->action != policy::CacheAction::Keep) {
        this->endpoints[order->endpoint].engine->release(key);
    }
    const core::Duration length(
        static_cast<std::int64_t>(policy::microseconds(step.pause) * program.arriving.pauseFactor));
    this->schedule(length, [this, index, key] {
        Program& paused = this->programs[index];
        this->nodes[paused.node].decider->resumed(key, this->now);
        paused.step += 1;
        this->runStep(index);
    });
}

policy::ScheduledCall Simulation::callOf(const Program& program, std::size_t index) const
{
    const PlanStep& step = this->stepOf(program);
    const ProgramPlan& plan = this->planOf(program);
    const Node& node = this->nodes[program.node];
    policy::ScheduledCall call;
    call.id = program.call;
    call.customer = plan.customer;
    call.program = this->cacheKey(index, step.context);
    call.urgency = { plan.priority, this->now + callDeadline };
    call.started = program.step > 0;
    call.route.zone = "zone" + std::to_string(node.zone);
    call.route.region = this->deployment.regions[node.region];
    call.route.latencyWeight = this->deployment.latencyWeight;
    call.route.wastedCacheWeight = this->deployment.wastedCacheWeight;
    call.route.repeatable = step.repeatable;
    if (step.kind == StepKind::Call) {
        call.route.service = this->deployment.toolService;
        return call;
    }
    call.route.service = this->deployment.modelService;
    call.route.model = step.model;
    call.route.prefix = call.program;
    call.route.promptTokens = step.prompt;
    call.route.expectedTokens = step.completion;
    call.route.requestBytes = step.prompt * bytesPerToken;
    call.route.responseBytes = step.completion * bytesPerToken;
    call.digest = program.poison ? "poison" : std::to_string(call.program) + "#" + std::to_string(program.step);
    return call;
}

void Simulation::submitCall(std::size_t index)
{
    Program& program = this->programs[index];
    const PlanStep& step = this->stepOf(program);
    // New programs and non-repeatable calls need a commit before they run; other calls continue without the store.
    if (this->storeDown && (program.step == 0 || !step.repeatable)) {
        this->schedule(storePoll, [this, index] { this->submitCall(index); });
        return;
    }
    program.call = ++this->lastCall;
    this->calls[program.call] = index;
    const auto arrived = this->nodes[program.node].decider->arrive(this->callOf(program, index), this->now);
    if (!arrived) {
        this->refused(index, arrived.error().error, arrived.error().retryAfter);
        return;
    }
    for (const policy::DroppedCall& dropped : *arrived) {
        this->refused(this->calls.at(dropped.call), dropped.error, dropped.retryAfter);
    }
    this->dispatchCalls(program.node);
}

void Simulation::refused(std::size_t index, const core::Error& error, core::Duration retryAfter)
{
    Program& program = this->programs[index];
    program.call = 0;
    if (program.poison) {
        program.resends += 1;
        if (error.code == core::ResultCode::RequestIsolated || program.resends > poisonResends) {
            this->endProgram(index, false);
            return;
        }
        program.node = (program.node + 1) % this->nodes.size();
        this->schedule(resendDelay, [this, index] { this->submitCall(index); });
        return;
    }
    if (error.ran != core::RunState::NotRun && !this->stepOf(program).repeatable) {
        this->result.failed += 1;
        this->endProgram(index, false);
        return;
    }
    const core::Duration retryLimit = program.step == 0 ? newProgramRetryLimit : laterTurnRetryLimit;
    if (error.code == core::ResultCode::RequestIsolated || this->now - program.callSince > retryLimit) {
        this->result.refused += 1;
        this->endProgram(index, false);
        return;
    }
    this->schedule(std::max(retryAfter, shortestRetry), [this, index] { this->submitCall(index); });
}

void Simulation::answered(std::size_t index)
{
    Program& program = this->programs[index];
    program.call = 0;
    program.step += 1;
    this->runStep(index);
}

void Simulation::endProgram(std::size_t index, bool success)
{
    Program& program = this->programs[index];
    program.ended = true;
    this->open -= 1;
    std::set<std::uint32_t> contexts;
    for (const PlanStep& step : this->planOf(program).steps) {
        contexts.insert(step.context);
    }
    Decider& decider = *this->nodes[program.node].decider;
    for (const std::uint32_t context : contexts) {
        const auto key = this->cacheKey(index, context);
        decider.programEnded(key);
        for (std::size_t i = 0; decider.releases() && i < this->settings.engines; ++i) {
            this->endpoints[i].engine->release(key);
        }
    }
    if (success && !program.poison) {
        const double seconds = policy::microseconds(this->now - program.arriving.at) / 1e6;
        this->result.programs.push_back({ program.arriving.at, seconds });
        this->result.completedInTime += this->now <= this->start + this->settings.length ? 1 : 0;
    }
}

void Simulation::dispatchCalls(std::size_t index)
{
    Node& node = this->nodes[index];
    const policy::ScheduleStep step = node.decider->next(this->now);
    for (const policy::Assignment& assignment : step.assignments) {
        this->send(index, assignment);
    }
    for (const policy::DroppedCall& dropped : step.dropped) {
        this->refused(this->calls.at(dropped.call), dropped.error, dropped.retryAfter);
    }
    const auto wake = node.decider->nextWake();
    if (wake && (!node.wake || *wake < *node.wake || *node.wake <= this->now)) {
        node.wake = wake;
        this->schedule(*wake - this->now, [this, index] { this->dispatchCalls(index); });
    }
}

} // namespace lagoontiller::bench
