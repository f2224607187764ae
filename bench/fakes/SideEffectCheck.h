#pragma once

#include <cstdint>
#include <string>

namespace lagoontiller::fakes {

/// \brief Final result of a call as seen by its caller.
enum class CallerResult : int {
    Answered,
    RefusedNotRun,
    MayHaveRun,
    Lost,
};

/// \brief Compares the executions of a call in the ledgers with the result that its caller received.
///
/// Returns `once` for one execution, `not run` for an expected refusal without execution, `repeated` for several
/// executions of a repeatable call, and `unknown` for a call without execution that was reported as "may have run".
/// Every other result starts with `fault`.
[[nodiscard]] std::string checkSideEffect(
    CallerResult callerResult, bool repeatable, bool refusalStated, std::uint64_t executions);

} // namespace lagoontiller::fakes
