#include "command/GatewayCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/HangupSignal.h"
#include "command/ReadFile.h"
#include "core/Log.h"
#include "document/IniText.h"
#include "gateway/Node.h"

#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>

namespace lagoontiller::command {

namespace {

/// \brief Environment variable with the path of the settings file, used without `--settings`.
constexpr auto settingsVariable = "LAGOONTILLER_BOOT";

/// \brief Returns freed memory of large bodies to the operating system. By default glibc raises both thresholds with
/// the size of freed blocks and keeps tens of megabytes.
void limitFreeMemory()
{
#ifdef __GLIBC__
    constexpr int mmapThresholdBytes = 256 * 1'024;
    constexpr int trimThresholdBytes = 1'024 * 1'024;
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
#endif
}

/// \brief Lists the keys of the settings file with their defaults and valid values.
std::string settingsHelp()
{
    std::string text = "\nSettings file:\n";
    for (const auto& section : settings::gatewaySchema().sections()) {
        const bool named = section.occurrence == document::Occurrence::NamedAtLeastOnce;
        text += fmt::format("\n  [{}{}]  {}\n", section.kind, named ? " NAME" : "", section.help);
        for (const auto& field : section.fields) {
            const auto presence = field.presence == document::Presence::Required
                ? std::string("required")
                : fmt::format("default {}", field.defaultValue);
            text += fmt::format(
                "    {}  {} ({}; {})\n", field.key, field.help, document::allowedValues(field), presence);
        }
    }
    return text;
}

} // namespace

int runGateway(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller gateway", "Run one gateway node until SIGTERM");
    options.add_options()(
        "settings", "Settings of this process (INI); default: $LAGOONTILLER_BOOT", cxxopts::value<std::string>());
    const auto arguments = parseArguments(options, argc, argv, settingsHelp());
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const char* const fromEnvironment = std::getenv(settingsVariable); // NOLINT(concurrency-mt-unsafe)
    if (parsed.count("settings") != 1 && fromEnvironment == nullptr)
        return usageError(
            options, "a settings file is required: set --settings FILE or the environment variable LAGOONTILLER_BOOT");
    const std::string file = parsed.count("settings") == 1 ? parsed["settings"].as<std::string>() : fromEnvironment;
    const auto text = readFile(file, document::maxTextBytes);
    if (!text) {
        std::cerr << "lagoontiller gateway: " << text.error().message << '\n';
        return ExitStatus::Unavailable;
    }
    const auto result = settings::parseGateway(*text);
    if (!result.settings) {
        for (const auto& fault : result.faults)
            std::cerr << document::format(fault, file) << '\n';
        return ExitStatus::FaultsFound;
    }
    limitFreeMemory();
    core::initialiseLogging(result.settings->logLevel, result.settings->nodeName);
    core::bufferLogs();
    gateway::Node node(result.settings, file, *text);
    unblockHangup();
    if (const auto failure = node.run(); !failure.empty()) {
        core::logError("node_failed").with("message", failure);
        core::flushLogs();
        return ExitStatus::Unavailable;
    }
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
