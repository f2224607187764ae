#include "command/RouteCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/NodeClient.h"
#include "command/ReadFile.h"
#include "document/Address.h"
#include "platform/RouteQuery.h"

#include <array>
#include <charconv>
#include <iomanip>
#include <iostream>

namespace lagoontiller::command {

namespace {

using core::ResultCode;
using nlohmann::json;

/// \brief Maximum size of a body file; gateways accept 4 MiB by default.
constexpr std::size_t maxBodyBytes = 4U << 20U;

struct QueryOption {
    const char* name;
    /// \brief Field of the query.
    const char* field;
    const char* help;
};

constexpr std::array textOptions { QueryOption { "host", "host", "Host of the request (required)" },
    QueryOption { "path", "path", "Path of the request (required)" },
    QueryOption { "method", "method", "Method of the request; default: POST" },
    QueryOption { "id", "id", "Id of the request; selects the service on routes with several" },
    QueryOption { "program", "program", "Id of its program" },
    QueryOption { "session", "session", "Id of its session" },
    QueryOption { "previous-turn", "previous_turn", "Id of the turn that it continues" },
    QueryOption { "affinity", "affinity", "Object that it refers to" },
    QueryOption { "client-address", "client_address", "IP address of the caller" } };
constexpr std::array countOptions { QueryOption {
                                        "token-budget", "token_budget", "Output tokens of the whole program" },
    QueryOption { "deadline-ms", "deadline_ms", "Time until the deadline of the request" },
    QueryOption { "program-deadline-ms", "program_deadline_ms", "Time until the program should be finished" } };

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

tl::unexpected<core::Error> invalid(const std::string& message)
{
    return core::failure(ResultCode::InvalidField, message);
}

void addOptions(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("node", "Metrics address of a gateway node, IP:port (required)", cxxopts::value<std::string>());
    for (const auto& option : textOptions)
        add(option.name, option.help, cxxopts::value<std::string>());
    add("key-file", "File with the key of the account (- for stdin)", cxxopts::value<std::string>());
    add("prompt-parts", "Parts of the prompt: ID:TOKENS, separated by commas",
        cxxopts::value<std::vector<std::string>>());
    add("tokens", "Tokens of the prompt and maximum tokens of the output: PROMPT,OUTPUT",
        cxxopts::value<std::string>());
    for (const auto& option : countOptions)
        add(option.name, option.help, cxxopts::value<std::string>());
    add("body-file", "File with the body; needed only to tell whether the request is isolated",
        cxxopts::value<std::string>());
    add("json", "Print JSON");
}

/// \brief Adds the key and the body, which are never arguments.
core::Expected<void> addFiles(const cxxopts::ParseResult& parsed, json& query)
{
    if (parsed.count("key-file") > 0) {
        const auto key = readKeyFile(parsed["key-file"].as<std::string>());
        if (!key)
            return tl::unexpected(key.error());
        if (key->empty())
            return invalid("--key-file contains no key");
        query["key"] = *key;
    }
    if (parsed.count("body-file") > 0) {
        auto body = readFile(parsed["body-file"].as<std::string>(), maxBodyBytes);
        if (!body)
            return tl::unexpected(body.error());
        if (body->size() > maxBodyBytes)
            return invalid("--body-file contains more than 4 MiB");
        query["body"] = std::move(*body);
    }
    return {};
}

/// \brief Describes the request as the node expects it. Errors: InvalidField, FileUnreadable.
core::Expected<json> buildQuery(const cxxopts::ParseResult& parsed)
{
    json query;
    for (const auto& option : textOptions) {
        if (parsed.count(option.name) > 0)
            query[option.field] = parsed[option.name].as<std::string>();
    }
    if (!query.contains("host") || !query.contains("path"))
        return invalid("--host and --path are required");
    for (const auto& option : countOptions) {
        if (parsed.count(option.name) == 0)
            continue;
        const auto value = parseCount(parsed[option.name].as<std::string>());
        if (!value)
            return invalid("--" + std::string(option.name) + " requires a number");
        query[option.field] = *value;
    }
    if (parsed.count("prompt-parts") > 0)
        query["prompt_parts"] = parsed["prompt-parts"].as<std::vector<std::string>>();
    if (parsed.count("tokens") > 0) {
        const auto text = parsed["tokens"].as<std::string>();
        const auto comma = text.find(',');
        const auto prompt = parseCount(std::string_view(text).substr(0, comma));
        const auto output = parseCount(comma == std::string::npos ? "" : std::string_view(text).substr(comma + 1));
        if (!prompt || !output)
            return invalid("--tokens requires two numbers such as 4000,200");
        query["prompt_tokens"] = *prompt;
        query["output_tokens"] = *output;
    }
    if (const auto added = addFiles(parsed, query); !added)
        return tl::unexpected(added.error());
    return query;
}

std::string responseText(const json& response)
{
    auto text = std::to_string(response.value("status", 0)) + ' ' + textField(response, "cause");
    if (response.contains("retry_after_ms"))
        text += ", retry after " + std::to_string(response.value("retry_after_ms", std::int64_t { 0 })) + " ms";
    return text;
}

void printSteps(const json& steps)
{
    std::cout << "checks:\n";
    for (const auto& step : steps) {
        const auto state = textField(step, "state");
        const auto decidedBy = textField(step, "decided_by");
        std::cout << "  " << std::left << std::setw(15) << textField(step, "step") << state;
        if (!decidedBy.empty())
            std::cout << (decidedBy == "here" ? ", decided here" : ", decided by " + decidedBy);
        if (step.contains("pass_share"))
            std::cout << ", passes " << step.value("pass_share", 0.0) * 100 << "% of such requests";
        if (step.contains("wait_ms"))
            std::cout << ", waits " << step.value("wait_ms", 0.0) << " ms";
        if (step.contains("response"))
            std::cout << (state == "refuses" ? ": " : "; if refused: ") << responseText(step["response"]);
        std::cout << '\n';
    }
}

void printCost(const json& cost)
{
    std::cout << "cost " << cost.value("total", 0.0) << " ms";
    const char* separator = " (";
    for (const auto& [part, value] : cost.items()) {
        if (part == "total" || !value.is_number() || value.get<double>() == 0)
            continue;
        std::cout << separator << part << ' ' << value.get<double>();
        separator = ", ";
    }
    if (std::string_view(separator) == ", ")
        std::cout << ')';
}

void printEndpoints(const json& endpoints)
{
    std::cout << "endpoints (* may get the request):\n";
    for (const auto& endpoint : endpoints) {
        std::cout << (endpoint.value("may_be_chosen", false) ? "  * " : "    ") << textField(endpoint, "id") << "  "
                  << textField(endpoint, "address") << "  " << textField(endpoint, "zone") << "  ";
        if (const auto version = textField(endpoint, "version"); !version.empty())
            std::cout << "version " << version << "  ";
        if (const auto excluded = textField(endpoint, "excluded"); !excluded.empty()) {
            std::cout << "excluded: " << excluded;
            if (endpoint.contains("sends_in_ms"))
                std::cout << ", accepts a request in " << endpoint.value("sends_in_ms", 0.0) << " ms";
        } else {
            printCost(endpoint.value("cost_ms", json::object()));
            if (const auto avoided = textField(endpoint, "avoided"); !avoided.empty())
                std::cout << "  avoided: " << avoided;
        }
        std::cout << '\n';
    }
}

void printExplanation(const json& explanation)
{
    std::cout << "outcome: " << textField(explanation, "outcome") << ", decided by the check "
              << textField(explanation, "decided_by")
              << "\nif rejected now: " << responseText(explanation.value("response_if_rejected", json::object()))
              << "\nconfiguration: ";
    if (explanation.contains("configuration") && explanation["configuration"].is_number())
        std::cout << "version " << explanation["configuration"];
    else
        std::cout << "none";
    std::cout << ", store " << (explanation.value("store_reachable", false) ? "reachable" : "not reachable") << '\n';
    if (explanation.contains("route")) {
        std::cout << "route: " << textField(explanation, "route")
                  << (explanation.value("public", false) ? " (public)" : "") << '\n';
    }
    if (explanation.contains("account")) {
        const auto& account = explanation["account"];
        std::cout << "account: " << textField(account, "name") << ", priority " << account.value("priority", 0);
        if (const auto rate = account.value("rate_per_second", 0.0); rate > 0)
            std::cout << ", " << rate << " requests per second";
        std::cout << '\n';
    } else if (explanation.value("requires_key", false)) {
        std::cout << "account: none\n";
    }
    if (explanation.contains("service")) {
        std::cout << "service: " << textField(explanation, "service") << ", versions:";
        const auto versions = explanation.value("versions", std::vector<std::string>());
        for (const auto& version : versions)
            std::cout << ' ' << version;
        std::cout << (versions.empty() ? " any\n" : "\n");
    }
    printSteps(explanation.value("steps", json::array()));
    if (explanation.contains("service"))
        printEndpoints(explanation.value("endpoints", json::array()));
}

/// \brief Reports that the node knows no route for the request; returns the exit status.
int reportMissingRoute(const cxxopts::Options& options, const json& query, const json& explanation)
{
    const auto cause = textField(explanation.value("response_if_rejected", json::object()), "cause");
    if (cause == "no_configuration") {
        std::cerr << options.program() << ": the node has no configuration yet\n";
        return ExitStatus::Unavailable;
    }
    if (cause == "no_route") {
        std::cerr << options.program() << ": the configuration has no route for host " << textField(query, "host")
                  << " and path " << textField(query, "path") << '\n';
        return ExitStatus::FaultsFound;
    }
    return ExitStatus::Success;
}

} // namespace

int runRoute(int argc, const char* const* argv)
{
    cxxopts::Options options(
        "lagoontiller route", "Show where a gateway would route a request now, and why, without sending it");
    addOptions(options);
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("node") != 1)
        return usageError(options, "--node IP:PORT is required exactly once: the metrics address of a node");
    const auto address = document::parseAddress(parsed["node"].as<std::string>());
    if (!address)
        return usageError(options, "--node requires an IP address and port such as 127.0.0.1:8301");
    const auto query = buildQuery(parsed);
    if (!query)
        return reportError(options, query.error());
    const auto response
        = NodeClient(address->text(), {}, metricsAddress).post(std::string(platform::routeQueryPath), *query);
    if (!response)
        return reportError(options, response.error());
    if (response->status != 200)
        return reportErrorResponse(options, *response);
    if (parsed.count("json") > 0)
        printJson(response->body);
    else
        printExplanation(response->body);
    return reportMissingRoute(options, *query, response->body);
}

} // namespace lagoontiller::command
