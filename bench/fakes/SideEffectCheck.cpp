#include "bench/fakes/SideEffectCheck.h"

namespace lagoontiller::fakes {

std::string checkSideEffect(CallerResult callerResult, bool repeatable, bool refusalStated, std::uint64_t executions)
{
    if (callerResult == CallerResult::RefusedNotRun && executions > 0 && !repeatable)
        return "fault: refused as not run, but ran";
    if (refusalStated)
        return executions == 0 ? "not run" : "fault: ran in spite of the stated refusal";
    if (executions == 1)
        return "once";
    if (executions > 1)
        return repeatable ? "repeated" : "fault: ran " + std::to_string(executions) + " times";
    switch (callerResult) {
    case CallerResult::Answered:
        return "fault: answered, but never ran";
    case CallerResult::MayHaveRun:
        return "unknown";
    case CallerResult::RefusedNotRun:
    case CallerResult::Lost:
        return "fault: never ran";
    }
    return "";
}

} // namespace lagoontiller::fakes
