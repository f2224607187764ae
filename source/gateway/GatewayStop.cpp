#include "gateway/Gateway.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

bool Gateway::canEndBeforeStop(const Flow& flow) const
{
    return !this->stopSchedule || this->stopSchedule->admits(flow.deadline);
}

Gateway::LocalResponse Gateway::stoppingResponse(const Flow& flow)
{
    // Other nodes serve the caller at once, so that the response states no time to return.
    if (flow.possibleRuns > 0 || flow.responseStarted)
        return { 502, core::ResultCode::EndpointFailed, "node_stopping", {} };
    return { 503, core::ResultCode::NodeDraining, "node_stopping", {} };
}

void Gateway::startDraining(const StopSchedule& schedule)
{
    this->stopSchedule = schedule;
    std::vector<FlowId> waiting;
    for (const auto& [id, flow] : this->flows) {
        if (!flow.attempt && !flow.committing && !this->canEndBeforeStop(flow))
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        if (const auto* const flow = this->find(id))
            this->refuseWhileStopping(*flow);
    }
}

void Gateway::refuseWhileStopping(const Flow& flow)
{
    this->countStoppingCall("refused");
    this->respond(flow.id, stoppingResponse(flow));
}

void Gateway::countStoppingCall(std::string_view outcome)
{
    this->dependencies.metrics.add("gateway_stopping_calls_total", { { "outcome", std::string(outcome) } });
}

void Gateway::recordAdmissionWhileStopping(const Flow& flow, core::TimePoint now)
{
    this->countStoppingCall("admitted");
    core::logInfo("call_admitted_while_stopping")
        .with("id", flow.call.id)
        .with("route", flow.route->name)
        .with("remaining_ms", (flow.deadline - now).count() / 1'000)
        .with("node_ends_in_ms", (this->stopSchedule->endsAt() - now).count() / 1'000);
}

core::Duration Gateway::longestTimeout() const
{
    core::Duration longest {};
    if (this->configuration) {
        for (const auto& route : this->configuration->routes)
            longest = std::max(longest, route.timeout);
    }
    return longest;
}

void Gateway::endAll(core::TimePoint now)
{
    std::vector<FlowId> ids;
    ids.reserve(this->flows.size());
    for (const auto& [id, flow] : this->flows)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto* const flow = this->find(id);
        if (flow == nullptr)
            continue;
        this->countStoppingCall("cut");
        core::logWarning("call_cut_by_stop")
            .with("id", flow->call.id)
            .with("route", flow->route ? flow->route->name : std::string("-"))
            .with("events", flow->eventCount)
            .with("running_ms", (now - flow->arrivedAt).count() / 1'000)
            .with("remaining_ms", (flow->deadline - now).count() / 1'000);
        this->expire(id);
    }
}

} // namespace lagoontiller::gateway
