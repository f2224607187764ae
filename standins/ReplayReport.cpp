#include "standins/ReplayReport.h"

#include "bench/fakes/SideEffectCheck.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace lagoontiller::standins {

namespace {

using nlohmann::json;

fakes::CallerResult callerResult(CallerOutcome::Kind kind)
{
    switch (kind) {
    case CallerOutcome::Kind::Answered:
        return fakes::CallerResult::Answered;
    case CallerOutcome::Kind::Refused:
        return fakes::CallerResult::RefusedNotRun;
    case CallerOutcome::Kind::MayHaveRun:
        return fakes::CallerResult::MayHaveRun;
    case CallerOutcome::Kind::Lost:
        return fakes::CallerResult::Lost;
    }
    return fakes::CallerResult::Lost;
}

struct CheckedCall {
    ReplayedCall call;
    std::uint64_t executions = 0;
    std::string check;
    bool holds = true;
};

CheckedCall checkCall(const ReplayedCall& call, const std::optional<Executions>& executions, bool allowUnknown)
{
    if (!executions)
        return { call, 0, "not checked", true };
    const auto found = executions->find(call.key);
    const auto count = found == executions->end() ? 0 : found->second;
    auto check = fakes::checkSideEffect(callerResult(call.kind), call.repeatable, !call.expectedRefusal.empty(), count);
    const bool holds = !check.starts_with("fault") && (check != "unknown" || allowUnknown);
    return { call, count, std::move(check), holds };
}

json programJson(const ProgramResult& result, const std::vector<CheckedCall>& calls, bool holds)
{
    auto list = json::array();
    for (const auto& checked : calls)
        list.push_back(
            { { "key", checked.call.key }, { "path", checked.call.path }, { "repeatable", checked.call.repeatable },
                { "executions", checked.executions }, { "check", checked.check } });
    return { { "program", result.name }, { "customer", result.customer }, { "outcome", holds ? "ok" : "failed" },
        { "latency_ms", result.latencyMs }, { "turns", result.turns }, { "retries", result.retries },
        { "prompt_tokens_cached", result.cachedTokens },
        { "prompt_tokens_recomputed", result.promptTokens - result.cachedTokens },
        { "pending_commits", result.pendingCommits }, { "refusals", result.refusals }, { "calls", list },
        { "faults", result.faults } };
}

void printHead(std::ostream& output)
{
    output << std::left << std::setw(40) << "program" << std::setw(8) << "outcome" << std::right << std::setw(11)
           << "latency_ms" << std::setw(7) << "turns" << std::setw(9) << "retries" << std::setw(8) << "cached"
           << std::setw(12) << "recomputed" << std::setw(7) << "calls" << '\n';
}

void printProgram(const ProgramResult& result, const std::vector<CheckedCall>& calls, bool holds, std::ostream& output)
{
    output << std::left << std::setw(40) << result.name << std::setw(8) << (holds ? "ok" : "failed") << std::right
           << std::setw(11) << result.latencyMs << std::setw(7) << result.turns << std::setw(9) << result.retries
           << std::setw(8) << result.cachedTokens << std::setw(12) << result.promptTokens - result.cachedTokens
           << std::setw(7) << calls.size() << '\n';
    for (const auto& checked : calls)
        output << "    " << checked.call.path << " key=" << checked.call.key << " executions=" << checked.executions
               << " check=" << checked.check << '\n';
    for (const auto& fault : result.faults)
        output << "    fault: " << fault << '\n';
}

} // namespace

bool report(const std::vector<ProgramResult>& results, const std::optional<Executions>& executions, bool allowUnknown,
    bool asJson, std::ostream& output)
{
    auto programs = json::array();
    std::size_t failed = 0;
    std::uint64_t cached = 0;
    std::uint64_t prompt = 0;
    if (!asJson)
        printHead(output);
    for (const auto& result : results) {
        std::vector<CheckedCall> calls;
        for (const auto& call : result.calls)
            calls.push_back(checkCall(call, executions, allowUnknown));
        const bool callsHold
            = std::all_of(calls.begin(), calls.end(), [](const CheckedCall& call) { return call.holds; });
        const bool holds = result.faults.empty() && callsHold;
        failed += holds ? 0 : 1;
        cached += result.cachedTokens;
        prompt += result.promptTokens;
        if (asJson)
            programs.push_back(programJson(result, calls, holds));
        else
            printProgram(result, calls, holds, output);
    }
    if (asJson)
        output << json { { "programs", programs }, { "failed", failed },
            { "side_effects_checked", executions.has_value() } }
                      .dump(2)
               << '\n';
    else
        output << "programs=" << results.size() << " failed=" << failed << " prompt_tokens_cached=" << cached
               << " prompt_tokens_recomputed=" << prompt - cached
               << " side_effects_checked=" << (executions ? "true" : "false") << '\n';
    return failed == 0;
}

} // namespace lagoontiller::standins
