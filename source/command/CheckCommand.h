#pragma once

namespace lagoontiller::command {

/// \brief `check FILE [--settings] [--json]`: lists every fault of a document or settings file.
///
/// Exit status: 0 no fault, 1 usage, 2 faults, 4 file unreadable.
int runCheck(int argc, const char* const* argv);

} // namespace lagoontiller::command
