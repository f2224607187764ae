#pragma once

namespace lagoontiller::command {

/// \brief Accepts a document file as the next version. Returns the exit status.
[[nodiscard]] int runApply(int argc, const char* const* argv);

} // namespace lagoontiller::command
