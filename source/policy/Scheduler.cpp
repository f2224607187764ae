#include "policy/Scheduler.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

/// \brief Delay after which the caller of a new program that was refused for lack of KV memory may try again.
constexpr core::Duration memoryRetryAfter = std::chrono::seconds(1);

} // namespace

Scheduler::Scheduler(SchedulerOptions options, std::uint64_t seed)
    : options(options)
    , random(seed)
    , endpointRouter(this->options.router)
    , healthTracker(this->options.health)
    , poison(this->options.poison)
{
}

EndpointId Scheduler::upsert(const EndpointSpec& spec, core::TimePoint now)
{
    const EndpointId endpoint = this->endpointRouter.upsert(spec);
    if (this->attemptsByEndpoint.size() <= endpoint) {
        this->attemptsByEndpoint.resize(endpoint + 1);
        this->memoryPressure.resize(endpoint + 1);
    }
    this->service(spec.service);
    const auto changes
        = this->healthTracker.upsert(endpoint, this->endpointRouter.endpoints().row(endpoint).service, spec.state, now);
    if (spec.state != EndpointState::Live) {
        this->setServing(endpoint, false);
    }
    this->apply(changes);
    return endpoint;
}

void Scheduler::setCustomer(const std::string& customer, CustomerLimits limits)
{
    this->customers[customer] = limits;
    for (auto& [name, service] : this->services) {
        service.admission.setCustomer(customer, limits);
    }
}

void Scheduler::removeCustomer(const std::string& customer)
{
    this->customers.erase(customer);
    for (auto& [name, service] : this->services) {
        service.admission.removeCustomer(customer);
    }
}

void Scheduler::setRoutingNodes(double nodes)
{
    this->options.router.routingNodes = std::max(1.0, nodes);
    this->endpointRouter.setRoutingNodes(this->options.router.routingNodes);
}

tl::expected<std::vector<DroppedCall>, Refusal> Scheduler::submit(const ScheduledCall& call, core::TimePoint now)
{
    Service& service = this->service(call.route.service);
    if (!call.digest.empty() && this->poison.verdict(call.digest, now) == PoisonVerdict::Isolated) {
        return tl::unexpected<Refusal>(Refusal { core::Error(core::ResultCode::RequestIsolated,
                                                     "request is isolated because endpoints crashed while running it"),
            {} });
    }
    this->updateSlots(service);
    if (!this->hasKvMemory(service, call)) {
        service.admission.refused(call.program, now);
        return tl::unexpected<Refusal>(
            Refusal { core::Error(core::ResultCode::QueueFull, "engines have no free KV memory for a new program"),
                memoryRetryAfter });
    }
    const auto admitted
        = service.admission.admit({ call.customer, call.program, call.urgency.priority, call.started }, now);
    if (!admitted) {
        return tl::unexpected(admitted.error());
    }
    std::vector<DroppedCall> dropped;
    if (admitted->evictFrom) {
        for (auto& [model, queue] : service.queues) {
            const auto evicted = queue.evictLeastUrgent(*admitted->evictFrom);
            if (evicted) {
                service.admission.refused(evicted->program, evicted->arrivedAt);
                this->dropCall(evicted->id,
                    core::Error(
                        core::ResultCode::QueueFull, "evicted by a call within its customer's guaranteed capacity"),
                    this->options.admission.minRetryAfter, dropped);
                break;
            }
        }
    }
    service.retryBudget.addCall();
    if (!call.route.model.empty() && !this->programs.contains(call.program)) {
        this->setTokens(call.program, call.route.service, call.route.promptTokens);
    }
    Call& added
        = this->calls
              .insert_or_assign(call.id, Call { call, admitted->arrivedAt, {}, {}, {}, core::RunState::NotRun, false })
              .first->second;
    this->enqueue(added, service, dropped);
    return dropped;
}

ScheduleStep Scheduler::schedule(core::TimePoint now)
{
    ScheduleStep step;
    this->enqueueDueRetries(now, step);
    for (auto& [name, service] : this->services) {
        this->updateSlots(service);
        this->dropExpired(service, now, step);
        for (auto& [model, queue] : service.queues) {
            if (queue.size() > 0) {
                this->dispatchQueue(model, service, now, step);
            }
        }
    }
    this->startHedges(now, step);
    return step;
}

std::optional<core::TimePoint> Scheduler::nextWakeTime() const
{
    return this->retries.empty() ? std::nullopt : std::optional(this->retries.begin()->first);
}

std::size_t Scheduler::waiting() const
{
    std::size_t total = this->retries.size();
    for (const auto& [name, service] : this->services) {
        for (const auto& [model, queue] : service.queues) {
            total += queue.size();
        }
    }
    return total;
}

void Scheduler::raiseUrgency(std::uint64_t program, const Urgency& parent)
{
    for (auto& [name, service] : this->services) {
        for (auto& [model, queue] : service.queues) {
            queue.raiseUrgency(program, parent);
        }
    }
}

Scheduler::Service& Scheduler::service(const std::string& name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end()) {
        return found->second;
    }
    Service& added = this->services
                         .emplace(name,
                             Service { AdmissionController(this->options.admission),
                                 RetryBudget(this->options.retryRatio), {}, {}, 0, {}, 0, 0, std::nullopt })
                         .first->second;
    for (const auto& [customer, limits] : this->customers) {
        added.admission.setCustomer(customer, limits);
    }
    return added;
}

void Scheduler::apply(const std::vector<HealthChange>& changes)
{
    for (const HealthChange& change : changes) {
        this->endpointRouter.setTraffic(change.endpoint, change.traffic);
        const bool live = this->endpointRouter.endpoints().row(change.endpoint).spec.state == EndpointState::Live;
        this->setServing(change.endpoint, live && change.traffic.share > 0);
    }
}

void Scheduler::setServing(EndpointId endpoint, bool serving)
{
    Service& service = this->service(this->endpointRouter.endpoints().row(endpoint).spec.service);
    const double others = this->endpointRouter.load(endpoint).otherRequests();
    if (serving && service.serving.insert(endpoint).second) {
        service.otherRequests += others;
    } else if (!serving && service.serving.erase(endpoint) > 0) {
        service.otherRequests -= others;
    }
}

void Scheduler::updateSlots(Service& service) const
{
    const double slots = static_cast<double>(service.serving.size()) * this->options.router.slotsPerEndpoint;
    const double share = slots / this->options.router.routingNodes;
    const double unused = slots * this->options.overcommitRatio - service.otherRequests;
    service.admission.setSlots(static_cast<std::uint32_t>(std::ceil(std::max({ 1.0, share, unused }))));
}

bool Scheduler::hasKvMemory(const Service& service, const ScheduledCall& call) const
{
    if (call.started || call.route.model.empty() || service.kvCapacityTotal == 0) {
        return true;
    }
    const double share = static_cast<double>(service.kvCapacityTotal) / this->options.router.routingNodes
        * this->options.newProgramMemoryRatio;
    return service.programTokens == 0 || static_cast<double>(service.programTokens + call.route.promptTokens) <= share;
}

void Scheduler::setTokens(std::uint64_t id, const std::string& serviceName, std::uint32_t tokens)
{
    Program& program = this->programs[id];
    program.service = serviceName;
    Service& found = this->service(serviceName);
    found.programTokens += tokens;
    found.programTokens -= program.tokens;
    program.tokens = tokens;
}

void Scheduler::enqueue(const Call& call, Service& service, std::vector<DroppedCall>& dropped)
{
    const ScheduledCall& request = call.request;
    const auto program = this->programs.find(request.program);
    const std::uint64_t served = program == this->programs.end() ? 0 : program->second.servedTokens;
    RequestQueue& queue = service.queues.try_emplace(request.route.model, this->options.queue).first->second;
    const auto evicted = queue.push({ request.id, request.program, request.customer, request.urgency, call.arrivedAt,
        served, request.started || !call.triedEndpoints.empty() });
    if (evicted) {
        service.admission.refused(evicted->program, evicted->arrivedAt);
        this->dropCall(evicted->id, core::Error(core::ResultCode::QueueFull, "service queue is full"),
            this->options.admission.minRetryAfter, dropped);
    }
}

void Scheduler::enqueueDueRetries(core::TimePoint now, ScheduleStep& step)
{
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        const CallId id = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        const Call& call = this->calls.at(id);
        this->enqueue(call, this->service(call.request.route.service), step.dropped);
    }
}

void Scheduler::dropExpired(Service& service, core::TimePoint now, ScheduleStep& step)
{
    for (auto& [model, queue] : service.queues) {
        for (const QueuedRequest& expired : queue.expire(now)) {
            this->dropCall(expired.id,
                core::Error(core::ResultCode::DeadlineExceeded, "deadline expired before an endpoint was free"), {},
                step.dropped);
        }
    }
}

void Scheduler::dispatchQueue(const std::string& model, Service& service, core::TimePoint now, ScheduleStep& step)
{
    RequestQueue& queue = service.queues.at(model);
    std::set<CallId> blocked;
    std::vector<QueuedRequest> unplaced;
    const auto mayStart = [&](const QueuedRequest& request) { return service.admission.mayDispatch(request.customer); };
    constexpr std::size_t maxUnplaced = 16;
    while (unplaced.size() < maxUnplaced) {
        const auto request = queue.pop(mayStart);
        if (!request) {
            break;
        }
        Call& call = this->calls.at(request->id);
        const auto decision = this->chooseEndpoint(call, now);
        if (decision) {
            service.admission.dispatched(request->customer);
            step.assignments.push_back(this->startAttempt(call, *decision, now));
        } else if (decision.error().code == core::ResultCode::NoEndpoint) {
            unplaced.push_back(*request);
        } else {
            this->dropCall(request->id, decision.error(), {}, step.dropped);
        }
    }
    for (QueuedRequest& request : unplaced) {
        // The request was just removed from this queue, so pushing it back evicts nothing.
        static_cast<void>(queue.push(std::move(request)));
    }
}

core::Expected<RouteDecision> Scheduler::chooseEndpoint(const Call& call, core::TimePoint now)
{
    const std::string& digest = call.request.digest;
    const PoisonVerdict verdict = digest.empty() ? PoisonVerdict::Clear : this->poison.verdict(digest, now);
    if (verdict == PoisonVerdict::Isolated) {
        return core::failure(
            core::ResultCode::RequestIsolated, "request is isolated because endpoints crashed while running it");
    }
    RouteRequest route = call.request.route;
    route.excluded.insert(route.excluded.end(), call.triedEndpoints.begin(), call.triedEndpoints.end());
    auto decision = this->endpointRouter.choose(route, now, this->random);
    if (!decision && decision.error().code == core::ResultCode::NoEndpoint && !call.triedEndpoints.empty()) {
        // If no other endpoint is available, choose among all, including those already tried.
        route.excluded = call.request.route.excluded;
        decision = this->endpointRouter.choose(route, now, this->random);
    }
    constexpr int maxSuspectChoices = 4;
    for (int i = 0; verdict == PoisonVerdict::Suspect && decision && i < maxSuspectChoices; ++i) {
        const std::string& name = this->endpointRouter.endpoints().row(decision->endpoint).spec.name;
        if (this->poison.mayRun(digest, name, now)) {
            return decision;
        }
        route.excluded.push_back(decision->endpoint);
        decision = this->endpointRouter.choose(route, now, this->random);
    }
    if (verdict == PoisonVerdict::Suspect && decision
        && !this->poison.mayRun(digest, this->endpointRouter.endpoints().row(decision->endpoint).spec.name, now)) {
        return core::failure(core::ResultCode::NoEndpoint, "no endpoint may run a suspect request now");
    }
    return decision;
}

Assignment Scheduler::startAttempt(Call& call, const RouteDecision& decision, core::TimePoint now)
{
    const ScheduledCall& request = call.request;
    const RouteRequest& route = request.route;
    const AttemptId id = ++this->lastAttempt;
    const bool isModel = !route.model.empty();
    Assignment assignment { id, request.id, decision.endpoint, decision.cachedTokens,
        std::min(request.maxTimeout,
            this->timeouts.timeout(route.service, isModel ? TimeoutKind::FirstByte : TimeoutKind::ServiceCall)),
        this->timeouts.timeout(route.service, TimeoutKind::InterToken), this->kvSource(call, decision),
        !call.attempts.empty() };
    if (assignment.kvSource) {
        assignment.cachedTokens = this->endpointRouter.cachedTokens(route.prefix, *assignment.kvSource);
    }
    Attempt attempt { request.id, decision.endpoint, now, {}, decision.queueMs, false };
    if (!request.digest.empty() && this->poison.verdict(request.digest, now) == PoisonVerdict::Suspect) {
        attempt.suspect = true;
        this->poison.suspectStarted(request.digest, this->endpointRouter.endpoints().row(decision.endpoint).spec.name);
    }
    this->attempts.emplace(id, attempt);
    this->attemptsByEndpoint[decision.endpoint].insert(id);
    call.attempts.insert(id);
    call.triedEndpoints.push_back(decision.endpoint);
    this->endpointRouter.sent(id,
        { decision.endpoint, route.prefix, route.promptTokens, route.expectedTokens, assignment.cachedTokens }, now);
    this->apply(this->healthTracker.sent(decision.endpoint, now));
    return assignment;
}

std::optional<EndpointId> Scheduler::kvSource(const Call& call, const RouteDecision& decision) const
{
    const auto program = this->programs.find(call.request.program);
    if (!this->options.kvMove || program == this->programs.end() || !program->second.endpoint
        || *program->second.endpoint == decision.endpoint) {
        return std::nullopt;
    }
    const EndpointId source = *program->second.endpoint;
    const RouteRequest& route = call.request.route;
    const auto& endpoints = this->endpointRouter.endpoints();
    const double tokens = this->endpointRouter.cachedTokens(route.prefix, source) - decision.cachedTokens;
    if (tokens <= 0 || !endpoints.serves(source, route.service, route.model)) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint32_t>(tokens);
    const bool crossRegion = endpoints.row(source).region != endpoints.row(decision.endpoint).region;
    const KvMove move { count, count * this->options.kvBytesPerToken, crossRegion, route.latencyWeight,
        route.wastedCacheWeight };
    return shouldMoveKv(move, this->options.pause) ? std::optional(source) : std::nullopt;
}

void Scheduler::dropCall(CallId id, core::Error error, core::Duration retryAfter, std::vector<DroppedCall>& dropped)
{
    const auto entry = this->calls.find(id);
    const ScheduledCall& request = entry->second.request;
    if (!request.started && entry->second.triedEndpoints.empty()) {
        this->programEnded(request.program);
    }
    this->service(request.route.service).admission.withdrawn(request.customer, request.program);
    error.ran = entry->second.ran;
    this->calls.erase(entry);
    dropped.push_back({ id, std::move(error), retryAfter });
}

} // namespace lagoontiller::policy
