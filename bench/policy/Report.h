#pragma once

#include "bench/policy/Simulation.h"

#include <array>

namespace lagoontiller::bench {

inline constexpr std::array<std::uint64_t, 3> seeds { 11, 23, 47 };

/// \brief Results of one policy for one row, combined over all seeds. Latencies are in seconds, of completed programs.
struct Summary {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    /// \brief 95th percentile of the programs that arrived after the recovery from a fault at the default time.
    double p95AfterRecovery = 0;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t unfinished = 0;
    /// \brief Programs per second that completed within the arrival period.
    double goodput = 0;
    std::map<std::string, std::uint64_t> violations;
};

struct Row {
    std::string title;
    RunSettings settings;
};

/// \brief Runs the simulation with every seed.
[[nodiscard]] Summary measure(const Deployment& deployment, RunSettings settings);
/// \brief Exact quantile of the values; 0 if there are none.
[[nodiscard]] double quantileOf(std::vector<double> values, double quantile);

void printHeader();
void printRow(const std::string& title, const std::string& policy, const Summary& summary);

/// \brief Prints the table of all rows and the targets of docs/design.md, section 7. Returns true if the scheduler
/// violated no condition and finished all programs.
[[nodiscard]] bool runTable(const std::string& traces);
/// \brief Prints the scheduler at each load, without baselines and faults.
void runLoads(const std::string& traces);
/// \brief Prints the scheduler with single elements disabled or enabled.
void runElements(const std::string& traces);
/// \brief Prints the mean absolute error of the load forecasts for the load pattern in table 2 of the cited paper.
void runForecasts();

} // namespace lagoontiller::bench
