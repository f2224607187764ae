#include "bench/fakes/Trace.h"

#include <sstream>
#include <stdexcept>

namespace lagoontiller::fakes {

namespace {

using nlohmann::json;

std::vector<TraceStep> parseSteps(const json& list);

TraceTurn parseTurn(const json& turn)
{
    TraceTurn result;
    result.model = turn.at("model");
    result.messages = turn.at("messages");
    result.maxTokens = turn.value("max_tokens", 0U);
    result.stream = turn.value("stream", false);
    result.append = turn.value("history", "full") == "append";
    result.refused = turn.value("refused", "");
    result.expectedText = result.refused.empty() ? turn.at("expect").get<std::string>() : "";
    return result;
}

TraceCall parseCall(const json& call)
{
    TraceCall result;
    result.service = call.at("service");
    result.path = call.at("path");
    result.body = call.at("body");
    result.repeatable = call.at("repeatable");
    result.key = call.at("key");
    result.refused = call.value("refused", "");
    return result;
}

TraceStep parseStep(const json& step)
{
    if (step.contains("turn"))
        return { parseTurn(step["turn"]) };
    if (step.contains("call"))
        return { parseCall(step["call"]) };
    if (step.contains("pause_ms"))
        return { TracePause { std::chrono::milliseconds(step["pause_ms"].get<std::int64_t>()) } };
    if (step.contains("sub_agent"))
        return { TraceSubAgent { step["sub_agent"].at("name"), parseSteps(step["sub_agent"].at("steps")) } };
    if (step.contains("end"))
        return { TraceEnd {} };
    throw std::runtime_error("a step is one of turn, call, pause_ms, sub_agent, end");
}

std::vector<TraceStep> parseSteps(const json& list)
{
    std::vector<TraceStep> steps;
    for (const auto& step : list)
        steps.push_back(parseStep(step));
    return steps;
}

void parseLine(const json& line, Trace& trace)
{
    if (line.contains("deployment")) {
        trace.deployment = line["deployment"];
        trace.classes = line.at("classes");
        return;
    }
    trace.programs.push_back(
        { line.at("program"), line.at("customer"), line.at("class"), line.at("region"), parseSteps(line.at("steps")) });
}

} // namespace

core::Expected<Trace> parseTrace(const std::string& text)
{
    Trace trace;
    std::istringstream stream(text);
    int number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        if (line.empty())
            continue;
        try {
            parseLine(json::parse(line), trace);
        } catch (const std::exception& error) {
            return tl::unexpected(core::Error(core::ResultCode::MalformedJson, error.what(), number, 1));
        }
    }
    return trace;
}

} // namespace lagoontiller::fakes
