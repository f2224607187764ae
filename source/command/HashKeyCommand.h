#pragma once

namespace lagoontiller::command {

/// \brief `hash-key [--customer NAME] [--stdin] [--deployment]`: prints the salt and hash of a key as INI lines.
///
/// Generates a key and writes it to standard error, or reads one from standard input. With `--deployment`, prints a new
/// CURVE key pair instead. Exit status: 0, 1 usage error, 4 no CURVE support.
int runHashKey(int argc, const char* const* argv);

} // namespace lagoontiller::command
