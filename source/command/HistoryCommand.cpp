#include "command/HistoryCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/NodeClient.h"
#include "operators/Layout.h"

#include <iostream>

namespace lagoontiller::command {

namespace {

void printVersions(const nlohmann::json& versions)
{
    for (const auto& version : versions) {
        std::cout << "version " << version.value("version", 0) << "  "
                  << operators::formatTime(version.value("unix_ms", std::int64_t(0))) << "  "
                  << textField(version, "author") << "  (from version " << version.value("base", 0) << ")\n";
        for (const auto& change : version.value("difference", nlohmann::json::array()))
            std::cout << "  " << formatChange(change) << '\n';
    }
}

} // namespace

int runHistory(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller history", "List the accepted versions with their differences");
    addNodeOptions(options);
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const auto access = nodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    const auto answer = NodeClient(access->address, access->key).get("/v1/history");
    if (!answer)
        return reportError(options, answer.error());
    if (answer->status != 200)
        return reportRefusal(options, *answer);
    if (parsed.count("json") > 0)
        printJson(answer->body);
    else
        printVersions(answer->body.value("versions", nlohmann::json::array()));
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
