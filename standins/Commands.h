#pragma once

namespace lagoontiller::standins {

/// \brief The commands of the program. Each gets the arguments from its own name on and returns the exit status:
/// 0 success, 1 usage or an expected outcome that does not hold, 4 an address or file that is unavailable.
[[nodiscard]] int runStandins(int argc, char** argv);
/// \brief Prints a trace with the expected texts added.
[[nodiscard]] int writeExpectedTexts(int argc, char** argv);
[[nodiscard]] int replayTrace(int argc, char** argv);
[[nodiscard]] int generateLoad(int argc, char** argv);

} // namespace lagoontiller::standins
