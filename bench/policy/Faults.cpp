#include "bench/policy/Simulation.h"

namespace lagoontiller::bench {

namespace {

constexpr core::Duration noticeLag = std::chrono::milliseconds(300);
constexpr core::Duration restartTime = std::chrono::seconds(10);
constexpr core::Duration listedGoneAfter = std::chrono::seconds(3);
constexpr core::Duration laggedReportLag = std::chrono::seconds(5);
constexpr double laggedReportLoss = 0.5;
constexpr std::size_t silentEndpoints = 3;
constexpr std::size_t leavingEndpoints = 4;
constexpr core::Duration leavingStep = std::chrono::seconds(2);
constexpr core::Duration leavingLength = std::chrono::seconds(12);
constexpr std::size_t lostZone = 1;

} // namespace

std::string nameOf(FaultKind kind)
{
    constexpr std::array names { "endpoint crash", "silent connection", "poison request", "store outage",
        "lagged reports", "region cut", "zone lost", "leaving wave" };
    return names.at(static_cast<std::size_t>(kind));
}

void Simulation::sendReports()
{
    for (std::size_t i = 0; i < this->settings.engines; ++i) {
        Endpoint& endpoint = this->endpoints[i];
        if (!endpoint.up) {
            continue;
        }
        this->advanceEngine(i);
        const policy::LoadReport report = endpoint.engine->load(this->now);
        const auto cacheEvents = endpoint.engine->takeEvents();
        if (policy::uniform(this->random) < this->reportLoss) {
            continue;
        }
        this->schedule(this->reportLag, [this, i, report, cacheEvents] {
            for (Node& node : this->nodes) {
                if (this->isDisconnected(node.region, this->endpoints[i].region)) {
                    continue;
                }
                node.decider->report(static_cast<policy::EndpointId>(i), report);
                for (const policy::CacheEvent& event : cacheEvents) {
                    node.decider->cacheEvent(static_cast<policy::EndpointId>(i), event);
                }
            }
        });
    }
}

void Simulation::inject(const Fault& fault)
{
    switch (fault.kind) {
    case FaultKind::EndpointCrash:
        this->crash(policy::uniformIndex(this->random, this->settings.engines), restartTime);
        return;
    case FaultKind::SilentConnections:
        for (std::size_t i = 0; i < silentEndpoints; ++i) {
            const std::set<std::size_t> open = this->endpoints[i].attempts;
            for (const std::size_t attempt : open) {
                this->silenceConnection(attempt);
            }
        }
        return;
    case FaultKind::PoisonRequest: {
        Program program;
        program.poison = true;
        program.arriving.at = this->now;
        program.node = policy::uniformIndex(this->random, this->nodes.size());
        this->programs.push_back(std::move(program));
        this->open += 1;
        this->startProgram(this->programs.size() - 1);
        return;
    }
    case FaultKind::StoreOutage:
        this->storeDown = true;
        this->schedule(faultLength, [this] { this->storeDown = false; });
        return;
    case FaultKind::LaggedReports: {
        this->reportLag = laggedReportLag;
        this->reportLoss = laggedReportLoss;
        this->schedule(faultLength, [this] {
            this->reportLag = defaultReportLag;
            this->reportLoss = 0;
        });
        return;
    }
    case FaultKind::RegionCut:
        this->disconnectedRegion = 0;
        for (std::size_t i = 0; i < this->attempts.size(); ++i) {
            const Attempt& attempt = this->attempts[i];
            if (this->isDisconnected(this->nodes[attempt.node].region, this->endpoints[attempt.endpoint].region)) {
                this->silenceConnection(i);
            }
        }
        this->schedule(faultLength, [this] { this->disconnectedRegion.reset(); });
        return;
    case FaultKind::ZoneLost:
        for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
            if (this->endpoints[i].zone == lostZone) {
                this->crash(i, faultLength);
                this->schedule(listedGoneAfter, [this, i] { this->updateVmList(i, policy::EndpointState::Gone); });
                this->schedule(faultLength, [this, i] { this->updateVmList(i, policy::EndpointState::Live); });
            }
        }
        return;
    case FaultKind::LeavingWave:
        for (std::size_t i = 0; i < leavingEndpoints; ++i) {
            this->schedule(leavingStep * static_cast<std::int64_t>(i), [this, i] { this->replaceVm(i); });
        }
        return;
    }
}

void Simulation::crash(std::size_t index, core::Duration restart)
{
    Endpoint& endpoint = this->endpoints[index];
    if (!endpoint.up) {
        return;
    }
    endpoint.up = false;
    endpoint.generation += 1;
    endpoint.version += 1;
    if (endpoint.engine) {
        endpoint.engine->crash();
    }
    const std::set<std::size_t> lost = endpoint.attempts;
    for (const std::size_t attempt : lost) {
        if (!this->attempts[attempt].silent) {
            this->schedule(this->networkDelay(this->attempts[attempt], 0),
                [this, attempt] { this->fail(attempt, policy::FailureKind::Crashed, core::RunState::MayHaveRun); });
        }
    }
    this->schedule(restart, [this, index] { this->endpoints[index].up = true; });
}

void Simulation::replaceVm(std::size_t index)
{
    this->endpoints[index].leavingSince = this->now;
    this->updateVmList(index, policy::EndpointState::Leaving);
    this->schedule(leavingLength, [this, index] {
        // The new VM keeps the address but has no caches. Calls that are still running fail with the old process.
        this->crash(index, core::Duration(0));
        this->endpoints[index].leavingSince.reset();
        this->updateVmList(index, policy::EndpointState::Gone);
        this->schedule(
            std::chrono::seconds(2), [this, index] { this->updateVmList(index, policy::EndpointState::Live); });
    });
}

void Simulation::broadcastNotice(const policy::PoisonNotice& notice, std::size_t from)
{
    policy::PoisonNotice late = notice;
    late.age = noticeLag;
    this->schedule(noticeLag, [this, late, from] {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (i != from) {
                this->nodes[i].decider->merge(late, this->now);
            }
        }
    });
}

} // namespace lagoontiller::bench
