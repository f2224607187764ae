#include "gateway/Gateway.h"

#include "core/Hash.h"
#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time that a node may need to list a new software version, and to notice that one has left.
constexpr core::Duration versionListingMargin = std::chrono::seconds(5);
/// \brief Longest time for which a stream waits until a version of its service is listed; callers abandon a stream
/// after 2 s without an event.
constexpr core::Duration maxListingWait = std::chrono::milliseconds(1'000);
/// \brief Retry delay for callers whose stream could not begin because no version of its service was listed.
constexpr core::Duration retryAfterUnlisted = std::chrono::milliseconds(500);

/// \brief Time after its start within which a stream of a route with the time-out may be resumed: callers resume it
/// within their deadline, which can be later than the time-out.
core::Duration resumptionTime(core::Duration timeout)
{
    return timeout * 2;
}

/// \brief Name of the stream that the call begins or resumes.
std::string streamName(const Call& call)
{
    return call.resumedStream.empty() ? call.scopedId() : call.resumedStream;
}

bool sendsTo(const Route& route, const std::string& service)
{
    return std::any_of(route.services.begin(), route.services.end(),
        [&service](const auto& each) { return each.service == service && each.weight > 0; });
}

} // namespace

core::Duration Gateway::originWindow(const Route& route, core::TimePoint now) const
{
    return resumptionTime(this->formerRoutes.longestTimeout(route, now)) + versionListingMargin;
}

std::set<std::string> Gateway::originServices(const Flow& flow) const
{
    const auto id = placementId(flow.call);
    const auto key = id ? std::optional(core::hash64(*id)) : std::nullopt;
    return this->formerRoutes.servicesWithin(
        *flow.route, key, this->originWindow(*flow.route, flow.arrivedAt), flow.arrivedAt);
}

void Gateway::findStreamOrigin(FlowId id)
{
    const auto& flow = *this->find(id);
    if (const auto origin = this->knownOrigin(flow)) {
        this->resumeAtOrigin(id, *origin);
        return;
    }
    const auto refuse = [this, id] { this->refuseResumption(id, "stream_origin_unknown"); };
    if (this->originServices(flow).size() != 1)
        this->searchStreamOrigin(id, refuse);
    // The route may have changed before this node read its first configuration.
    else if (flow.arrivedAt - this->configuredSince <= this->originWindow(*flow.route, flow.arrivedAt))
        this->searchStreamOrigin(id, [this, id, refuse] { this->resumeAtOnlyVersion(id, refuse); });
    else
        this->resumeAtOnlyVersion(id, [this, id, refuse] { this->searchStreamOrigin(id, refuse); });
}

void Gateway::resumeAtOnlyVersion(FlowId id, const std::function<void()>& otherwise)
{
    const auto& flow = *this->find(id);
    this->dependencies.serviceVersions.inServiceWithin(flow.service->name,
        this->originWindow(*flow.route, flow.arrivedAt), [this, id, otherwise](ServiceVersions::Candidates candidates) {
            const auto* const waiting = this->find(id);
            if (waiting == nullptr)
                return;
            // No node has listed a version yet.
            if (candidates && candidates->empty())
                candidates = this->dependencies.endpointDirectory.versions(waiting->service->name);
            if (candidates && candidates->size() <= 1)
                this->resumeAtVersion(id, candidates->empty() ? std::nullopt : std::optional(*candidates->begin()));
            else
                otherwise();
        });
}

void Gateway::searchStreamOrigin(FlowId id, const std::function<void()>& ifUnknown)
{
    const auto stream = streamName(this->find(id)->call);
    const auto searched = [this, id, ifUnknown](const std::optional<StreamOrigin>& origin) {
        if (this->find(id) == nullptr)
            return;
        if (origin)
            this->resumeAtOrigin(id, *origin);
        else
            ifUnknown();
    };
    const auto rowRead = [this, id, searched](const StoreResult<std::optional<StreamOrigin>>& origin) {
        if (origin)
            searched(*origin);
        else if (this->dependencies.storeHealth.isOutageConfirmed(core::monotonicNow()))
            searched(std::nullopt);
        else if (this->find(id) != nullptr)
            this->refuseResumption(id, "stream_origin_unknown");
    };
    this->dependencies.peerService.findStream(
        stream, core::monotonicNow(), [this, id, stream, searched, rowRead](const std::optional<StreamOrigin>& origin) {
            if (origin || this->find(id) == nullptr)
                searched(origin);
            else
                this->dependencies.streamVersionRows.read(stream, rowRead);
        });
}

std::string_view Gateway::takeOrigin(Flow& flow, const StreamOrigin& origin) const
{
    if (origin.service.empty()) {
        if (this->originServices(flow).size() != 1)
            return "stream_origin_unknown";
    } else {
        const auto service = this->services.find(origin.service);
        if (service == this->services.end() || !sendsTo(*flow.route, origin.service))
            return "stream_service_gone";
        flow.service = service->second;
    }
    flow.streamVersion = origin.version;
    return {};
}

void Gateway::resumeAtOrigin(FlowId id, const StreamOrigin& origin)
{
    const auto cause = this->takeOrigin(*this->find(id), origin);
    if (cause.empty())
        this->resumeAtVersion(id, origin.version);
    else
        this->refuseResumption(id, cause);
}

std::optional<StreamOrigin> Gateway::knownOrigin(const Flow& flow) const
{
    return this->dependencies.peerService.knownStream(streamName(flow.call));
}

Gateway::LocalResponse Gateway::resumptionResponse(std::string_view cause)
{
    return { 503, core::ResultCode::NoEndpoint, cause, {} };
}

Gateway::LocalResponse Gateway::unlistedResponse()
{
    return { 503, core::ResultCode::NoEndpoint, "versions_not_listed", retryAfterUnlisted };
}

void Gateway::resumeAtVersion(FlowId id, const std::optional<std::string>& version)
{
    auto& flow = *this->find(id);
    core::logInfo("stream_resumed")
        .with("id", flow.call.id)
        .with("stream", streamName(flow.call))
        .with("service", flow.service->name)
        .with("version", version.value_or(std::string("any")))
        .with("waited_ms", (core::monotonicNow() - flow.arrivedAt).count() / 1'000);
    flow.streamVersion = version;
    flow.waitsForStreamVersion = false;
    this->dispatchWhenPrepared(id);
}

void Gateway::refuseResumption(FlowId id, std::string_view cause)
{
    const auto& flow = *this->find(id);
    core::logWarning("resumption_refused")
        .with("id", flow.call.id)
        .with("stream", streamName(flow.call))
        .with("cause", cause);
    this->respond(id, resumptionResponse(cause));
}

void Gateway::updateServiceVersions(core::TimePoint now)
{
    auto& versions = this->dependencies.serviceVersions;
    for (auto& [service, hadSeveral] : this->resumableServices) {
        versions.update(service, this->dependencies.endpointDirectory.versions(service), now);
        const bool several = versions.severalInService(service);
        if (several == std::exchange(hadSeveral, several) || !several)
            continue;
        core::logInfo("several_versions_in_service").with("service", service);
        // Streams that began before are known to this node only.
        for (const auto& [id, flow] : this->flows) {
            if (flow.service && flow.service->name == service && flow.responseStarted && flow.streamVersion)
                this->noteStreamOrigin(flow, now);
        }
    }
    this->dispatchListed(now);
}

void Gateway::dispatchListed(core::TimePoint now)
{
    std::vector<FlowId> ids;
    for (const auto& [id, flow] : this->flows) {
        if (flow.waitsForListing)
            ids.push_back(id);
    }
    for (const auto id : ids) {
        auto* flow = this->find(id);
        if (flow == nullptr)
            continue;
        flow->waitsForListing = false;
        this->dispatchWhenPrepared(id);
        flow = this->find(id);
        if (flow != nullptr && flow->waitsForListing && now - flow->arrivedAt >= maxListingWait)
            this->respond(id, unlistedResponse());
    }
}

void Gateway::noteStreamOrigin(const Flow& flow, core::TimePoint now)
{
    const bool several = this->dependencies.serviceVersions.severalInService(flow.service->name)
        || this->formerRoutes.changedWithin(*flow.route, this->originWindow(*flow.route, now), now);
    const StreamOrigin origin { flow.service->name, *flow.streamVersion };
    const auto resumable = resumptionTime(flow.route->timeout);
    // A caller may name the call that resumed the stream last instead of the one that began it.
    for (const auto& name : std::set { streamName(flow.call), flow.call.scopedId() }) {
        this->dependencies.peerService.noteStream({ name, origin, resumable }, several, now);
        if (several)
            this->dependencies.streamVersionRows.write(name, origin, resumable, now);
    }
}

} // namespace lagoontiller::gateway
