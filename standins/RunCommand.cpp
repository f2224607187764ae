#include "standins/Commands.h"
#include "standins/EngineStandin.h"
#include "standins/EntryStandin.h"
#include "standins/PlainStandins.h"
#include "standins/StandinConfig.h"
#include "standins/StoreStandins.h"

#include "core/Log.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <thread>

namespace lagoontiller::standins {

namespace {

using nlohmann::json;

core::Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(value));
}

fakes::EngineSettings engineSettings(ConfigSection& section)
{
    fakes::EngineSettings settings;
    settings.slots = section.count("slots", settings.slots);
    settings.kvCapacity = section.count("kv_capacity", settings.kvCapacity);
    settings.prefillPerToken = core::Duration(section.count("prefill_us_per_token", 20));
    settings.decodePerToken = core::Duration(section.count("decode_us_per_token", 2'000));
    settings.batchSlowdown = section.number("batch_slowdown", settings.batchSlowdown);
    settings.loadLag = fromMilliseconds(section.number("load_lag_ms", 200));
    settings.eventLag = fromMilliseconds(section.number("event_lag_ms", 200));
    settings.eventGapEvery = section.count("event_gap_every", 0);
    settings.kvBytesPerToken = section.count("kv_bytes_per_token", settings.kvBytesPerToken);
    settings.checksFence = section.flag("checks_fence", true);
    settings.modelLoadTime = fromMilliseconds(section.number("model_load_ms", 1'000));
    for (auto& model : section.list("models"))
        settings.models.insert(std::move(model));
    return settings;
}

std::string offsetAddress(const std::string& first, std::uint64_t offset)
{
    const auto colon = first.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("address '" + first + "' is not IP:port");
    return first.substr(0, colon + 1) + std::to_string(std::stoul(first.substr(colon + 1)) + offset);
}

std::unique_ptr<Standin> create(
    ConfigSection& section, Loop& loop, const std::string& name, const std::string& address, KvExports& exports)
{
    const auto delay = fromMilliseconds(section.number("delay_ms", 0));
    if (section.kind == "engine")
        return std::make_unique<EngineStandin>(loop, name, address, delay, engineSettings(section),
            section.count("kv_bytes_per_second", 100'000'000), exports);
    if (section.kind == "service")
        return std::make_unique<ServiceStandin>(loop, name, address, delay);
    if (section.kind == "table")
        return std::make_unique<TableStandin>(loop, name, address, delay);
    if (section.kind == "objects")
        return std::make_unique<ObjectStandin>(loop, name, address, delay);
    if (section.kind == "vmlist")
        return std::make_unique<VmListStandin>(
            loop, name, address, delay, fromMilliseconds(section.number("lag_ms", 0)));
    if (section.kind == "weights")
        return std::make_unique<WeightStandin>(
            loop, name, address, delay, section.count("bytes_per_second", 100'000'000));
    throw std::runtime_error("[" + section.kind + " " + section.name
        + "]: the kind is one of run, control, engine, service, table, objects, vmlist, weights, entry");
}

/// \brief All stand-ins of the process with their loops and threads.
class StandinGroup {
public:
    explicit StandinGroup(std::vector<ConfigSection> sections)
    {
        std::uint64_t threadCount = 1;
        for (auto& section : sections) {
            if (section.kind == "run")
                threadCount = std::max<std::uint64_t>(1, section.count("threads", 1));
        }
        for (std::uint64_t index = 0; index < threadCount; ++index)
            this->loops.push_back(std::make_unique<Loop>());
        for (auto& section : sections)
            this->add(section);
    }

    ~StandinGroup()
    {
        for (auto& loop : this->loops)
            loop->stop();
        for (auto& thread : this->threads)
            thread.join();
    }

    StandinGroup(const StandinGroup&) = delete;
    StandinGroup& operator=(const StandinGroup&) = delete;

    void start()
    {
        for (auto& standin : this->standins)
            standin->start();
        if (this->controlServer)
            this->controlServer->open();
        for (auto& loop : this->loops)
            this->threads.emplace_back([&loop = *loop] { loop.run(); });
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->standins.size(); }

private:
    void add(ConfigSection& section)
    {
        if (section.kind == "entry") {
            this->addEntries(section);
        } else if (section.kind != "run" && section.kind != "control") {
            const auto first = section.text("address");
            const auto copies = section.count("count", 1);
            for (std::uint64_t index = 0; index < copies; ++index) {
                const auto name = copies == 1 ? section.name : section.name + "-" + std::to_string(index + 1);
                auto& loop = *this->loops[this->standins.size() % this->loops.size()];
                this->standins.push_back(create(section, loop, name, offsetAddress(first, index), this->exports));
            }
        } else if (section.kind == "control") {
            this->controlServer = std::make_unique<HttpServer>(*this->loops.front(), section.text("address"),
                [this](const ExchangePointer& exchange) { this->control(exchange); });
        }
        section.checkKeys();
    }

    void addEntries(ConfigSection& section)
    {
        // The first line of a trace contains the limits of its classes.
        std::ifstream trace(section.text("trace"));
        std::string line;
        std::getline(trace, line);
        const auto head = json::parse(line.empty() ? "{}" : line);
        const auto model = std::make_shared<fakes::EntryModel>(
            head.value("classes", json::object()), head.value("customers", json::object()));
        const auto delay = fromMilliseconds(section.number("delay_ms", 0));
        std::vector<std::string> addresses;
        for (std::uint64_t index = 0; index < section.count("count", 1); ++index)
            addresses.push_back(offsetAddress(section.text("address"), index));
        for (const auto& address : addresses) {
            auto& loop = *this->loops[this->standins.size() % this->loops.size()];
            const auto name = section.name + "-" + std::to_string(this->standins.size() + 1);
            this->standins.push_back(std::make_unique<EntryStandin>(loop, name, address, delay, model, addresses));
        }
    }

    // Forwards `/control?name=NAME`, which also reaches a stand-in that is not listening.
    void control(const ExchangePointer& exchange)
    {
        const auto name = exchange->request().parameter("name");
        for (auto& standin : this->standins) {
            if (standin->name() != name)
                continue;
            return standin->loop().post([this, exchange, &standin = *standin] { this->forward(exchange, standin); });
        }
        refuse(*exchange, { core::ResultCode::UnknownPath, "no stand-in has the name '" + name + "'" });
    }

    void forward(const ExchangePointer& exchange, Standin& standin)
    {
        core::Expected<json> result = json();
        try {
            if (exchange->request().method == "GET")
                result = standin.counters();
            else
                result = standin.control(json::parse(exchange->request().body));
        } catch (const json::exception& error) {
            result = core::failure(core::ResultCode::MalformedJson, error.what());
        }
        this->loops.front()->post([exchange, result = std::move(result)] {
            if (!result)
                return refuse(*exchange, result.error());
            exchange->answer(200, result->dump());
        });
    }

    std::vector<std::unique_ptr<Loop>> loops;
    KvExports exports;
    std::vector<std::unique_ptr<Standin>> standins;
    std::unique_ptr<HttpServer> controlServer;
    std::vector<std::thread> threads;
};

int waitForStop(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

} // namespace

int runStandins(int argc, char** argv)
{
    cxxopts::Options options("lagoontiller-standins run", "Runs stand-ins for external systems on loopback addresses");
    options.add_options()("config", "INI file with one section per stand-in", cxxopts::value<std::string>())(
        "h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("config") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 1;
    }
    // Blocked before the threads start, so that only sigwait() receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    core::initialiseLogging(core::LogLevel::Info, "standins");
    StandinGroup group(readConfig(parsed["config"].as<std::string>()));
    group.start();
    core::logInfo("ready").with("stand_ins", group.size());
    waitForStop(signals);
    return 0;
}

} // namespace lagoontiller::standins
