#include "command/ExplainCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace lagoontiller::command {

namespace {

/// \brief Time before the first line of the request from which context events are printed.
constexpr std::int64_t contextWindowMs = 3'000;

struct LogLine {
    /// \brief Unix time in ms.
    std::int64_t time = 0;
    std::string node;
    std::string text;
};

/// \brief Returns the value of `key=` in a log line; empty if the line has no such field.
std::string_view fieldValue(std::string_view line, std::string_view key)
{
    const auto pattern = std::string(key) + "=";
    for (auto position = line.find(pattern); position != std::string_view::npos;
         position = line.find(pattern, position + 1)) {
        if (position != 0 && line[position - 1] != ' ')
            continue;
        const auto value = line.substr(position + pattern.size());
        return value.substr(0, value.find(' '));
    }
    return {};
}

/// \brief Parses the time and the node of a log line; 0 and empty if they are missing.
LogLine parseLine(const std::string& text)
{
    LogLine line;
    line.text = text;
    line.node = fieldValue(text, "node");
    const auto time = fieldValue(text, "time");
    std::from_chars(time.data(), time.data() + time.size(), line.time);
    return line;
}

/// \brief Whether the event may have affected requests although it has no request id.
bool isContextEvent(std::string_view line)
{
    static const std::set<std::string_view> events { "store_lost", "store_regained", "endpoint_health",
        "endpoint_changed", "endpoint_removed", "endpoint_lost", "peer_not_answering", "configuration_in_force",
        "configuration_rejected", "quota_reached", "process_was_paused", "node_started", "node_stopping" };
    return events.contains(fieldValue(line, "event"));
}

bool isStoreStateEvent(std::string_view line)
{
    const auto event = fieldValue(line, "event");
    return event == "store_lost" || event == "store_regained";
}

/// \brief Prints the lines of the request with the context events of their nodes, ordered by time.
void printLines(std::vector<LogLine> requestLines, const std::vector<LogLine>& contextLines)
{
    const auto byTime = [](const LogLine& left, const LogLine& right) { return left.time < right.time; };
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    std::set<std::string> nodes;
    for (const auto& line : requestLines)
        nodes.insert(line.node);
    const auto from = requestLines.front().time - contextWindowMs;
    const auto to = requestLines.back().time;
    // The store may have been lost or regained before the window: also print the last such event of each node.
    std::map<std::string, LogLine> lastStoreState;
    for (const auto& line : contextLines) {
        if (!nodes.contains(line.node) || line.time > to)
            continue;
        if (line.time >= from)
            requestLines.push_back(line);
        else if (isStoreStateEvent(line.text) && line.time >= lastStoreState[line.node].time)
            lastStoreState[line.node] = line;
    }
    for (const auto& [node, line] : lastStoreState) {
        if (!line.text.empty())
            requestLines.push_back(line);
    }
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    for (const auto& line : requestLines)
        std::cout << line.text << '\n';
}

} // namespace

int runExplain(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller explain", "Print the log lines of one request from the logs of all nodes");
    options.add_options()("words", "Request id and log files", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    options.positional_help("ID FILE...");
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("words") == 0)
        return usageError(options, "a request ID and at least one log FILE are required");
    const auto idAndFiles = parsed["words"].as<std::vector<std::string>>();
    if (idAndFiles.size() < 2)
        return usageError(options, "a request ID and at least one log FILE are required");
    std::vector<LogLine> requestLines;
    std::vector<LogLine> contextLines;
    for (std::size_t index = 1; index < idAndFiles.size(); ++index) {
        std::ifstream file(idAndFiles[index]);
        if (!file) {
            std::cerr << "lagoontiller explain: " << idAndFiles[index] << " cannot be read\n";
            return ExitStatus::Unavailable;
        }
        for (std::string text; std::getline(file, text);) {
            if (fieldValue(text, "id") == idAndFiles.front())
                requestLines.push_back(parseLine(text));
            else if (isContextEvent(text))
                contextLines.push_back(parseLine(text));
        }
    }
    if (requestLines.empty()) {
        std::cerr << "lagoontiller explain: no line has id=" << idAndFiles.front() << '\n';
        return ExitStatus::FaultsFound;
    }
    printLines(std::move(requestLines), contextLines);
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
