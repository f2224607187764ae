#pragma once

#include "standins/ReplayProgram.h"

#include <iosfwd>
#include <map>

namespace lagoontiller::standins {

/// \brief Executions per idempotency key over all ledgers.
using Executions = std::map<std::string, std::uint64_t>;

/// \brief Checks the side effects of all programs and prints the table, or one JSON object; returns whether every
/// expected outcome holds.
///
/// With `allowUnknown` a call that was reported as "may have run" and did not run is accepted (replays under faults).
/// Without ledgers the side effects are not checked.
[[nodiscard]] bool report(const std::vector<ProgramResult>& results, const std::optional<Executions>& executions,
    bool allowUnknown, bool asJson, std::ostream& output);

} // namespace lagoontiller::standins
