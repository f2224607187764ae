#include "bench/policy/Report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lagoontiller::bench {

namespace {

constexpr core::Duration defaultFaultTime = std::chrono::seconds(30);
constexpr core::Duration settleTime = std::chrono::seconds(10);

} // namespace

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    const std::size_t index = std::max<std::size_t>(rank, 1) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

Summary measure(const Deployment& deployment, RunSettings settings)
{
    constexpr double median = 0.5;
    constexpr double high = 0.95;
    constexpr double highest = 0.99;
    Summary summary;
    std::vector<double> latencies;
    std::vector<double> recovered;
    std::uint64_t completedInTime = 0;
    for (const std::uint64_t seed : seeds) {
        settings.seed = seed;
        const RunResult result = Simulation(deployment, settings).run();
        const core::TimePoint start { std::chrono::seconds(1'000) };
        for (const EndedProgram& program : result.programs) {
            latencies.push_back(program.seconds);
            if (program.arrived >= start + defaultFaultTime + faultLength + settleTime) {
                recovered.push_back(program.seconds);
            }
        }
        summary.arrived += result.arrived;
        summary.promptTokens += result.promptTokens;
        summary.wastedTokens += result.wastedTokens;
        summary.crossRegionBytes += result.crossRegionBytes;
        summary.refused += result.refused;
        summary.failed += result.failed;
        summary.unfinished += result.unfinished;
        completedInTime += result.completedInTime;
        for (const auto& [condition, count] : result.violations) {
            summary.violations[condition] += count;
        }
    }
    summary.completed = latencies.size();
    summary.p50 = quantileOf(latencies, median);
    summary.p95 = quantileOf(latencies, high);
    summary.p99 = quantileOf(latencies, highest);
    summary.p95AfterRecovery = quantileOf(recovered, high);
    const double seconds = policy::microseconds(settings.length) / 1e6 * static_cast<double>(seeds.size());
    summary.goodput = static_cast<double>(completedInTime) / seconds;
    return summary;
}

void printHeader()
{
    std::printf("%-38s %-12s %7s %7s %7s %9s %8s %7s %6s %7s %9s\n", "row", "policy", "p50 s", "p95 s", "p99 s",
        "wasted k", "cross MB", "refused", "failed", "goodput", "violated");
}

void printRow(const std::string& title, const std::string& policy, const Summary& summary)
{
    std::uint64_t violated = summary.unfinished;
    for (const auto& [condition, count] : summary.violations) {
        violated += count;
    }
    std::printf("%-38s %-12s %7.2f %7.2f %7.2f %9.0f %8.1f %7llu %6llu %7.2f %9llu\n", title.c_str(), policy.c_str(),
        summary.p50, summary.p95, summary.p99, static_cast<double>(summary.wastedTokens) / 1e3,
        static_cast<double>(summary.crossRegionBytes) / 1e6, static_cast<unsigned long long>(summary.refused),
        static_cast<unsigned long long>(summary.failed), summary.goodput, static_cast<unsigned long long>(violated));
}

} // namespace lagoontiller::bench
