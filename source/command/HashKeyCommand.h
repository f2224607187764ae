#pragma once

namespace lagoontiller::command {

/// \brief `hash-key [--customer NAME] [--stdin] [--deployment]`: prints the salt and hash lines of a key.
///
/// Makes a new key and writes it to standard error, or reads a key from standard input. Exit status: 0, or 1 for usage.
int runHashKey(int argc, const char* const* argv);

} // namespace lagoontiller::command
