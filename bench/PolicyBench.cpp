#include "bench/policy/Report.h"

#include <cstdio>
#include <exception>
#include <string>

/// \brief Simulates the package `policy` in virtual time.
///
/// Arguments: the directory of the recorded traces and optionally `ours` (scheduler without baselines), `elements`
/// (ablation of single policy elements) or `forecasts`. By default it prints the table and the targets, and the exit
/// status is 1 if the scheduler violated a condition or left a program unfinished.
int main(int argc, char** argv)
{
    using namespace lagoontiller::bench;
    const std::string traces = argc > 1 ? argv[1] : "tests/data/traces";
    const std::string part = argc > 2 ? argv[2] : "table";
    try {
        if (part == "elements") {
            runElements(traces);
            return 0;
        }
        if (part == "ours") {
            runLoads(traces);
            return 0;
        }
        if (part == "forecasts") {
            runForecasts();
            return 0;
        }
        return runTable(traces) ? 0 : 1;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "PolicyBench: %s\n", error.what());
        return 2;
    }
}
