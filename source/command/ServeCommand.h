#pragma once

namespace lagoontiller::command {

/// \brief `serve --settings FILE`: runs one node until SIGTERM has been handled gracefully.
int runServe(int argc, const char* const* argv);

} // namespace lagoontiller::command
