#pragma once

#include "command/NodeClient.h"

#include <functional>

namespace lagoontiller::command {

/// \brief Prints the body of a node's answer for people to read.
using ResponsePrinter = std::function<void(const nlohmann::json& body)>;

/// \brief Runs a sub-command that asks a node for one page, and prints it with `print`, or as it is with `--json`.
/// Returns the exit status.
[[nodiscard]] int runNodeQuery(cxxopts::Options& options, int argc, const char* const* argv, const std::string& path,
    const ResponsePrinter& print);

} // namespace lagoontiller::command
