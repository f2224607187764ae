#pragma once

namespace lagoontiller::command {

/// \brief `check FILE [--settings | --gateway] [--json]`: lists every fault of a document or settings file, or the
/// first one of a configuration of the platform, which begins with a brace. The output contains no value of a
/// configuration.
///
/// Exit status: 0 no faults, 1 usage error, 2 faults, 4 file unreadable.
int runCheck(int argc, const char* const* argv);

} // namespace lagoontiller::command
