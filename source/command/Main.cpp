#include "command/ApplyCommand.h"
#include "command/CheckCommand.h"
#include "command/ExitStatus.h"
#include "command/ExplainCommand.h"
#include "command/GatewayCommand.h"
#include "command/HangupSignal.h"
#include "command/HashKeyCommand.h"
#include "command/HistoryCommand.h"
#include "command/RouteCommand.h"
#include "command/ServeCommand.h"
#include "command/ShowCommand.h"
#include "command/StatusCommand.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <string_view>

namespace {

using lagoontiller::command::ExitStatus;

struct SubCommand {
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, const char* const* argv);
};

constexpr std::array subCommands {
    SubCommand { "serve", "Run one node", lagoontiller::command::runServe },
    SubCommand { "gateway", "Run one gateway node on the platform", lagoontiller::command::runGateway },
    SubCommand { "explain", "Print the log lines of one request of a gateway", lagoontiller::command::runExplain },
    SubCommand { "route", "Show where a gateway would route a request now, and why", lagoontiller::command::runRoute },
    SubCommand { "check", "List every fault of a document or settings file", lagoontiller::command::runCheck },
    SubCommand { "show", "Print the document in force", lagoontiller::command::runShow },
    SubCommand { "apply", "Check a document and submit it as the next version", lagoontiller::command::runApply },
    SubCommand { "history", "List the accepted versions with their changes", lagoontiller::command::runHistory },
    SubCommand { "status", "Show nodes, endpoints, programs and refusals", lagoontiller::command::runStatus },
    SubCommand { "hash-key", "Print the salt and hash lines of a new or given key", lagoontiller::command::runHashKey },
};

void printHelp(std::ostream& stream)
{
    constexpr int nameWidth = 12;
    stream << "Scheduler for agent programs\n\nUsage: lagoontiller COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto& subCommand : subCommands)
        stream << "  " << std::left << std::setw(nameWidth) << subCommand.name << subCommand.help << '\n';
    stream << "\nOptions:\n  --help      Show this help; COMMAND --help shows the help of a command\n"
              "  --version   Show the version\n";
}

int runSubCommand(std::string_view name, int argc, const char* const* argv)
{
    const auto* const found = std::find_if(subCommands.begin(), subCommands.end(),
        [name](const SubCommand& subCommand) { return subCommand.name == name; });
    if (found != subCommands.end())
        return found->run(argc, argv);
    std::cerr << "lagoontiller: unknown command \"" << name << "\"\nTry \"lagoontiller --help\".\n";
    return ExitStatus::Usage;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string_view first = argc > 1 ? argv[1] : "";
    // Before anything else: a SIGHUP may arrive as soon as the process exists. The other commands don't handle it.
    if (first == "gateway")
        lagoontiller::command::blockHangup();
    if (first.empty()) {
        printHelp(std::cerr);
        return ExitStatus::Usage;
    }
    if (first == "--help" || first == "-h") {
        printHelp(std::cout);
        return ExitStatus::Success;
    }
    if (first == "--version") {
        std::cout << "lagoontiller " << LAGOONTILLER_VERSION << '\n';
        return ExitStatus::Success;
    }
    return runSubCommand(first, argc - 1, argv + 1);
}
