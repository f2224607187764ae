#pragma once

namespace lagoontiller::command {

/// \brief `show`: prints the document in force on a node.
///
/// Exit status: 0, 1 usage error or rejected request, 4 key file unreadable or node unavailable.
[[nodiscard]] int runShow(int argc, const char* const* argv);

} // namespace lagoontiller::command
