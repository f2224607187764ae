#include "policy/OrderPlanner.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::policy {

namespace {

/// \brief Time after which an order that has had no visible effect may be repeated.
constexpr core::Duration orderTimeout = std::chrono::minutes(10);

bool hasAssignment(const EngineView& engine, const EngineAssignment& assignment)
{
    return engine.assignments.contains(assignment);
}

} // namespace

bool OrderPlanner::becomeLeader(std::uint32_t newTerm, core::TimePoint earlierTermEnd)
{
    if (newTerm <= this->term) {
        return false;
    }
    this->term = newTerm;
    this->fenceCounter = 0;
    this->leading = true;
    this->notBefore = this->options.checksFencing ? core::TimePoint {} : earlierTermEnd + this->options.maxRequestTime;
    this->pending.clear();
    return true;
}

bool OrderPlanner::mayOrder(core::TimePoint now) const
{
    return this->leading && now >= this->notBefore;
}

std::vector<EngineOrder> OrderPlanner::plan(
    const std::vector<DesiredAssignment>& desired, const std::vector<EngineView>& engines, core::TimePoint now)
{
    if (!this->mayOrder(now)) {
        return {};
    }
    this->clearFinishedOrders(engines, now);
    std::map<EngineAssignment, std::size_t> surplus;
    std::map<EngineAssignment, std::size_t> missing;
    for (const DesiredAssignment& each : desired) {
        const auto ready = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
            [&each](const EngineView& engine) { return !engine.leaving && hasAssignment(engine, each.assignment); }));
        const auto ordered = static_cast<std::size_t>(std::count_if(this->pending.begin(), this->pending.end(),
            [&each](const auto& order) { return order.second.assignment == each.assignment; }));
        const std::size_t wanted = this->updateTarget(each, now);
        surplus[each.assignment] = ready > wanted ? ready - wanted : 0;
        missing[each.assignment] = wanted > ready + ordered ? wanted - ready - ordered : 0;
    }
    const auto changingEngines = this->options.maxChangingRatio * static_cast<double>(engines.size());
    const std::size_t maxChanging = std::max<std::size_t>(1, static_cast<std::size_t>(changingEngines));
    std::vector<EngineOrder> orders;
    for (const DesiredAssignment& each : desired) {
        for (std::size_t left = missing[each.assignment]; left > 0 && this->pending.size() < maxChanging; --left) {
            if (each.bytes > 0 && now < this->nextLoadAt) {
                break;
            }
            const EngineView* const engine = this->selectEngine(each, surplus, engines, now);
            if (engine == nullptr) {
                break;
            }
            for (const EngineAssignment& replaced : engine->assignments) {
                const auto entry = surplus.find(replaced);
                if (entry != surplus.end() && replaced.kind == each.assignment.kind && entry->second > 0) {
                    entry->second -= 1;
                }
            }
            const double loadMicroseconds
                = static_cast<double>(each.bytes) / this->options.weightStoreBytesPerSecond * 1e6;
            this->nextLoadAt = std::max(this->nextLoadAt, now) + core::Duration(std::llround(loadMicroseconds));
            this->pending[engine->endpoint] = { each.assignment, now };
            this->changedAt[engine->endpoint] = now;
            this->fenceCounter += 1;
            orders.push_back({ engine->endpoint, each.assignment,
                (static_cast<std::uint64_t>(this->term) << 32U) | this->fenceCounter });
        }
    }
    return orders;
}

void OrderPlanner::failed(EndpointId endpoint)
{
    this->pending.erase(endpoint);
    this->changedAt.erase(endpoint);
}

void OrderPlanner::clearFinishedOrders(const std::vector<EngineView>& engines, core::TimePoint now)
{
    std::set<EndpointId> present;
    for (const EngineView& engine : engines) {
        present.insert(engine.endpoint);
        const auto order = this->pending.find(engine.endpoint);
        if (order != this->pending.end() && (engine.leaving || hasAssignment(engine, order->second.assignment))) {
            this->pending.erase(order);
        }
    }
    std::erase_if(this->pending, [&](const auto& order) {
        return !present.contains(order.first) || now - order.second.orderedAt > orderTimeout;
    });
    std::erase_if(
        this->changedAt, [&](const auto& each) { return now - each.second >= this->options.minChangeInterval; });
}

std::size_t OrderPlanner::updateTarget(const DesiredAssignment& desired, core::TimePoint now)
{
    const auto [entry, added] = this->targets.try_emplace(desired.assignment);
    Target& target = entry->second;
    const auto needed
        = std::max(desired.minEngines, static_cast<std::size_t>(std::ceil(desired.demand / this->options.scaleUpLoad)));
    if (added) {
        target.engineCount = needed;
    }
    const auto current = static_cast<double>(target.engineCount);
    const bool raise = needed > target.engineCount;
    const bool lower = needed < target.engineCount && desired.demand < (current - 1) * this->options.scaleDownLoad;
    if (!raise && !lower) {
        target.changeWantedSince.reset();
    } else if (!target.changeWantedSince) {
        target.changeWantedSince = now;
    } else if (now - *target.changeWantedSince >= this->options.stabilizationInterval) {
        target.engineCount = raise ? needed : target.engineCount - 1;
        target.changeWantedSince.reset();
    }
    return target.engineCount;
}

const EngineView* OrderPlanner::selectEngine(const DesiredAssignment& desired,
    const std::map<EngineAssignment, std::size_t>& surplus, const std::vector<EngineView>& engines,
    core::TimePoint now) const
{
    const EngineView* best = nullptr;
    for (const EngineView& engine : engines) {
        if (!this->mayChange(engine, now) || hasAssignment(engine, desired.assignment)) {
            continue;
        }
        // An assignment that is still in demand is replaced only while more engines have it than its target.
        const bool replacesNeeded
            = std::any_of(engine.assignments.begin(), engine.assignments.end(), [&](const EngineAssignment& each) {
                  const auto entry = surplus.find(each);
                  return desired.assignment.kind != OrderKind::LoadAdapter && each.kind == desired.assignment.kind
                      && entry != surplus.end() && entry->second == 0;
              });
        if (!replacesNeeded && (best == nullptr || engine.load < best->load)) {
            best = &engine;
        }
    }
    return best;
}

bool OrderPlanner::mayChange(const EngineView& engine, core::TimePoint now) const
{
    const auto changed = this->changedAt.find(engine.endpoint);
    const bool dwelling = changed != this->changedAt.end() && now - changed->second < this->options.minChangeInterval;
    return !engine.leaving && !dwelling && !this->pending.contains(engine.endpoint);
}

} // namespace lagoontiller::policy
