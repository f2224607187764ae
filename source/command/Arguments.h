#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <variant>

namespace lagoontiller::command {

/// \brief Parses the arguments of a sub-command. Adds the option `--help`, which also prints `furtherHelp`.
///
/// Returns the exit status instead of a result if the help was printed, or if an argument is unknown or malformed,
/// which is reported to standard error.
[[nodiscard]] std::variant<cxxopts::ParseResult, int> parseArguments(
    cxxopts::Options& options, int argc, const char* const* argv, std::string_view furtherHelp = {});

/// \brief Writes a usage error and a hint at `--help` to standard error. Returns ExitStatus::Usage.
[[nodiscard]] int usageError(const cxxopts::Options& options, const std::string& message);

} // namespace lagoontiller::command
