#pragma once

#include "bench/fakes/Trace.h"
#include "policy/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::bench {

enum class StepKind : int { Turn, Call, Pause };

/// \brief One step of a program. Steps of sub-agents are inlined and have their own context.
struct PlanStep {
    StepKind kind = StepKind::Turn;
    /// \brief 0 for the program itself, otherwise the index of the sub-agent.
    std::uint32_t context = 0;
    std::string model;
    std::uint32_t prompt = 0;
    std::uint32_t completion = 0;
    bool repeatable = true;
    std::string tool;
    core::Duration pause {};
};

struct ProgramPlan {
    std::string name;
    std::string customer;
    int priority = 0;
    std::size_t region = 0;
    std::vector<PlanStep> steps;
};

struct Deployment {
    std::string name;
    std::string modelService;
    std::string toolService;
    std::vector<std::string> regions;
    std::vector<std::string> customers;
    std::vector<std::string> models;
    std::vector<ProgramPlan> plans;
    std::size_t tools = 10;
    double latencyWeight = 1;
    double wastedCacheWeight = 1;
};

/// \brief An arrival of a recorded program, with its own id.
struct ArrivingProgram {
    std::size_t plan = 0;
    core::TimePoint at {};
    /// \brief Factor applied to the recorded pauses.
    double pauseFactor = 1;
};

/// \brief Reads `directory`/nilavilakku.jsonl or minningarskjoldur.jsonl.
///
/// Recorded texts and pauses are scaled up: a character counts as 8 tokens, and pauses are 20 times as long. Turns
/// with an expected refusal are skipped.
[[nodiscard]] Deployment readDeployment(const std::string& directory, const std::string& name);

/// \brief Programs per second that fully utilise the engines if no cached prefix is recomputed.
[[nodiscard]] double capacity(const Deployment& deployment, std::size_t engines);

/// \brief Poisson arrivals of the recorded programs, repeated in shuffled order.
[[nodiscard]] std::vector<ArrivingProgram> arrivals(
    const Deployment& deployment, double perSecond, core::TimePoint begin, core::Duration length, std::uint64_t seed);

} // namespace lagoontiller::bench
