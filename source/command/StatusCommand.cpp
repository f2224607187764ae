#include "command/StatusCommand.h"

#include "command/NodeQuery.h"

#include <iostream>

namespace lagoontiller::command {

namespace {

using nlohmann::json;

void printStatus(const json& status)
{
    const auto programs = status.value("programs", json::object());
    std::cout << "node " << textField(status, "node") << (status.value("draining", false) ? " (leaving)" : "")
              << "\ndocument version " << status.value("document_version", 0) << "\ntable service "
              << (status.value("store_available", false) ? "available" : "not available") << "\npartitions "
              << status.value("partitions", 0) << " of " << status.value("all_partitions", 0) << "\nprograms "
              << programs.value("under_way", 0) << "\ncalls " << status.value("calls", 0) << "\nnodes:\n";
    for (const auto& member : status.value("members", json::array())) {
        std::cout << "  " << textField(member, "node") << "  " << textField(member, "region") << "/"
                  << textField(member, "zone") << "  " << textField(member, "caller_address")
                  << (member.value("leaving", false) ? "  leaving" : "  live") << "  document version "
                  << member.value("document_version", 0) << '\n';
    }
    std::cout << "endpoints:\n";
    for (const auto& endpoint : status.value("endpoints", json::array())) {
        const auto reason = textField(endpoint, "reason");
        std::cout << "  " << textField(endpoint, "address") << "  " << textField(endpoint, "service") << "  "
                  << textField(endpoint, "zone") << "  " << textField(endpoint, "state")
                  << (reason.empty() ? "" : " (" + reason + ")") << '\n';
    }
    std::cout << "refused since the start of the node:\n";
    for (const auto& refusal : status.value("refusals", json::array())) {
        std::cout << "  " << textField(refusal, "customer") << "  " << refusal.value("code", 0) << ' '
                  << textField(refusal, "name") << "  " << refusal.value("count", 0) << '\n';
    }
}

} // namespace

int runStatus(int argc, const char* const* argv)
{
    cxxopts::Options options(
        "lagoontiller status", "Show nodes, endpoints, programs and refusals as known to one node");
    return runNodeQuery(options, argc, argv, "/v1/status", printStatus);
}

} // namespace lagoontiller::command
