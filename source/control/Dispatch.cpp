#include "control/Dispatch.h"

#include "core/Hash.h"

namespace lagoontiller::control {

namespace {

constexpr double bytesPerToken = 4;
// Bounds the effect of a wrong clock on an engine.
constexpr std::int64_t oldestReportMs = 30'000;

policy::PrefixKey prefixKey(const std::string& cacheKey)
{
    return cacheKey.empty() ? 0 : core::hash64(cacheKey);
}

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, 0xFFFFFFFFU));
}

} // namespace

Dispatch::Dispatch(std::string zone, std::string region, std::uint64_t seed)
    : zone(std::move(zone))
    , region(std::move(region))
    , random(seed)
{
}

void Dispatch::setDocument(const std::shared_ptr<const document::Document>& newDocument)
{
    this->document = newDocument;
    this->refresh();
}

void Dispatch::setVmList(const vmlist::VmList& list)
{
    this->vms = list;
    this->refresh();
}

void Dispatch::setDeciders(std::size_t nodes)
{
    this->router.setDeciders(static_cast<double>(std::max<std::size_t>(1, nodes)));
}

void Dispatch::refresh()
{
    if (!this->document)
        return;
    const auto previous = std::move(this->listed);
    this->listed.clear();
    if (this->vms) {
        for (const auto& vm : this->vms->vms) {
            if (vm.isEndpoint) {
                const bool leaving = vm.state == vmlist::VmState::Leaving;
                this->upsert(vm.address, vm.service, vm.zone, vm.region,
                    leaving ? policy::EndpointState::Leaving : policy::EndpointState::Live);
            }
        }
    } else {
        for (const auto& vm : this->document->vms()) {
            if (vm.role == document::VmRole::Endpoint)
                this->upsert(vm.address, vm.service, vm.zone, vm.region, policy::EndpointState::Live);
        }
    }
    for (const auto& [address, id] : previous) {
        if (!this->listed.contains(address)) {
            auto spec = this->router.endpoints().row(id).spec;
            spec.state = policy::EndpointState::Gone;
            this->router.upsert(spec);
        }
    }
}

void Dispatch::upsert(const std::string& address, const std::string& service, const std::string& endpointZone,
    const std::string& endpointRegion, policy::EndpointState state)
{
    const auto* described = this->document->service(service);
    if (described == nullptr)
        return;
    policy::EndpointSpec spec { address, service, described->models, endpointZone, endpointRegion, state };
    const auto id = this->router.upsert(spec);
    if (this->addresses.size() <= id)
        this->addresses.resize(id + 1);
    this->addresses[id] = address;
    this->listed[address] = id;
}

core::Expected<Destination> Dispatch::choose(const DispatchRequest& request, core::TimePoint now)
{
    const auto* service = this->document->service(request.service);
    policy::RouteRequest route;
    route.service = request.service;
    route.model = request.model;
    route.zone = this->zone;
    route.region = this->region;
    route.prefix = prefixKey(request.cacheKey);
    route.sharedPrefix = prefixKey(request.parentCacheKey);
    route.promptTokens = narrow(request.promptTokens);
    route.expectedTokens = narrow(request.expectedTokens);
    route.requestBytes = request.requestBytes;
    route.responseBytes = static_cast<std::uint64_t>(static_cast<double>(request.expectedTokens) * bytesPerToken);
    route.latencyWeight = service == nullptr ? 1 : service->latencyWeight;
    route.wastedCacheWeight = service == nullptr ? 1 : service->wastedCacheWeight;
    route.repeatable = request.repeatable;
    route.excluded = request.excluded;
    const auto decision = this->router.choose(route, now, this->random);
    if (!decision)
        return tl::unexpected(decision.error());
    return Destination { decision->endpoint, this->addresses[decision->endpoint], decision->cachedTokens };
}

bool Dispatch::takesWork(policy::EndpointId endpoint) const
{
    return this->router.endpoints().row(endpoint).spec.state == policy::EndpointState::Live;
}

void Dispatch::sent(
    AttemptId attempt, const Destination& destination, const DispatchRequest& request, core::TimePoint now)
{
    const policy::SentCall sent { destination.endpoint, prefixKey(request.cacheKey), narrow(request.promptTokens),
        narrow(request.expectedTokens), destination.cachedTokens };
    this->router.sent(attempt, sent, now);
    if (!request.model.empty())
        this->recentlyUsed.insert(destination.address);
}

void Dispatch::firstToken(AttemptId attempt, core::TimePoint now)
{
    this->router.firstToken(attempt, now);
}

void Dispatch::finished(AttemptId attempt, const engines::EngineUsage& usage, core::TimePoint now)
{
    this->router.finished(
        attempt, { narrow(usage.promptTokens), narrow(usage.completionTokens), narrow(usage.cachedTokens) }, now);
}

void Dispatch::failed(AttemptId attempt, policy::FailureKind kind, core::TimePoint now)
{
    this->router.failed(attempt, kind, now);
}

void Dispatch::released(const std::string& cacheKey)
{
    this->router.released(prefixKey(cacheKey));
}

void Dispatch::onLoad(
    const std::string& address, const engines::EngineLoad& load, core::TimePoint now, std::int64_t unixMs)
{
    const auto found = this->listed.find(address);
    if (found == this->listed.end())
        return;
    policy::LoadReport report;
    report.running = load.running;
    report.waiting = load.waiting;
    report.kvUsed = load.kvUsed;
    report.kvCapacity = load.kvCapacity;
    const auto age = load.sampledMs == 0 ? 0 : std::clamp<std::int64_t>(unixMs - load.sampledMs, 0, oldestReportMs);
    report.sampledAt = now - std::chrono::milliseconds(age);
    this->router.report(found->second, report);
}

std::vector<std::string> Dispatch::takeRecentlyUsed()
{
    std::vector<std::string> result(this->recentlyUsed.begin(), this->recentlyUsed.end());
    this->recentlyUsed.clear();
    return result;
}

} // namespace lagoontiller::control
