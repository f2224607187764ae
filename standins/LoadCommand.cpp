#include "standins/Commands.h"
#include "standins/LoadRun.h"
#include "standins/StandinConfig.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <numeric>
#include <random>
#include <sstream>

namespace lagoontiller::standins {

namespace {

constexpr int usageStatus = 1;
constexpr int outcomeStatus = 1;
// Upper limits, so that a mistyped number does not exhaust the resources of the machine.
constexpr std::uint64_t maxConnections = 20'000;
constexpr std::uint64_t maxRequests = 10'000'000;

double percentile(std::vector<std::int64_t>& values, double quantile)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(rank)]);
}

double mean(const std::vector<std::int64_t>& values)
{
    if (values.empty())
        return 0;
    const auto sum = std::accumulate(values.begin(), values.end(), std::int64_t { 0 });
    return static_cast<double>(sum) / static_cast<double>(values.size());
}

void printDistribution(const std::string& name, std::vector<std::int64_t>& values, double divisor)
{
    std::cout << name << "_p50=" << percentile(values, 0.5) / divisor << '\n';
    std::cout << name << "_p95=" << percentile(values, 0.95) / divisor << '\n';
    std::cout << name << "_p99=" << percentile(values, 0.99) / divisor << '\n';
    std::cout << name << "_max=" << percentile(values, 1) / divisor << '\n';
}

void print(LoadResult& result, bool stream)
{
    const auto seconds = static_cast<double>(result.elapsed.count()) / 1e6;
    std::cout << "answered=" << result.answered << "\nrefused=" << result.refused << "\nlost=" << result.lost
              << "\nunfinished=" << result.unfinished << "\nseconds=" << seconds
              << "\nrequests_per_s=" << static_cast<double>(result.answered) / seconds << '\n';
    printDistribution("latency_ms", result.latencies, 1'000);
    printDistribution("first_byte_ms", result.firstBytes, 1'000);
    if (!stream)
        return;
    std::cout << "open_streams_peak=" << result.peakOpenStreams << "\nstreamed_tokens=" << result.streamedTokens
              << "\ntokens_per_s=" << static_cast<double>(result.streamedTokens) / seconds
              << "\ntoken_us_mean=" << mean(result.tokenTimes) / 1'000 << '\n';
    printDistribution("read_gap_us", result.readGaps, 1);
}

std::string randomNonce()
{
    std::random_device source;
    std::ostringstream text;
    text << std::hex << source() << source();
    return text.str();
}

LoadOptions readOptions(const cxxopts::ParseResult& parsed)
{
    LoadOptions load;
    load.entries = splitList(parsed["entries"].as<std::string>());
    load.key = parsed["key"].as<std::string>();
    load.model = parsed["model"].as<std::string>();
    load.requests = std::min(parsed["requests"].as<std::uint64_t>(), maxRequests);
    load.connections = std::min(parsed["connections"].as<std::uint64_t>(), maxConnections);
    load.openStreams = parsed.count("open-streams") > 0;
    load.stream = load.openStreams || parsed.count("stream") > 0;
    load.tokens = parsed["tokens"].as<std::uint64_t>();
    load.turns = std::max<std::uint64_t>(1, parsed["turns"].as<std::uint64_t>());
    load.timeLimit = std::chrono::seconds(parsed["seconds"].as<std::uint64_t>());
    if (load.openStreams)
        load.requests = load.connections;
    load.nonce = randomNonce();
    return load;
}

/// \brief Runs the same load against an engine and prints what the entries add per streamed chunk.
void compareWithEngine(LoadOptions load, const std::string& address, const LoadResult& result)
{
    load.entries = { address };
    load.key.clear();
    load.turns = 1;
    const auto direct = runLoad(load);
    std::cout << "direct_answered=" << direct.answered << "\ndirect_token_us_mean=" << mean(direct.tokenTimes) / 1'000
              << "\nadded_us_per_token=" << (mean(result.tokenTimes) - mean(direct.tokenTimes)) / 1'000
              << "\nadded_first_byte_ms=" << (mean(result.firstBytes) - mean(direct.firstBytes)) / 1'000 << '\n';
}

} // namespace

int generateLoad(int argc, char** argv)
{
    cxxopts::Options options("lagoontiller-standins load", "Sends a bounded load of model calls to entry nodes");
    options.add_options()("entries", "IP:port[,IP:port...]", cxxopts::value<std::string>())(
        "key", "customer key", cxxopts::value<std::string>())("model", "model name", cxxopts::value<std::string>())(
        "requests", "requests in all", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "connections", "connections at the same time", cxxopts::value<std::uint64_t>()->default_value("4"))("stream",
        "streamed answers")("tokens", "max_tokens of a request", cxxopts::value<std::uint64_t>()->default_value("32"))(
        "open-streams", "one stream per connection, all open at the same time; ignores --requests")(
        "turns", "turns per program; 1 sends no program id", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time limit", cxxopts::value<std::uint64_t>()->default_value("30"))("direct",
        "engine IP:port for the same load without entries; prints the time added per streamed token",
        cxxopts::value<std::string>())("h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    const bool complete = parsed.count("entries") > 0 && parsed.count("key") > 0 && parsed.count("model") > 0;
    if (parsed.count("help") > 0 || !complete) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : usageStatus;
    }
    const auto load = readOptions(parsed);
    auto result = runLoad(load);
    print(result, load.stream);
    if (parsed.count("direct") > 0 && load.stream)
        compareWithEngine(load, parsed["direct"].as<std::string>(), result);
    return result.answered == load.requests ? 0 : outcomeStatus;
}

} // namespace lagoontiller::standins
