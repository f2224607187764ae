#include "command/Arguments.h"

#include "command/ExitStatus.h"

#include <iostream>

namespace lagoontiller::command {

std::variant<cxxopts::ParseResult, int> parseArguments(
    cxxopts::Options& options, int argc, const char* const* argv, std::string_view furtherHelp)
{
    options.add_options()("h,help", "Show this help");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << furtherHelp;
            return ExitStatus::Success;
        }
        if (!parsed.unmatched().empty())
            return usageError(options, "unexpected argument \"" + parsed.unmatched().front() + '"');
        return parsed;
    } catch (const cxxopts::exceptions::exception& exception) {
        return usageError(options, exception.what());
    }
}

int usageError(const cxxopts::Options& options, const std::string& message)
{
    std::cerr << options.program() << ": " << message << "\nTry \"" << options.program() << " --help\".\n";
    return ExitStatus::Usage;
}

} // namespace lagoontiller::command
