#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <variant>

namespace lagoontiller::command {

/// \brief Parses the arguments of a sub-command and handles `--help` and unknown options for it.
///
/// Adds the option `--help`. Returns the exit status when there is nothing left to run.
[[nodiscard]] std::variant<cxxopts::ParseResult, int> parseArguments(
    cxxopts::Options& options, int argc, const char* const* argv);

/// \brief Writes a usage error to standard error and returns the exit status for it.
[[nodiscard]] int usageError(const cxxopts::Options& options, const std::string& message);

} // namespace lagoontiller::command
