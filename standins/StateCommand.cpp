#include "bench/fakes/EngineText.h"
#include "standins/Commands.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lagoontiller::standins {

namespace {

using nlohmann::ordered_json;

/// \brief Sets `expect` of each turn that is not refused, computed from the history with all previous answers.
void addExpectedTexts(ordered_json& steps)
{
    auto history = nlohmann::json::array();
    for (auto& step : steps) {
        if (step.contains("sub_agent"))
            addExpectedTexts(step["sub_agent"]["steps"]);
        if (!step.contains("turn") || step["turn"].contains("refused"))
            continue;
        auto& turn = step["turn"];
        for (const auto& message : turn.at("messages"))
            history.push_back(nlohmann::json(message));
        const auto text = fakes::answerText(history, turn.value("max_tokens", 0U));
        turn["expect"] = text;
        history.push_back({ { "role", "assistant" }, { "content", text } });
    }
}

} // namespace

int writeExpectedTexts(int argc, char** argv)
{
    cxxopts::Options options("lagoontiller-standins state", "Prints a trace with the expected text of each turn");
    options.add_options()("trace", "JSON lines", cxxopts::value<std::string>())("h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("trace") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 1;
    }
    std::ifstream file(parsed["trace"].as<std::string>());
    if (!file)
        throw std::runtime_error("cannot read " + parsed["trace"].as<std::string>());
    for (std::string line; std::getline(file, line);) {
        auto program = ordered_json::parse(line);
        if (program.contains("steps"))
            addExpectedTexts(program["steps"]);
        std::cout << program.dump() << '\n';
    }
    return 0;
}

} // namespace lagoontiller::standins
