#include "bench/policy/Report.h"

#include "policy/LoadForecast.h"

#include <cmath>
#include <cstdio>

namespace lagoontiller::bench {

namespace {

struct Element {
    std::string name;
    Variant variant;
    std::optional<FaultKind> fault;
};

std::vector<Element> elements()
{
    std::vector<Element> list { { "default", {}, std::nullopt } };
    const auto add = [&list](const std::string& name, std::optional<FaultKind> fault, const auto& change) {
        Element element { name, {}, fault };
        change(element.variant);
        list.push_back(element);
    };
    add("no prefix affinity", std::nullopt, [](Variant& v) { v.affinity = false; });
    add("no spread", std::nullopt, [](Variant& v) { v.spread = false; });
    add("no queue order", std::nullopt, [](Variant& v) { v.queueOrder = false; });
    add("no admission bound", std::nullopt, [](Variant& v) { v.admission = false; });
    add("no memory bound", std::nullopt, [](Variant& v) { v.memory = false; });
    add("hedging", std::nullopt, [](Variant& v) { v.hedging = true; });
    add("no pause decision", std::nullopt, [](Variant& v) { v.pauseCache = false; });
    add("no KV move", std::nullopt, [](Variant& v) { v.kvMove = false; });
    for (const FaultKind fault : { FaultKind::EndpointCrash, FaultKind::SilentConnections, FaultKind::ZoneLost }) {
        add("default", fault, [](Variant&) {});
        add("no retry", fault, [](Variant& v) { v.retry = false; });
        add("no ejection", fault, [](Variant& v) { v.ejection = false; });
        add("hedging", fault, [](Variant& v) { v.hedging = true; });
    }
    add("default", FaultKind::PoisonRequest, [](Variant&) {});
    add("no poison isolation", FaultKind::PoisonRequest, [](Variant& v) { v.poison = false; });
    add("default", FaultKind::LaggedReports, [](Variant&) {});
    add("no spread", FaultKind::LaggedReports, [](Variant& v) { v.spread = false; });
    return list;
}

} // namespace

void runElements(const std::string& traces)
{
    for (const char* name : { "nilavilakku", "minningarskjoldur" }) {
        const Deployment deployment = readDeployment(traces, name);
        printHeader();
        for (const double load : { 0.7, 1.5 }) {
            for (const Element& element : elements()) {
                if (element.fault && load > 1) {
                    continue;
                }
                RunSettings settings;
                settings.load = load;
                settings.variant = element.variant;
                if (element.fault) {
                    settings.faults = { Fault { *element.fault } };
                }
                char title[128];
                std::snprintf(title, sizeof title, "%.5s %.1f %s", name, load,
                    element.fault ? nameOf(*element.fault).c_str() : "");
                printRow(title, element.name, measure(deployment, settings));
            }
        }
    }
}

void runForecasts()
{
    // Alternates between 5,000 requests at 1 ms and 10,000 requests at 0.1 ms, sampled every 100 ms. The service rate
    // lies between the two arrival rates.
    constexpr int intervals = 600;
    constexpr int slowIntervals = 50;
    constexpr int fastIntervals = 10;
    constexpr double slowLoad = 100;
    constexpr double fastLoad = 1'000;
    constexpr double servicePerInterval = 300;
    for (const policy::LoadForecast& first :
        { policy::LoadForecast(policy::LastValue {}), policy::LoadForecast(policy::ExponentialSmoothing {}),
            policy::LoadForecast(policy::BurstAwareSmoothing {}) }) {
        policy::LoadForecast forecast = first;
        double error = 0;
        double backlog = 0;
        for (int i = 0; i < intervals; ++i) {
            const double load = i % (slowIntervals + fastIntervals) < slowIntervals ? slowLoad : fastLoad;
            error += std::abs(policy::forecastValue(forecast) - load);
            const double queued = backlog + load;
            const double served = std::min(queued, servicePerInterval);
            backlog = queued - served;
            forecast = policy::updatedForecast(forecast, { load, queued, served });
        }
        constexpr std::array names { "last value", "plain smoothing", "burst-aware smoothing" };
        std::printf(
            "%-24s mean absolute error %8.1f requests per interval\n", names.at(first.index()), error / intervals);
    }
}

} // namespace lagoontiller::bench
