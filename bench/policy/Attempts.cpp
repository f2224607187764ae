#include "bench/policy/Simulation.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::bench {

namespace {

constexpr std::uint64_t bytesPerToken = 4;
constexpr core::Duration sameZoneDelay { 200 };
constexpr core::Duration otherZoneDelay { 1'200 };
constexpr core::Duration otherRegionDelay { 12'000 };
constexpr double regionLinkBytesPerMs = 12'500;
constexpr core::Duration connectTimeout = std::chrono::seconds(1);
/// \brief Time after the start of `leaving` during which an endpoint may still receive work (C8).
constexpr core::Duration leavingGracePeriod = std::chrono::seconds(3);
constexpr double meanToolMs = 40;

} // namespace

bool Simulation::isDisconnected(std::size_t regionA, std::size_t regionB) const
{
    return this->disconnectedRegion && regionA != regionB
        && (*this->disconnectedRegion == regionA || *this->disconnectedRegion == regionB);
}

core::Duration Simulation::networkDelay(const Attempt& attempt, std::uint64_t bytes) const
{
    const Node& node = this->nodes[attempt.node];
    const Endpoint& endpoint = this->endpoints[attempt.endpoint];
    if (node.region != endpoint.region) {
        const double transfer = static_cast<double>(bytes) / regionLinkBytesPerMs * 1'000;
        return otherRegionDelay + core::Duration(static_cast<std::int64_t>(transfer));
    }
    return node.zone == endpoint.zone ? sameZoneDelay : otherZoneDelay;
}

void Simulation::checkAssignment(const Program& program, const policy::Assignment& assignment, std::size_t index)
{
    if (program.ended || program.call != assignment.call) {
        this->recordViolation("order of turns");
    }
    if (program.running > 0 && !assignment.hedge) {
        this->recordViolation("two attempts of one call at once");
    }
    const Endpoint& endpoint = this->endpoints[index];
    if (endpoint.leavingSince && this->now - *endpoint.leavingSince > leavingGracePeriod) {
        this->recordViolation("leaving endpoint got work");
    }
}

void Simulation::send(std::size_t node, const policy::Assignment& assignment)
{
    const std::size_t programIndex = this->calls.at(assignment.call);
    Program& program = this->programs[programIndex];
    this->checkAssignment(program, assignment, assignment.endpoint);
    program.running += 1;
    const std::size_t index = this->attempts.size();
    this->attempts.push_back({ node, assignment.attempt, assignment.call, programIndex, assignment.endpoint,
        assignment.silenceTimeout, false, false, false, false });
    const Attempt& attempt = this->attempts.back();
    this->nodes[node].attempts[assignment.attempt] = index;
    Endpoint& endpoint = this->endpoints[assignment.endpoint];
    endpoint.attempts.insert(index);
    const PlanStep& step = this->stepOf(program);
    const std::uint64_t bytes = step.prompt * bytesPerToken;
    if (this->nodes[node].region != endpoint.region) {
        this->result.crossRegionBytes += bytes;
    }
    if (this->isDisconnected(this->nodes[node].region, endpoint.region)) {
        this->schedule(connectTimeout,
            [this, index] { this->fail(index, policy::FailureKind::ConnectionRefused, core::RunState::NotRun); });
        return;
    }
    core::Duration delay = this->networkDelay(attempt, bytes);
    std::uint32_t imported = 0;
    if (assignment.kvSource) {
        const Endpoint& source = this->endpoints[*assignment.kvSource];
        const policy::SchedulerOptions options;
        imported = source.engine->cached(this->cacheKey(programIndex, step.context));
        const double size = static_cast<double>(imported) * static_cast<double>(options.kvBytesPerToken);
        const bool far = source.region != endpoint.region;
        this->result.crossRegionBytes += far ? static_cast<std::uint64_t>(size) : 0;
        const double ms = size / (far ? regionLinkBytesPerMs : options.pause.exportBytesPerMs);
        delay += core::Duration(static_cast<std::int64_t>(ms * 1'000));
    }
    this->schedule(delay, [this, index, imported] { this->deliverRequest(index, imported); });
    this->schedule(assignment.timeout, [this, index] {
        if (!this->attempts[index].first) {
            this->fail(index, policy::FailureKind::TimedOut, core::RunState::MayHaveRun);
        }
    });
}

void Simulation::deliverRequest(std::size_t index, std::uint32_t imported)
{
    const Attempt& attempt = this->attempts[index];
    if (attempt.done) {
        return;
    }
    Endpoint& endpoint = this->endpoints[attempt.endpoint];
    if (!endpoint.up) {
        this->schedule(this->networkDelay(attempt, 0),
            [this, index] { this->fail(index, policy::FailureKind::ConnectionRefused, core::RunState::NotRun); });
        return;
    }
    if (!endpoint.model) {
        this->executeToolCall(index);
        return;
    }
    const Program& program = this->programs[attempt.program];
    const PlanStep& step = this->stepOf(program);
    this->advanceEngine(attempt.endpoint);
    const auto key = this->cacheKey(attempt.program, step.context);
    if (imported > 0) {
        endpoint.engine->import(key, imported, this->now);
    }
    const int priority = this->settings.policy == PolicyKind::Scheduler ? this->planOf(program).priority : 0;
    endpoint.engine->submit({ index, key, priority, step.prompt, step.completion, program.poison, 0 });
    this->advanceEngine(attempt.endpoint);
}

void Simulation::executeToolCall(std::size_t index)
{
    const Attempt& attempt = this->attempts[index];
    Program& program = this->programs[attempt.program];
    program.runs[program.step] += 1;
    if (!this->stepOf(program).repeatable && program.runs[program.step] > 1) {
        this->recordViolation("non-repeatable call ran more than once");
    }
    const double ms = meanToolMs * (0.5 + policy::uniform(this->random));
    const std::uint32_t generation = this->endpoints[attempt.endpoint].generation;
    this->schedule(core::Duration(static_cast<std::int64_t>(ms * 1'000)), [this, index, generation] {
        const Attempt& served = this->attempts[index];
        if (!served.done && this->endpoints[served.endpoint].generation == generation) {
            this->schedule(this->networkDelay(served, 0), [this, index] { this->finish(index, {}); });
        }
    });
}

void Simulation::advanceEngine(std::size_t index)
{
    Endpoint& endpoint = this->endpoints[index];
    for (const EngineOutput& each : endpoint.engine->advance(this->now)) {
        this->handleOutput(index, each);
    }
    endpoint.version += 1;
    const auto next = endpoint.engine->nextEvent();
    if (next) {
        this->schedule(*next - this->now, [this, index, version = endpoint.version] {
            if (this->endpoints[index].version == version) {
                this->advanceEngine(index);
            }
        });
    }
}

void Simulation::handleOutput(std::size_t endpoint, const EngineOutput& output)
{
    const std::size_t index = output.job.id;
    Attempt& attempt = this->attempts[index];
    Program& program = this->programs[attempt.program];
    if (output.kind == EngineOutput::Kind::Crashed) {
        this->poisoned.insert(endpoint);
        this->schedule(core::Duration(0), [this, endpoint] { this->crash(endpoint, std::chrono::seconds(10)); });
        return;
    }
    if (output.kind == EngineOutput::Kind::Started) {
        const PlanStep& step = this->stepOf(program);
        std::uint32_t& computed = program.computed[step.context];
        const std::uint32_t known = std::min(computed, step.prompt);
        this->result.promptTokens += output.job.prompt;
        this->result.wastedTokens += known > output.job.cached ? known - output.job.cached : 0;
        computed = std::max(computed, step.prompt);
        return;
    }
    if (output.kind == EngineOutput::Kind::FirstToken) {
        this->schedule(this->networkDelay(attempt, 0), [this, index] {
            Attempt& reached = this->attempts[index];
            if (!reached.done && !reached.silent) {
                reached.first = true;
                this->cancel(reached.node, this->nodes[reached.node].decider->firstToken(reached.id, this->now));
            }
        });
        return;
    }
    const policy::Usage usage { output.job.prompt, output.job.completion, output.job.cached };
    const std::uint64_t bytes = output.job.completion * bytesPerToken;
    if (this->nodes[attempt.node].region != this->endpoints[endpoint].region) {
        this->result.crossRegionBytes += bytes;
    }
    this->schedule(this->networkDelay(attempt, bytes), [this, index, usage] { this->finish(index, usage); });
}

void Simulation::finish(std::size_t index, const policy::Usage& usage)
{
    Attempt& attempt = this->attempts[index];
    if (attempt.done || attempt.silent) {
        return;
    }
    attempt.done = true;
    this->programs[attempt.program].running -= 1;
    this->endpoints[attempt.endpoint].attempts.erase(index);
    Program& program = this->programs[attempt.program];
    if (program.call != attempt.call) {
        this->recordViolation("order of turns");
        return;
    }
    if (usage.promptTokens > 0) {
        program.computed[this->stepOf(program).context] = usage.promptTokens + usage.completionTokens;
    }
    const std::size_t node = attempt.node;
    const std::size_t answeredProgram = attempt.program;
    this->cancel(node, this->nodes[node].decider->finished(attempt.id, usage, this->now));
    this->answered(answeredProgram);
    this->dispatchCalls(node);
}

void Simulation::fail(std::size_t index, policy::FailureKind kind, core::RunState ran)
{
    Attempt& attempt = this->attempts[index];
    if (attempt.done) {
        return;
    }
    attempt.done = true;
    this->programs[attempt.program].running -= 1;
    Endpoint& endpoint = this->endpoints[attempt.endpoint];
    endpoint.attempts.erase(index);
    if (endpoint.engine && endpoint.up) {
        this->advanceEngine(attempt.endpoint);
        endpoint.engine->cancel(index);
        this->advanceEngine(attempt.endpoint);
    }
    const std::size_t node = this->attempts[index].node;
    const std::size_t program = this->attempts[index].program;
    const auto outcome = this->nodes[node].decider->failed(this->attempts[index].id, kind, ran, this->now);
    if (outcome.notice) {
        this->broadcastNotice(*outcome.notice, node);
    }
    if (outcome.error) {
        this->refused(program, *outcome.error, {});
    }
    this->dispatchCalls(node);
}

void Simulation::cancel(std::size_t node, const std::vector<policy::AttemptId>& stopped)
{
    for (const policy::AttemptId id : stopped) {
        const std::size_t index = this->nodes[node].attempts.at(id);
        Attempt& attempt = this->attempts[index];
        attempt.done = true;
        this->programs[attempt.program].running -= 1;
        Endpoint& endpoint = this->endpoints[attempt.endpoint];
        endpoint.attempts.erase(index);
        if (endpoint.engine) {
            this->advanceEngine(attempt.endpoint);
            endpoint.engine->cancel(index);
            this->advanceEngine(attempt.endpoint);
        }
    }
}

void Simulation::silenceConnection(std::size_t index)
{
    Attempt& attempt = this->attempts[index];
    if (attempt.done || attempt.silent) {
        return;
    }
    attempt.silent = true;
    if (attempt.first) {
        this->schedule(attempt.silence,
            [this, index] { this->fail(index, policy::FailureKind::Silent, core::RunState::MayHaveRun); });
    }
}

} // namespace lagoontiller::bench
