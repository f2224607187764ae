#pragma once

namespace lagoontiller::command {

/// \brief `status`: prints nodes, endpoints, programs and refusals as known to one node.
///
/// Exit status: 0, 1 usage error or rejected request, 4 key file unreadable or node unavailable.
[[nodiscard]] int runStatus(int argc, const char* const* argv);

} // namespace lagoontiller::command
