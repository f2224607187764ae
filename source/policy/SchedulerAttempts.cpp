#include "policy/Scheduler.h"

#include <algorithm>

namespace lagoontiller::policy {

namespace {

constexpr double microsecondsPerMs = 1'000;

} // namespace

std::vector<AttemptId> Scheduler::cancel(CallId id, core::TimePoint now)
{
    const auto entry = this->calls.find(id);
    if (entry == this->calls.end()) {
        return {};
    }
    Call& call = entry->second;
    const ScheduledCall& request = call.request;
    Service& service = this->service(request.route.service);
    const bool running = !call.attempts.empty();
    std::vector<AttemptId> stopped = this->cancelOtherAttempts(call, 0, now);
    if (running) {
        service.admission.ended(request.customer, request.program, now);
    } else {
        for (auto& [model, queue] : service.queues) {
            queue.remove(id);
        }
        std::erase_if(this->retries, [id](const auto& each) { return each.second == id; });
        service.admission.withdrawn(request.customer, request.program);
    }
    this->calls.erase(entry);
    return stopped;
}

std::vector<AttemptId> Scheduler::firstToken(AttemptId id, core::TimePoint now)
{
    const auto entry = this->attempts.find(id);
    if (entry == this->attempts.end() || entry->second.firstTokenAt != core::TimePoint {}) {
        return {};
    }
    Attempt& attempt = entry->second;
    attempt.firstTokenAt = now;
    this->endpointRouter.firstToken(id, now);
    Call& call = this->calls.at(attempt.call);
    this->timeouts.observe(call.request.route.service, TimeoutKind::FirstByte, now - attempt.sentAt);
    return this->cancelOtherAttempts(call, id, now);
}

std::vector<AttemptId> Scheduler::finished(AttemptId id, const Usage& usage, core::TimePoint now)
{
    const auto entry = this->attempts.find(id);
    if (entry == this->attempts.end()) {
        return {};
    }
    const Attempt attempt = entry->second;
    Call& call = this->calls.at(attempt.call);
    const ScheduledCall& request = call.request;
    std::vector<AttemptId> stopped = this->cancelOtherAttempts(call, id, now);
    if (request.route.model.empty()) {
        this->timeouts.observe(request.route.service, TimeoutKind::ServiceCall, now - attempt.sentAt);
    } else if (usage.completionTokens > 0 && attempt.firstTokenAt != core::TimePoint {}) {
        this->timeouts.observe(request.route.service, TimeoutKind::InterToken,
            (now - attempt.firstTokenAt) / static_cast<std::int64_t>(usage.completionTokens));
    }
    const double latency = this->latencyRatio(attempt, usage, now);
    this->endpointRouter.finished(id, usage, now);
    this->apply(this->healthTracker.succeeded(attempt.endpoint, latency, now));
    this->endAttempt(id, attempt, call);
    if (!request.digest.empty()) {
        this->poison.succeeded(request.digest, now);
    }
    if (!request.route.model.empty()) {
        const std::uint64_t tokens = usage.promptTokens - usage.cachedTokens + usage.completionTokens;
        Program& program = this->programs[request.program];
        program.servedTokens += tokens;
        program.endpoint = attempt.endpoint;
        program.prefix = request.route.prefix;
        this->setTokens(request.program, request.route.service, usage.promptTokens + usage.completionTokens);
        for (auto& [model, queue] : this->service(request.route.service).queues) {
            queue.addServedTokens(request.program, tokens);
        }
    }
    this->service(request.route.service).admission.ended(request.customer, request.program, now);
    this->calls.erase(attempt.call);
    return stopped;
}

AttemptOutcome Scheduler::failed(AttemptId id, FailureKind kind, core::RunState ran, core::TimePoint now)
{
    const auto entry = this->attempts.find(id);
    if (entry == this->attempts.end()) {
        return {};
    }
    AttemptOutcome outcome;
    const Attempt attempt = entry->second;
    if (kind == FailureKind::Crashed) {
        outcome.notice = this->endpointLost(attempt.endpoint, now);
    }
    Call& call = this->calls.at(attempt.call);
    const ScheduledCall& request = call.request;
    if (kind == FailureKind::TimedOut) {
        const auto timeout = request.route.model.empty() ? TimeoutKind::ServiceCall : TimeoutKind::FirstByte;
        this->timeouts.observe(request.route.service, timeout, now - attempt.sentAt);
    }
    this->endpointRouter.failed(id, kind, now);
    this->apply(this->healthTracker.failed(attempt.endpoint, kind, now));
    this->endAttempt(id, attempt, call);
    call.ran = std::max(call.ran, ran);
    if (!call.attempts.empty()) {
        return outcome;
    }
    Service& service = this->service(request.route.service);
    const FailedCall failure { kind, request.route.repeatable, call.ran, call.triedEndpoints, call.previousDelay,
        request.urgency.deadline };
    const RetryDecision decision = decideRetry(failure, this->options.retry, service.retryBudget, now, this->random);
    if (decision.retry) {
        call.previousDelay = decision.delay;
        service.admission.requeued(request.customer);
        outcome.retryAt = now + decision.delay;
        this->retries.emplace(*outcome.retryAt, request.id);
        return outcome;
    }
    outcome.error = core::Error(decision.code, "attempt on the endpoint failed", call.ran);
    service.admission.ended(request.customer, request.program, now);
    this->calls.erase(attempt.call);
    return outcome;
}

void Scheduler::report(EndpointId endpoint, const LoadReport& report)
{
    const double before = this->endpointRouter.load(endpoint).otherRequests();
    this->endpointRouter.report(endpoint, report);
    Service& service = this->service(this->endpointRouter.endpoints().row(endpoint).spec.service);
    if (service.serving.contains(endpoint)) {
        service.otherRequests += this->endpointRouter.load(endpoint).otherRequests() - before;
    }
    if (report.kvCapacity > 0) {
        std::uint64_t& memory = service.kvCapacityByEndpoint[endpoint];
        service.kvCapacityTotal += report.kvCapacity - memory;
        memory = report.kvCapacity;
        this->memoryPressure[endpoint] = static_cast<double>(report.kvUsed) / static_cast<double>(report.kvCapacity);
    }
}

void Scheduler::cacheEvent(EndpointId endpoint, const CacheEvent& event)
{
    this->endpointRouter.cacheEvent(endpoint, event);
}

void Scheduler::merge(const PoisonNotice& notice, core::TimePoint now)
{
    this->poison.merge(notice, now);
}

std::optional<PauseOrder> Scheduler::paused(const ProgramPause& pause, core::TimePoint now)
{
    const auto entry = this->programs.find(pause.program);
    if (entry == this->programs.end() || !entry->second.endpoint) {
        return std::nullopt;
    }
    Program& program = entry->second;
    program.tool = pause.tool;
    program.pausedAt = now;
    const PausedCache cache { this->pauses.expected(pause.tool), program.tokens,
        program.tokens * this->options.kvBytesPerToken, this->memoryPressure[*program.endpoint],
        pause.returnProbability, pause.canExport };
    const PauseOrder order { decidePausedCache(cache, this->options.pause), *program.endpoint };
    if (order.action != CacheAction::Keep) {
        this->endpointRouter.released(program.prefix);
        program.endpoint.reset();
    }
    return order;
}

void Scheduler::resumed(std::uint64_t id, core::TimePoint now)
{
    const auto entry = this->programs.find(id);
    if (entry != this->programs.end() && !entry->second.tool.empty()) {
        this->pauses.observe(entry->second.tool, now - entry->second.pausedAt, now);
        entry->second.tool.clear();
    }
}

void Scheduler::programEnded(std::uint64_t id)
{
    const auto entry = this->programs.find(id);
    if (entry != this->programs.end()) {
        this->endpointRouter.released(entry->second.prefix);
        this->service(entry->second.service).programTokens -= entry->second.tokens;
        this->programs.erase(entry);
    }
}

OrderPlanner& Scheduler::orderPlanner(const std::string& name, const OrderOptions& orderOptions)
{
    Service& found = this->service(name);
    if (!found.planner) {
        found.planner.emplace(orderOptions);
    }
    return *found.planner;
}

void Scheduler::tick(core::TimePoint now)
{
    this->apply(this->healthTracker.tick(now));
    this->poison.tick(now);
    for (auto& [name, service] : this->services) {
        service.admission.tick(now);
    }
}

void Scheduler::startHedges(core::TimePoint now, ScheduleStep& step)
{
    constexpr core::Duration hedgeCheckInterval = std::chrono::milliseconds(100);
    constexpr double slowQuantile = 0.95;
    if (!this->options.retry.hedging || now < this->nextHedgeCheck) {
        return;
    }
    this->nextHedgeCheck = now + hedgeCheckInterval;
    std::vector<CallId> slow;
    for (const auto& [id, attempt] : this->attempts) {
        if (attempt.firstTokenAt == core::TimePoint {}) {
            slow.push_back(attempt.call);
        }
    }
    std::sort(slow.begin(), slow.end());
    for (const CallId id : slow) {
        Call& call = this->calls.at(id);
        const RouteRequest& route = call.request.route;
        if (call.hedged || route.model.empty()) {
            continue;
        }
        const Attempt& running = this->attempts.at(*call.attempts.begin());
        const auto usual
            = this->timeouts.quantile(route.service, TimeoutKind::FirstByte, slowQuantile, core::Duration::max());
        if (now - running.sentAt <= usual) {
            continue;
        }
        const auto decision = this->chooseEndpoint(call, now);
        if (!decision) {
            continue;
        }
        const core::Duration elsewhere(static_cast<std::int64_t>(decision->firstTokenMs * microsecondsPerMs));
        const SlowCall measured { route.repeatable, now - running.sentAt, usual, elsewhere, call.hedged };
        if (decideHedge(measured, this->options.retry, this->service(route.service).retryBudget)) {
            call.hedged = true;
            step.assignments.push_back(this->startAttempt(call, *decision, now));
        }
    }
}

std::vector<AttemptId> Scheduler::cancelOtherAttempts(Call& call, AttemptId answering, core::TimePoint now)
{
    std::vector<AttemptId> stopped;
    for (const AttemptId id : call.attempts) {
        if (id != answering) {
            stopped.push_back(id);
        }
    }
    for (const AttemptId id : stopped) {
        const Attempt attempt = this->attempts.at(id);
        this->endpointRouter.failed(id, FailureKind::Cancelled, now);
        this->apply(this->healthTracker.failed(attempt.endpoint, FailureKind::Cancelled, now));
        this->endAttempt(id, attempt, call);
    }
    return stopped;
}

void Scheduler::endAttempt(AttemptId id, const Attempt& attempt, const Call& call)
{
    if (attempt.suspect) {
        this->poison.suspectEnded(
            call.request.digest, this->endpointRouter.endpoints().row(attempt.endpoint).spec.name);
    }
    this->attemptsByEndpoint[attempt.endpoint].erase(id);
    this->calls.at(attempt.call).attempts.erase(id);
    this->attempts.erase(id);
}

double Scheduler::latencyRatio(const Attempt& attempt, const Usage& usage, core::TimePoint now) const
{
    const double observed = microseconds(now - attempt.sentAt) / microsecondsPerMs;
    if (usage.completionTokens == 0) {
        return observed;
    }
    const double uncached = static_cast<double>(usage.promptTokens) - usage.cachedTokens;
    const double predicted = attempt.queueMs + uncached / this->options.router.prefillTokensPerMs
        + usage.completionTokens * this->options.router.msPerGeneratedToken;
    return observed / predicted;
}

PoisonNotice Scheduler::endpointLost(EndpointId endpoint, core::TimePoint now)
{
    std::set<std::string> digests;
    for (const AttemptId id : this->attemptsByEndpoint[endpoint]) {
        const std::string& digest = this->calls.at(this->attempts.at(id).call).request.digest;
        if (!digest.empty()) {
            digests.insert(digest);
        }
    }
    const std::vector<std::string> present(digests.begin(), digests.end());
    return this->poison.endpointLost(this->endpointRouter.endpoints().row(endpoint).spec.name, present, now);
}

} // namespace lagoontiller::policy
