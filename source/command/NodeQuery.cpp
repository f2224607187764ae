#include "command/NodeQuery.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"

namespace lagoontiller::command {

int runNodeQuery(
    cxxopts::Options& options, int argc, const char* const* argv, const std::string& path, const ResponsePrinter& print)
{
    addNodeOptions(options);
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const auto access = parseNodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    const auto response = NodeClient(access->address, access->key).get(path);
    if (!response)
        return reportError(options, response.error());
    if (response->status != 200)
        return reportErrorResponse(options, *response);
    if (parsed.count("json") > 0)
        printJson(response->body);
    else
        print(response->body);
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
