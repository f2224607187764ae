#include "bench/policy/Workload.h"

#include "bench/policy/EngineDouble.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace lagoontiller::bench {

namespace {

constexpr std::uint32_t tokensPerCharacter = 8;
constexpr int pauseScale = 20;

class Flattener {
public:
    explicit Flattener(std::vector<PlanStep>& steps)
        : steps(steps)
    {
    }

    void flatten(const std::vector<fakes::TraceStep>& list, std::uint32_t context)
    {
        std::uint32_t history = 0;
        for (const auto& step : list) {
            if (const auto* turn = std::get_if<fakes::TraceTurn>(&step.action)) {
                this->add(*turn, context, history);
            } else if (const auto* call = std::get_if<fakes::TraceCall>(&step.action)) {
                if (call->refused.empty()) {
                    this->steps.push_back({ StepKind::Call, context, "", 0, 0, call->repeatable, call->path, {} });
                }
            } else if (const auto* pause = std::get_if<fakes::TracePause>(&step.action)) {
                this->steps.push_back(
                    { StepKind::Pause, context, "", 0, 0, true, "pause", pause->length * pauseScale });
            } else if (const auto* agent = std::get_if<fakes::TraceSubAgent>(&step.action)) {
                this->flatten(agent->steps, ++this->agents);
            }
        }
    }

private:
    void add(const fakes::TraceTurn& turn, std::uint32_t context, std::uint32_t& history)
    {
        if (!turn.refused.empty()) {
            return;
        }
        std::uint32_t characters = 0;
        for (const auto& message : turn.messages) {
            characters += static_cast<std::uint32_t>(message.at("content").get<std::string>().size());
        }
        const auto words
            = static_cast<std::uint32_t>(1 + std::count(turn.expectedText.begin(), turn.expectedText.end(), ' '));
        history += characters * tokensPerCharacter;
        this->steps.push_back({ StepKind::Turn, context, turn.model, history, words, true, "", {} });
        history += words;
    }

    std::vector<PlanStep>& steps;
    std::uint32_t agents = 0;
};

fakes::Trace readTrace(const std::string& file)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    auto trace = fakes::parseTrace(text.str());
    if (!trace || trace->programs.empty()) {
        throw std::runtime_error("cannot read the trace " + file);
    }
    return *trace;
}

void describe(Deployment& deployment, bool nilavilakku)
{
    deployment.modelService = nilavilakku ? "inspector-assistant" : "inscription-wording";
    deployment.toolService = nilavilakku ? "test-records" : "orders-payments";
    deployment.regions = nilavilakku ? std::vector<std::string> { "Calicut", "Ernakulam", "Trivandrum" }
                                     : std::vector<std::string> { "Akureyri", "Egilsstadir", "Reykjavik" };
    deployment.tools = nilavilakku ? 10 : 15;
    deployment.latencyWeight = nilavilakku ? 1 : 0.3;
    deployment.wastedCacheWeight = nilavilakku ? 0.3 : 1;
}

} // namespace

Deployment readDeployment(const std::string& directory, const std::string& name)
{
    Deployment deployment;
    deployment.name = name;
    describe(deployment, name == "nilavilakku");
    const fakes::Trace trace = readTrace(directory + "/" + name + ".jsonl");
    std::set<std::string> customers;
    std::set<std::string> models;
    for (const auto& program : trace.programs) {
        ProgramPlan plan { program.name, program.customer, 0, 0, {} };
        plan.priority = trace.classes.at(program.programClass).at("priority").get<int>();
        const auto region = std::find(deployment.regions.begin(), deployment.regions.end(), program.region);
        plan.region = static_cast<std::size_t>(region - deployment.regions.begin()) % deployment.regions.size();
        Flattener(plan.steps).flatten(program.steps, 0);
        customers.insert(plan.customer);
        for (const PlanStep& step : plan.steps) {
            if (step.kind == StepKind::Turn) {
                models.insert(step.model);
            }
        }
        deployment.plans.push_back(std::move(plan));
    }
    deployment.customers.assign(customers.begin(), customers.end());
    deployment.models.assign(models.begin(), models.end());
    return deployment;
}

double capacity(const Deployment& deployment, std::size_t engines)
{
    const EngineDoubleSettings engine;
    const double tokenMs = engine.decodeMs * (1 + engine.batchSlowdown * static_cast<double>(engine.slots - 1));
    double prefillMs = 0;
    double slotMs = 0;
    for (const ProgramPlan& plan : deployment.plans) {
        std::map<std::uint32_t, std::uint32_t> known;
        for (const PlanStep& step : plan.steps) {
            if (step.kind != StepKind::Turn) {
                continue;
            }
            const double prefill = (step.prompt - known[step.context]) / engine.prefillTokensPerMs;
            known[step.context] = step.prompt + step.completion;
            prefillMs += prefill;
            slotMs += prefill + step.completion * tokenMs;
        }
    }
    const double busiest = std::max(prefillMs, slotMs / static_cast<double>(engine.slots));
    return static_cast<double>(engines * deployment.plans.size()) * 1'000 / busiest;
}

std::vector<ArrivingProgram> arrivals(
    const Deployment& deployment, double perSecond, core::TimePoint begin, core::Duration length, std::uint64_t seed)
{
    constexpr double pauseSpread = 0.7;
    policy::Random random(seed);
    std::vector<ArrivingProgram> programs;
    std::vector<std::size_t> order;
    double at = 0;
    while (true) {
        at += -std::log(1 - policy::uniform(random)) / perSecond * 1e6;
        if (at >= policy::microseconds(length)) {
            return programs;
        }
        if (order.empty()) {
            for (std::size_t i = 0; i < deployment.plans.size(); ++i) {
                order.insert(order.begin() + static_cast<std::ptrdiff_t>(policy::uniformIndex(random, i + 1)), i);
            }
        }
        const double factor = std::exp(pauseSpread * (policy::uniform(random) + policy::uniform(random) - 1));
        programs.push_back({ order.back(), begin + core::Duration(static_cast<std::int64_t>(at)), factor });
        order.pop_back();
    }
}

} // namespace lagoontiller::bench
