#include "command/ShowCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "command/NodeClient.h"

#include <iostream>

namespace lagoontiller::command {

int runShow(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller show", "Print the document in force; its version goes to standard error");
    addNodeOptions(options);
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const auto access = nodeAccess(parsed);
    if (!access)
        return reportError(options, access.error());
    const auto answer = NodeClient(access->address, access->key).get("/v1/document");
    if (!answer)
        return reportError(options, answer.error());
    if (answer->status != 200)
        return reportRefusal(options, *answer);
    if (parsed.count("json") > 0) {
        printJson(answer->body);
        return ExitStatus::Success;
    }
    // Standard output holds only the document, so that it can be edited and applied again.
    std::cerr << "version " << answer->body.value("version", 0) << '\n';
    std::cout << textField(answer->body, "text");
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
