#pragma once

namespace lagoontiller::command {

/// \brief `gateway [--settings FILE]`: runs one gateway node until SIGTERM and the drain that follows.
///
/// Without `--settings`, the path is taken from LAGOONTILLER_BOOT. Exit status: 0, 1 usage error, 2 faults in the
/// settings, 4 file unreadable or node failed.
int runGateway(int argc, const char* const* argv);

} // namespace lagoontiller::command
