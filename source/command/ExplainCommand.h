#pragma once

namespace lagoontiller::command {

/// \brief `explain ID FILE...`: prints the log lines of one request from the logs of several nodes, ordered by time.
///
/// Adds events of the same nodes that may have affected the request, such as an outage of the store. Exit status: 0, 1
/// usage error, 2 no line has the request id, 4 file unreadable.
int runExplain(int argc, const char* const* argv);

} // namespace lagoontiller::command
