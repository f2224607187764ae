#include "command/HistoryCommand.h"

#include "command/NodeQuery.h"
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
    cxxopts::Options options("lagoontiller history", "List the accepted versions with their changes");
    return runNodeQuery(options, argc, argv, "/v1/history",
        [](const nlohmann::json& body) { printVersions(body.value("versions", nlohmann::json::array())); });
}

} // namespace lagoontiller::command
