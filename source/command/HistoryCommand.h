#pragma once

namespace lagoontiller::command {

/// \brief Lists the accepted versions with their differences. Returns the exit status.
[[nodiscard]] int runHistory(int argc, const char* const* argv);

} // namespace lagoontiller::command
