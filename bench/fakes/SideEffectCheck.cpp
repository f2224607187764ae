#include "bench/fakes/SideEffectCheck.h"

namespace lagoontiller::fakes {

std::string checkSideEffect(CallKnowledge knowledge, bool repeatable, bool refusalStated, std::uint64_t executions)
{
    if (knowledge == CallKnowledge::RefusedNotRun && executions > 0 && !repeatable)
        return "fault: refused as not run, but ran";
    if (refusalStated)
        return executions == 0 ? "not run" : "fault: ran in spite of the stated refusal";
    if (executions == 1)
        return "once";
    if (executions > 1)
        return repeatable ? "repeated" : "fault: ran " + std::to_string(executions) + " times";
    switch (knowledge) {
    case CallKnowledge::Answered:
        return "fault: answered, but never ran";
    case CallKnowledge::MayHaveRun:
        return "unknown";
    case CallKnowledge::RefusedNotRun:
    case CallKnowledge::Lost:
        return "fault: never ran";
    }
    return "";
}

} // namespace lagoontiller::fakes
