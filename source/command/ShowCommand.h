#pragma once

namespace lagoontiller::command {

/// \brief Prints the document that a node has in force. Returns the exit status.
[[nodiscard]] int runShow(int argc, const char* const* argv);

} // namespace lagoontiller::command
