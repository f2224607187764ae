#pragma once

#include "core/Error.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::fakes {

struct TraceStep;

/// \brief A model call; `messages` extend the history of the program.
struct TraceTurn {
    std::string model;
    nlohmann::json messages;
    std::uint64_t maxTokens = 0;
    bool stream = false;
    /// \brief Sends only the new messages (`X-History: append`) instead of the whole history.
    bool append = false;
    std::string expectedText;
    /// \brief Name of the expected result code if the turn must be refused; otherwise empty.
    std::string refused;
};

struct TraceCall {
    std::string service;
    std::string path;
    nlohmann::json body;
    bool repeatable = false;
    std::string key;
    std::string refused;
};

struct TracePause {
    std::chrono::milliseconds length { 0 };
};

/// \brief Steps of a sub-agent; the parent resumes after the last one.
struct TraceSubAgent {
    std::string name;
    std::vector<TraceStep> steps;
};

struct TraceEnd { };

struct TraceStep {
    std::variant<TraceTurn, TraceCall, TracePause, TraceSubAgent, TraceEnd> action;
};

struct TraceProgram {
    std::string name;
    std::string customer;
    std::string programClass;
    std::string region;
    std::vector<TraceStep> steps;
};

/// \brief A recorded trace in JSON Lines: the deployment, then one line per program.
struct Trace {
    std::string deployment;
    /// \brief Limits by class name on which the expected refusals depend.
    nlohmann::json classes;
    std::vector<TraceProgram> programs;
};

/// \brief Parses a trace; an error contains the line number.
[[nodiscard]] core::Expected<Trace> parseTrace(const std::string& text);

} // namespace lagoontiller::fakes
