#pragma once

namespace lagoontiller::command {

/// \brief Exit status of every sub-command.
enum ExitStatus : int {
    Success = 0,
    Usage = 1,
    FaultsFound = 2,
    Conflict = 3,
    Unavailable = 4,
};

} // namespace lagoontiller::command
