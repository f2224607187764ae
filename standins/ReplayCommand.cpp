#include "standins/Commands.h"
#include "standins/ReplayReport.h"
#include "standins/StandinConfig.h"

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace lagoontiller::standins {

namespace {

constexpr int usageStatus = 1;
constexpr int outcomeStatus = 1;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string randomNonce()
{
    std::random_device source;
    std::ostringstream text;
    text << std::hex << source() << source();
    return text.str();
}

/// \brief Keys by customer; a key has the form `<customer>.<secret>`.
std::map<std::string, std::string> keysByCustomer(const std::vector<std::string>& keys)
{
    std::map<std::string, std::string> result;
    for (const auto& key : keys) {
        const auto dot = key.find('.');
        if (dot == std::string::npos)
            throw std::runtime_error("a customer key has the form <customer>.<secret>");
        result[key.substr(0, dot)] = key;
    }
    return result;
}

Executions readLedgers(const std::vector<std::string>& addresses)
{
    Executions executions;
    HttpClient client;
    for (const auto& address : addresses) {
        const auto response = client.send({ "GET", address, "/ledger", {}, "" });
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (!response.complete || response.status != 200 || !body.is_object())
            throw std::runtime_error("no ledger at " + address + ": " + response.error);
        for (const auto& call : body.at("calls"))
            ++executions[call.at("idempotency_key").get<std::string>()];
    }
    return executions;
}

std::vector<ProgramResult> replayPrograms(const fakes::Trace& trace, EntryList& entries,
    const std::map<std::string, std::string>& keys, const ReplayOptions& options, std::size_t concurrency)
{
    for (const auto& program : trace.programs) {
        if (!keys.contains(program.customer))
            throw std::runtime_error("no --key for the customer " + program.customer);
    }
    std::vector<ProgramResult> results(trace.programs.size());
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (auto index = next++; index < trace.programs.size(); index = next++) {
            const auto& program = trace.programs[index];
            results[index] = replayProgram(program, entries, keys.at(program.customer), options);
        }
    };
    std::vector<std::thread> threads;
    const auto count = concurrency == 0 ? trace.programs.size() : std::min(concurrency, trace.programs.size());
    for (std::size_t index = 0; index < count; ++index)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
    return results;
}

} // namespace

int replayTrace(int argc, char** argv)
{
    cxxopts::Options options("lagoontiller-standins replay", "Plays a recorded trace against entry nodes");
    options.add_options()("entries", "IP:port[,IP:port...]", cxxopts::value<std::string>())(
        "key", "customer key, once per customer of the trace", cxxopts::value<std::vector<std::string>>())("trace",
        "JSON lines", cxxopts::value<std::string>())("services", "service stand-ins with ledgers, IP:port[,IP:port...]",
        cxxopts::value<std::string>())("speed", "divides the pauses", cxxopts::value<double>()->default_value("1"))(
        "concurrency", "programs at the same time, 0 for all", cxxopts::value<std::size_t>()->default_value("0"))(
        "nonce", "suffix of program ids and idempotency keys, random by default", cxxopts::value<std::string>())(
        "allow-unknown", "accept a call that was reported as may have run and did not run")("json", "print JSON")(
        "h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    const bool complete = parsed.count("entries") > 0 && parsed.count("key") > 0 && parsed.count("trace") > 0;
    if (parsed.count("help") > 0 || !complete || parsed["speed"].as<double>() <= 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : usageStatus;
    }
    const auto trace = fakes::parseTrace(readFile(parsed["trace"].as<std::string>()));
    if (!trace)
        throw std::runtime_error("line " + std::to_string(trace.error().line) + ": " + trace.error().message);
    const ReplayOptions replay { parsed["speed"].as<double>(),
        parsed.count("nonce") > 0 ? parsed["nonce"].as<std::string>() : randomNonce() };
    EntryList entries(splitList(parsed["entries"].as<std::string>()));
    const auto keys = keysByCustomer(parsed["key"].as<std::vector<std::string>>());
    const auto results = replayPrograms(*trace, entries, keys, replay, parsed["concurrency"].as<std::size_t>());
    std::optional<Executions> executions;
    if (parsed.count("services") > 0)
        executions = readLedgers(splitList(parsed["services"].as<std::string>()));
    const bool holds
        = report(results, executions, parsed.count("allow-unknown") > 0, parsed.count("json") > 0, std::cout);
    return holds ? 0 : outcomeStatus;
}

} // namespace lagoontiller::standins
