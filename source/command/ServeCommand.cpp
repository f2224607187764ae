#include "command/ServeCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/ReadFile.h"
#include "control/Runtime.h"
#include "core/Log.h"
#include "document/IniText.h"
#include "settings/Settings.h"

#include <iostream>

namespace lagoontiller::command {

int runServe(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller serve", "Run one node until SIGTERM");
    options.add_options()("settings", "Settings of this process (INI)", cxxopts::value<std::string>());
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("settings") != 1)
        return usageError(options, "--settings FILE is required exactly once");
    const auto file = parsed["settings"].as<std::string>();
    const auto text = readFile(file, document::maxTextBytes);
    if (!text) {
        std::cerr << "lagoontiller serve: " << text.error().message << '\n';
        return ExitStatus::Unavailable;
    }
    const auto result = settings::parse(*text);
    if (!result.settings) {
        for (const auto& fault : result.faults)
            std::cerr << document::format(fault, file) << '\n';
        return ExitStatus::FaultsFound;
    }
    core::initialiseLogging(result.settings->logLevel, result.settings->nodeName);
    control::Runtime runtime(result.settings);
    if (const auto finished = runtime.run(); !finished) {
        core::logError("node_failed").with("message", finished.error().message);
        return ExitStatus::Unavailable;
    }
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
