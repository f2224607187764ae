#pragma once

#include "command/NodeClient.h"

#include <functional>

namespace lagoontiller::command {

/// \brief Prints the body of a response as text.
using ResponsePrinter = std::function<void(const nlohmann::json& body)>;

/// \brief Runs a sub-command that sends one GET request for `path` to a node. Prints the body with `print`, or as JSON
/// with `--json`. Returns the exit status.
[[nodiscard]] int runNodeQuery(cxxopts::Options& options, int argc, const char* const* argv, const std::string& path,
    const ResponsePrinter& print);

} // namespace lagoontiller::command
