#include "command/NodeQuery.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"

namespace lagoontiller::command {

int runNodeQuery(
    cxxopts::Options& options, int argc, const char* const* argv, const std::string& path, const AnswerPrinter& print)
{
    addNodeOptions(options);
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const auto access = nodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    const auto answer = NodeClient(access->address, access->key).get(path);
    if (!answer)
        return reportError(options, answer.error());
    if (answer->status != 200)
        return reportRefusal(options, *answer);
    if (parsed.count("json") > 0)
        printJson(answer->body);
    else
        print(answer->body);
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
