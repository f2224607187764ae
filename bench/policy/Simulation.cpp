#include "bench/policy/Simulation.h"

namespace lagoontiller::bench {

namespace {

constexpr std::size_t nodeCount = 12;
constexpr std::size_t zones = 5;
constexpr std::array<std::size_t, zones> regionOfZone { 0, 0, 1, 1, 2 };
/// \brief Time after which a run is stopped; its remaining programs count as not ended.
constexpr core::Duration maxRunLength = std::chrono::seconds(600);
constexpr core::Duration reportInterval = std::chrono::milliseconds(500);
constexpr core::Duration tickInterval = std::chrono::seconds(1);
constexpr core::Duration longestListLag = std::chrono::seconds(2);

} // namespace

Simulation::Simulation(const Deployment& deployment, const RunSettings& settings)
    : deployment(deployment)
    , settings(settings)
    , random(settings.seed * 1'000 + 17)
    , now(std::chrono::seconds(1'000))
    , start(this->now)
{
}

RunResult Simulation::run()
{
    this->buildEndpoints();
    this->buildNodes();
    const double rate = this->settings.load * capacity(this->deployment, this->settings.engines);
    for (const auto& arriving :
        arrivals(this->deployment, rate, this->start, this->settings.length, this->settings.seed)) {
        Program program;
        program.arriving = arriving;
        const std::size_t region = this->deployment.plans[arriving.plan].region;
        do {
            program.node = policy::uniformIndex(this->random, nodeCount);
        } while (this->nodes[program.node].region != region);
        this->programs.push_back(std::move(program));
    }
    this->result.arrived = this->programs.size();
    this->open = this->programs.size();
    for (std::size_t i = 0; i < this->programs.size(); ++i) {
        this->schedule(this->programs[i].arriving.at - this->now, [this, i] { this->startProgram(i); });
    }
    for (const Fault& fault : this->settings.faults) {
        this->schedule(fault.at, [this, fault] { this->inject(fault); });
    }
    this->schedulePeriodic(reportInterval, [this] { this->sendReports(); });
    this->schedulePeriodic(tickInterval, [this] { this->tickNodes(); });
    while (!this->events.empty() && this->open > 0 && this->now < this->start + maxRunLength) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    this->result.unfinished = this->open;
    this->result.poisonLosses = this->poisoned.size();
    if (this->poisoned.size() > 2) {
        this->recordViolation("more than two endpoints lost to one poison request");
    }
    return this->result;
}

void Simulation::buildEndpoints()
{
    for (std::size_t i = 0; i < this->settings.engines + this->deployment.tools; ++i) {
        Endpoint endpoint;
        endpoint.model = i < this->settings.engines;
        endpoint.name = (endpoint.model ? "engine" : "tool") + std::to_string(i);
        endpoint.zone = i % zones;
        endpoint.region = regionOfZone[endpoint.zone];
        if (endpoint.model) {
            endpoint.engine.emplace(EngineDoubleSettings {});
        }
        this->endpoints.push_back(std::move(endpoint));
    }
}

void Simulation::buildNodes()
{
    const DeciderSettings decider { nodeCount, this->settings.engines, EngineDoubleSettings {}.slots,
        this->deployment.customers, this->settings.variant };
    constexpr std::array<std::size_t, nodeCount> zoneOfNode { 0, 1, 0, 1, 2, 3, 2, 3, 4, 4, 4, 4 };
    for (std::size_t i = 0; i < nodeCount; ++i) {
        Node node;
        const std::uint64_t seed = this->settings.seed * nodeCount + i;
        node.decider = this->settings.policy == PolicyKind::Scheduler
            ? makeSchedulerDecider(decider, seed)
            : makeBaseline(this->settings.policy, decider, seed);
        node.zone = zoneOfNode[i];
        node.region = regionOfZone[node.zone];
        for (const Endpoint& endpoint : this->endpoints) {
            node.decider->upsert(this->specOf(endpoint), this->now);
        }
        this->nodes.push_back(std::move(node));
    }
}

void Simulation::schedule(core::Duration delay, std::function<void()> action)
{
    this->events.push({ this->now + std::max(delay, core::Duration(0)), this->sequence++, std::move(action) });
}

void Simulation::schedulePeriodic(core::Duration interval, const std::function<void()>& action)
{
    this->schedule(interval, [this, interval, action] {
        action();
        this->schedulePeriodic(interval, action);
    });
}

policy::EndpointSpec Simulation::specOf(const Endpoint& endpoint) const
{
    return { endpoint.name, endpoint.model ? this->deployment.modelService : this->deployment.toolService,
        endpoint.model ? this->deployment.models : std::vector<std::string> {}, "zone" + std::to_string(endpoint.zone),
        this->deployment.regions[endpoint.region], endpoint.listed };
}

void Simulation::updateVmList(std::size_t index, policy::EndpointState state)
{
    this->endpoints[index].listed = state;
    const policy::EndpointSpec spec = this->specOf(this->endpoints[index]);
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        const core::Duration lag(
            static_cast<std::int64_t>(policy::uniform(this->random) * policy::microseconds(longestListLag)));
        this->schedule(lag, [this, node, spec] {
            this->nodes[node].decider->upsert(spec, this->now);
            this->dispatchCalls(node);
        });
    }
}

void Simulation::tickNodes()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        Decider& decider = *this->nodes[i].decider;
        decider.tick(this->now);
        for (const std::size_t endpoint : { std::size_t { 0 }, this->settings.engines }) {
            const auto [ejected, live] = decider.ejected(static_cast<policy::EndpointId>(endpoint));
            if (ejected * 2 > live) {
                this->recordViolation("more than half of a service ejected");
            }
        }
        this->dispatchCalls(i);
    }
}

} // namespace lagoontiller::bench
