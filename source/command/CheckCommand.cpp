#include "command/CheckCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/ReadFile.h"
#include "document/Check.h"
#include "document/FaultJson.h"
#include "document/IniText.h"
#include "platform/Records.h"
#include "settings/GatewaySettings.h"
#include "settings/Settings.h"

#include <algorithm>
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

/// \brief Whether the text is JSON: INI texts never begin with a brace.
bool isJson(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

/// \brief Fault at the first byte that is not JSON. The parser's own text is left out: it quotes the input, which may
/// contain a key.
document::Fault syntaxFault(std::string_view text)
{
    document::Fault fault { 1, 1, {}, {}, "not a JSON document", {}, {} };
    try {
        (void)nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& error) {
        const auto before = text.substr(0, std::min(error.byte > 0 ? error.byte - 1 : 0, text.size()));
        const auto lineStart = before.rfind('\n') + 1;
        const auto isFirstByte = [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) != 0x80U; };
        fault.line += static_cast<int>(std::count(before.begin(), before.end(), '\n'));
        fault.column += static_cast<int>(
            std::count_if(before.begin() + static_cast<std::ptrdiff_t>(lineStart), before.end(), isFirstByte));
    }
    return fault;
}

/// \brief The first fault of a configuration of the platform. Only the field is named, never its value.
document::Faults checkConfiguration(std::string_view text)
{
    if (!nlohmann::json::accept(text))
        return { syntaxFault(text) };
    const auto configuration = platform::decodeConfiguration(text);
    if (configuration)
        return {};
    return { { 1, 1, {}, configuration.error(), "missing, of a wrong type, or with an invalid value", {}, {} } };
}

} // namespace

int runCheck(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller check",
        "List every fault of a document or settings file, or the first one of a platform's configuration in JSON (- "
        "for stdin)");
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
        : isJson(*text)                             ? checkConfiguration(*text)
                                                    : document::check(*text);
    if (parsed.count("json") > 0)
        printJson(file, faults);
    else
        printText(file, faults);
    return faults.empty() ? ExitStatus::Success : ExitStatus::FaultsFound;
}

} // namespace lagoontiller::command
