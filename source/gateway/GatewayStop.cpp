#include "gateway/Gateway.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

bool Gateway::canEndBeforeStop(const Flow& flow, core::TimePoint now) const
{
    if (!this->stopSchedule)
        return true;
    auto longest = this->callDurations.longest(flow.route->name, now);
    for (const auto& [id, other] : this->flows) {
        if (longest && other.route && other.route->name == flow.route->name)
            longest = std::max(*longest, now - other.arrivedAt);
    }
    return this->stopSchedule->admits(flow.deadline, longest, now);
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
