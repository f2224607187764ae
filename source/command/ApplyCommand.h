#pragma once

namespace lagoontiller::command {

/// \brief `apply FILE --base VERSION --author NAME`: validates a document and submits it to a node as the next version.
///
/// Exit status: 0 accepted, 1 usage error or rejected request, 2 faults in the document, 3 another version was accepted
/// after the base version, 4 file unreadable, node unavailable or outcome unknown.
[[nodiscard]] int runApply(int argc, const char* const* argv);

} // namespace lagoontiller::command
