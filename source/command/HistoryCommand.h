#pragma once

namespace lagoontiller::command {

/// \brief `history`: lists the accepted versions of the document with their changes.
///
/// Exit status: 0, 1 usage error or rejected request, 4 key file unreadable or node unavailable.
[[nodiscard]] int runHistory(int argc, const char* const* argv);

} // namespace lagoontiller::command
