#pragma once

namespace lagoontiller::command {

/// \brief `serve --settings FILE`: runs one node until SIGTERM and the drain that follows.
///
/// Exit status: 0, 1 usage error, 2 faults in the settings, 4 file unreadable or node failed.
int runServe(int argc, const char* const* argv);

} // namespace lagoontiller::command
