#pragma once

namespace lagoontiller::command {

/// \brief Exit statuses that all sub-commands share.
enum ExitStatus : int {
    Success = 0,
    /// \brief Invalid arguments, or a request that the node rejects with an HTTP status below 500.
    Usage = 1,
    /// \brief Faults in a document or settings file; `explain`: no log line has the request id; `route`: the
    /// configuration has no route for the request.
    FaultsFound = 2,
    /// \brief Another version of the document was accepted after the base version.
    Conflict = 3,
    /// \brief A file is unreadable, or a node failed, could not be reached or gave no usable response.
    Unavailable = 4,
};

} // namespace lagoontiller::command
