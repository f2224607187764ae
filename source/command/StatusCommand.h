#pragma once

namespace lagoontiller::command {

/// \brief Shows what one node knows of nodes, endpoints, programs and refusals. Returns the exit status.
[[nodiscard]] int runStatus(int argc, const char* const* argv);

} // namespace lagoontiller::command
