#pragma once

namespace lagoontiller::command {

/// \brief Runs the sub-command `route`: asks a running gateway where a request would be routed now, and why, without
/// sending it. Returns the exit status.
[[nodiscard]] int runRoute(int argc, const char* const* argv);

} // namespace lagoontiller::command
