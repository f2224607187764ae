#include "control/Dispatcher.h"

#include "core/Hash.h"

namespace lagoontiller::control {

namespace {

constexpr double bytesPerToken = 4;
// Limits the effect of a wrong clock on the engine's host.
constexpr std::int64_t maxReportAgeMs = 30'000;

std::uint64_t keyHash(const std::string& cacheKey)
{
    return cacheKey.empty() ? 0 : core::hash64(cacheKey);
}

std::uint32_t saturateToUint32(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, 0xFFFFFFFFU));
}

} // namespace

Dispatcher::Dispatcher(std::string zone, std::string region, std::uint64_t seed)
    : zone(std::move(zone))
    , region(std::move(region))
    , scheduler({}, seed)
{
}

void Dispatcher::setDocument(const std::shared_ptr<const document::Document>& newDocument, core::TimePoint now)
{
    const auto previous = std::exchange(this->document, newDocument);
    this->setCustomers(previous.get());
    this->refreshEndpoints(now);
}

void Dispatcher::setCustomers(const document::Document* previous)
{
    if (previous != nullptr) {
        for (const auto& customer : previous->customers()) {
            if (this->document->customer(customer.name) == nullptr)
                this->scheduler.removeCustomer(customer.name);
        }
    }
    for (const auto& customer : this->document->customers()) {
        this->scheduler.setCustomer(
            customer.name, { customer.share, static_cast<std::uint32_t>(customer.maxConcurrent) });
    }
}

void Dispatcher::setVmList(const vmlist::VmList& list, core::TimePoint now)
{
    this->vms = list;
    this->refreshEndpoints(now);
}

void Dispatcher::setNodeCount(std::size_t nodes)
{
    this->scheduler.setRoutingNodes(static_cast<double>(std::max<std::size_t>(1, nodes)));
}

void Dispatcher::refreshEndpoints(core::TimePoint now)
{
    if (!this->document)
        return;
    const auto previous = std::exchange(this->endpointIds, {});
    if (this->vms) {
        for (const auto& vm : this->vms->vms) {
            const bool leaving = vm.state == vmlist::VmState::Leaving;
            if (vm.isEndpoint) {
                this->upsertEndpoint(vm.address, vm.service, vm.zone, vm.region,
                    leaving ? policy::EndpointState::Leaving : policy::EndpointState::Live, now);
            }
        }
    } else {
        for (const auto& vm : this->document->vms()) {
            if (vm.role == document::VmRole::Endpoint)
                this->upsertEndpoint(vm.address, vm.service, vm.zone, vm.region, policy::EndpointState::Live, now);
        }
    }
    for (const auto& [address, id] : previous) {
        if (this->endpointIds.contains(address))
            continue;
        auto spec = this->scheduler.router().endpoints().row(id).spec;
        spec.state = policy::EndpointState::Gone;
        this->scheduler.upsert(spec, now);
    }
}

void Dispatcher::upsertEndpoint(const std::string& address, const std::string& service, const std::string& endpointZone,
    const std::string& endpointRegion, policy::EndpointState state, core::TimePoint now)
{
    const auto* serviceSpec = this->document->service(service);
    if (serviceSpec == nullptr)
        return;
    const policy::EndpointSpec spec { address, service, serviceSpec->models, endpointZone, endpointRegion, state };
    const auto id = this->scheduler.upsert(spec, now);
    if (this->addresses.size() <= id)
        this->addresses.resize(id + 1);
    this->addresses[id] = address;
    this->endpointIds[address] = id;
}

policy::RouteRequest Dispatcher::routeFor(const DispatchRequest& request) const
{
    const auto* service = this->document->service(request.service);
    policy::RouteRequest route;
    route.service = request.service;
    route.model = request.model;
    route.zone = this->zone;
    route.region = this->region;
    route.prefix = keyHash(request.cacheKey);
    route.sharedPrefix = keyHash(request.parentCacheKey);
    route.promptTokens = saturateToUint32(request.promptTokens);
    route.expectedTokens = saturateToUint32(request.expectedTokens);
    route.requestBytes = request.requestBytes;
    route.responseBytes = static_cast<std::uint64_t>(static_cast<double>(request.expectedTokens) * bytesPerToken);
    route.latencyWeight = service == nullptr ? 1 : service->latencyWeight;
    route.wastedCacheWeight = service == nullptr ? 1 : service->wastedCacheWeight;
    route.repeatable = request.repeatable;
    return route;
}

bool Dispatcher::acceptsNewCalls(policy::EndpointId endpoint) const
{
    return this->scheduler.router().endpoints().row(endpoint).spec.state == policy::EndpointState::Live;
}

tl::expected<void, policy::Refusal> Dispatcher::enqueue(
    const Call& call, const DispatchRequest& request, core::TimePoint now)
{
    policy::ScheduledCall scheduled;
    scheduled.id = call.id;
    scheduled.customer = call.program.customer;
    scheduled.program = keyHash(call.program.customer + "/" + call.program.program);
    scheduled.urgency = { request.priority, request.deadline };
    scheduled.started = request.programStarted;
    scheduled.route = this->routeFor(request);
    scheduled.digest = request.digest;
    auto admitted = this->scheduler.submit(scheduled, now);
    if (!admitted)
        return tl::unexpected(admitted.error());
    this->dropped.insert(this->dropped.end(), admitted->begin(), admitted->end());
    return {};
}

std::vector<AssignedCall> Dispatcher::takeAssignments(core::TimePoint now)
{
    auto step = this->scheduler.schedule(now);
    this->dropped.insert(this->dropped.end(), step.dropped.begin(), step.dropped.end());
    std::vector<AssignedCall> result;
    for (const auto& assignment : step.assignments) {
        const auto& address = this->addresses[assignment.endpoint];
        result.push_back({ assignment.call, assignment.attempt,
            { assignment.endpoint, address, assignment.cachedTokens }, assignment.timeout, assignment.silenceTimeout,
            assignment.kvSource ? this->addresses[*assignment.kvSource] : std::string() });
        if (!this->scheduler.router().endpoints().row(assignment.endpoint).spec.models.empty())
            this->recentlyUsed.insert(address);
    }
    return result;
}

std::vector<policy::DroppedCall> Dispatcher::takeDropped()
{
    return std::exchange(this->dropped, {});
}

void Dispatcher::cancel(CallId call, core::TimePoint now)
{
    static_cast<void>(this->scheduler.cancel(call, now));
}

void Dispatcher::onFirstToken(AttemptId attempt, core::TimePoint now)
{
    // Hedging is disabled, so there is no other attempt of the call to cancel.
    static_cast<void>(this->scheduler.firstToken(attempt, now));
}

void Dispatcher::onFinished(AttemptId attempt, const engines::EngineUsage& usage, core::TimePoint now)
{
    const policy::Usage policyUsage { saturateToUint32(usage.promptTokens), saturateToUint32(usage.completionTokens),
        saturateToUint32(std::min(usage.cachedTokens, usage.promptTokens)) };
    static_cast<void>(this->scheduler.finished(attempt, policyUsage, now));
}

policy::AttemptOutcome Dispatcher::onFailed(
    AttemptId attempt, policy::FailureKind kind, core::RunState ran, core::TimePoint now)
{
    return this->scheduler.failed(attempt, kind, ran, now);
}

void Dispatcher::mergePoisonNotice(const policy::PoisonNotice& notice, core::TimePoint now)
{
    this->scheduler.merge(notice, now);
}

std::optional<std::string> Dispatcher::onProgramPaused(
    const std::string& cacheKey, const std::string& tool, core::TimePoint now)
{
    policy::ProgramPause pause;
    pause.program = keyHash(cacheKey);
    pause.tool = tool;
    const auto order = this->scheduler.paused(pause, now);
    if (!order || order->action == policy::CacheAction::Keep)
        return std::nullopt;
    return this->addresses[order->endpoint];
}

void Dispatcher::onProgramResumed(const std::string& cacheKey, core::TimePoint now)
{
    this->scheduler.resumed(keyHash(cacheKey), now);
}

void Dispatcher::onProgramReleased(const std::string& cacheKey)
{
    this->scheduler.programEnded(keyHash(cacheKey));
}

void Dispatcher::onLoad(
    const std::string& address, const engines::EngineLoad& load, core::TimePoint now, std::int64_t unixMs)
{
    const auto found = this->endpointIds.find(address);
    if (found == this->endpointIds.end())
        return;
    policy::LoadReport report;
    report.running = load.running;
    report.waiting = load.waiting;
    report.kvUsed = load.kvUsed;
    report.kvCapacity = load.kvCapacity;
    const auto age = load.sampledMs == 0 ? 0 : std::clamp<std::int64_t>(unixMs - load.sampledMs, 0, maxReportAgeMs);
    report.sampledAt = now - std::chrono::milliseconds(age);
    this->scheduler.report(found->second, report);
}

std::vector<std::string> Dispatcher::takeRecentlyUsed()
{
    std::vector<std::string> result(this->recentlyUsed.begin(), this->recentlyUsed.end());
    this->recentlyUsed.clear();
    return result;
}

} // namespace lagoontiller::control
