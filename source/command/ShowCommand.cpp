#include "command/ShowCommand.h"

#include "command/NodeQuery.h"

#include <iostream>

namespace lagoontiller::command {

int runShow(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller show", "Print the document in force; its version goes to standard error");
    return runNodeQuery(options, argc, argv, "/v1/document", [](const nlohmann::json& body) {
        // The version goes to standard error, so that standard output is a document that can be edited and applied.
        std::cerr << "version " << body.value("version", 0) << '\n';
        std::cout << textField(body, "text");
    });
}

} // namespace lagoontiller::command
