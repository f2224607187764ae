#pragma once

#include "bench/policy/Simulation.h"

#include <array>

namespace lagoontiller::bench {

inline constexpr std::array<std::uint64_t, 3> seeds { 11, 23, 47 };

/// \brief Results of one policy in one row over all seeds. Latencies are those of completed programs, in seconds.
struct Summary {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    /// \brief 95th percentile of the programs that arrived after recovery from a fault at its usual time.
    double p95AfterRecovery = 0;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t unended = 0;
    /// \brief Programs completed within the time of the arrivals, per second.
    double goodput = 0;
    std::map<std::string, std::uint64_t> violations;
};

struct Row {
    std::string title;
    RunSettings settings;
};

/// \brief Runs the settings with every seed.
[[nodiscard]] Summary measure(const Deployment& deployment, RunSettings settings);
/// \brief Exact quantile of the values; 0 without values.
[[nodiscard]] double quantileOf(std::vector<double> values, double part);

void printHeader();
void printRow(const std::string& title, const std::string& policy, const Summary& summary);

/// \brief Prints the table of all rows and the targets of docs/design.md, section 7. Returns whether no condition was
/// violated by our policy and all its programs ended.
[[nodiscard]] bool runTable(const std::string& traces);
/// \brief Prints our policy at each load, without baselines and faults.
void runOurs(const std::string& traces);
/// \brief Prints our policy with single elements switched off or on.
void runElements(const std::string& traces);
/// \brief Prints the mean absolute error of the load forecasts on the load shape of the cited paper's table 2.
void runForecasts();

} // namespace lagoontiller::bench
