#include "command/CheckCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/ReadFile.h"
#include "document/Check.h"
#include "document/FaultJson.h"
#include "document/IniText.h"
#include "settings/GatewaySettings.h"
#include "settings/Settings.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace lagoontiller::command {

namespace {

void printJson(const std::string& file, const document::Faults& faults)
{
    const nlohmann::ordered_json report { { "file", file }, { "faults", document::toJson(faults) } };
    std::cout << report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

void printText(const std::string& file, const document::Faults& faults)
{
    for (const auto& fault : faults)
        std::cout << document::format(fault, file) << '\n';
    if (faults.empty())
        std::cout << file << ": no faults\n";
    else
        std::cout << file << ": " << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
}

} // namespace

int runCheck(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller check", "List every fault of a document or settings file (- for stdin)");
    options.add_options()("file", "File to check", cxxopts::value<std::string>())(
        "settings", "The file contains the settings of a node instead of a document")(
        "gateway", "The file contains the settings of a gateway process")("json", "Print the faults as JSON");
    options.parse_positional("file");
    options.positional_help("FILE");
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    if (parsed.count("file") != 1)
        return usageError(options, "exactly one FILE is required");
    const auto file = parsed["file"].as<std::string>();
    const auto text = readFile(file, document::maxTextBytes);
    if (!text) {
        std::cerr << "lagoontiller check: " << text.error().message << '\n';
        return ExitStatus::Unavailable;
    }
    const auto faults = parsed.count("gateway") > 0 ? settings::parseGateway(*text).faults
        : parsed.count("settings") > 0              ? settings::parse(*text).faults
                                                    : document::check(*text);
    if (parsed.count("json") > 0)
        printJson(file, faults);
    else
        printText(file, faults);
    return faults.empty() ? ExitStatus::Success : ExitStatus::FaultsFound;
}

} // namespace lagoontiller::command
