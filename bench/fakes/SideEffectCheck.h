#pragma once

#include <cstdint>
#include <string>

namespace lagoontiller::fakes {

/// \brief What a caller knows about a call at the end.
enum class CallKnowledge : int {
    Answered,
    RefusedNotRun,
    MayHaveRun,
    Lost,
};

/// \brief Compares the executions of a call in the ledgers with what its caller was told.
///
/// Returns `once` for one execution and `not run` for a stated refusal without one. `repeated` is allowed for a
/// repeatable call. Every other result starts with `fault`, except `unknown` for a call without execution that was
/// reported as "may have run".
[[nodiscard]] std::string checkSideEffect(
    CallKnowledge knowledge, bool repeatable, bool refusalStated, std::uint64_t executions);

} // namespace lagoontiller::fakes
