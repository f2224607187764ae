#include "bench/policy/Report.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace lagoontiller::bench {

namespace {

constexpr double normalLoad = 0.7;
constexpr double overload = 1.5;
constexpr double latencyTarget = 0.6;
constexpr double wasteTarget = 0.3;
constexpr double recoveryTarget = 1.3;
constexpr double goodputTarget = 0.95;

constexpr std::array faults { FaultKind::EndpointCrash, FaultKind::SilentConnections, FaultKind::PoisonRequest,
    FaultKind::StoreOutage, FaultKind::LaggedReports, FaultKind::RegionCut, FaultKind::ZoneLost,
    FaultKind::LeavingWave };

struct Target {
    std::string text;
    double figure = 0;
    double bound = 0;
    bool atMost = true;

    [[nodiscard]] bool met() const { return this->atMost ? this->figure <= this->bound : this->figure >= this->bound; }
};

class Table {
public:
    explicit Table(Deployment deployment)
        : deployment(std::move(deployment))
        , latencyFirst(this->deployment.latencyWeight > this->deployment.wastedCacheWeight)
    {
    }

    bool run()
    {
        printHeader();
        RunSettings settings;
        settings.load = normalLoad;
        const Summary normal = this->row("normal load", settings, true);
        std::swap(this->deployment.latencyWeight, this->deployment.wastedCacheWeight);
        this->row("normal load, other weights", settings, false);
        std::swap(this->deployment.latencyWeight, this->deployment.wastedCacheWeight);
        settings.load = 1;
        const Summary full = this->row("load 1.0", settings, true);
        settings.load = overload;
        const Summary over = this->row("load 1.5", settings, true);
        this->targets.push_back(
            { "goodput at 1.5 / goodput at capacity", over.goodput / full.goodput, goodputTarget, false });
        settings.load = normalLoad;
        for (const FaultKind fault : faults) {
            settings.faults = { Fault { fault } };
            const Summary summary = this->row(nameOf(fault), settings, true);
            this->targets.push_back({ nameOf(fault) + ": p95 after recovery / fault-free",
                summary.p95AfterRecovery / normal.p95AfterRecovery, recoveryTarget, true });
        }
        this->printTargets();
        return this->clean;
    }

private:
    Summary row(const std::string& title, RunSettings settings, bool judged)
    {
        settings.policy = PolicyKind::Scheduler;
        Summary ours = measure(this->deployment, settings);
        printRow(this->deployment.name + ", " + title, nameOf(settings.policy), ours);
        for (const auto& [condition, count] : ours.violations) {
            std::printf("  VIOLATED: %s (%llu)\n", condition.c_str(), static_cast<unsigned long long>(count));
        }
        this->clean = this->clean && ours.violations.empty() && ours.unfinished == 0;
        double bestLatency = std::numeric_limits<double>::max();
        double bestWaste = std::numeric_limits<double>::max();
        for (const PolicyKind kind : baselines) {
            settings.policy = kind;
            const Summary summary = measure(this->deployment, settings);
            printRow("", nameOf(kind), summary);
            bestLatency = std::min(bestLatency, summary.p95);
            bestWaste = std::min(bestWaste, static_cast<double>(summary.wastedTokens));
        }
        if (judged && this->latencyFirst) {
            this->targets.push_back({ title + ": p95 / best baseline", ours.p95 / bestLatency, latencyTarget, true });
        } else if (judged) {
            const auto wasted = static_cast<double>(ours.wastedTokens);
            // If the best baseline wastes no tokens, the target allows no waste either.
            const double ratio = bestWaste > 0 ? wasted / bestWaste
                : wasted > 0                   ? std::numeric_limits<double>::infinity()
                                               : 0;
            this->targets.push_back({ title + ": wasted tokens / best baseline", ratio, wasteTarget, true });
        }
        return ours;
    }

    void printTargets() const
    {
        std::printf("\ntargets, %s\n", this->deployment.name.c_str());
        for (const Target& target : this->targets) {
            std::printf("  %-52s %8.2f  %s %.2f  %s\n", target.text.c_str(), target.figure,
                target.atMost ? "<=" : ">=", target.bound, target.met() ? "met" : "NOT MET");
        }
        std::printf("\n");
    }

    Deployment deployment;
    bool latencyFirst;
    bool clean = true;
    std::vector<Target> targets;
};

} // namespace

void runLoads(const std::string& traces)
{
    printHeader();
    for (const char* name : { "nilavilakku", "minningarskjoldur" }) {
        const Deployment deployment = readDeployment(traces, name);
        for (const double load : { normalLoad, 1.0, overload }) {
            RunSettings settings;
            settings.load = load;
            const std::string title = std::string(name) + ", load " + std::to_string(load);
            printRow(title, "ours", measure(deployment, settings));
        }
    }
}

bool runTable(const std::string& traces)
{
    bool clean = true;
    for (const char* name : { "nilavilakku", "minningarskjoldur" }) {
        clean = Table(readDeployment(traces, name)).run() && clean;
    }
    return clean;
}

} // namespace lagoontiller::bench
