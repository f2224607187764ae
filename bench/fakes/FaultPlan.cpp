#include "bench/fakes/FaultPlan.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace lagoontiller::fakes {

namespace {

constexpr core::Duration defaultDownTime = std::chrono::seconds(3);

const std::map<std::string, FaultKind>& kinds()
{
    static const std::map<std::string, FaultKind> table { { "down", FaultKind::Down }, { "slow", FaultKind::Slow },
        { "lose_reply", FaultKind::LoseReply }, { "hang", FaultKind::Hang }, { "crash_on", FaultKind::CrashOn },
        { "silent", FaultKind::Silent } };
    return table;
}

core::Duration milliseconds(const nlohmann::json& value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(value.get<double>()));
}

bool matches(const Fault& fault, const std::string& method, const std::string& path, const std::string& body)
{
    if (!path.starts_with(fault.path))
        return false;
    switch (fault.kind) {
    case FaultKind::LoseReply:
        return method != "GET";
    case FaultKind::CrashOn:
        return body.find(fault.text) != std::string::npos;
    case FaultKind::Slow:
    case FaultKind::Hang:
        return true;
    case FaultKind::Down:
    case FaultKind::Silent:
        return false;
    }
    return false;
}

void apply(const Fault& fault, FaultDecision& decision)
{
    using Action = FaultDecision::Action;
    switch (fault.kind) {
    case FaultKind::Slow:
        decision.delay += fault.delay;
        break;
    case FaultKind::LoseReply:
        decision.action = std::max(decision.action, Action::LoseReply);
        break;
    case FaultKind::Hang:
        decision.action = decision.action == Action::Crash ? Action::Crash : Action::Hang;
        break;
    case FaultKind::CrashOn:
        decision.action = Action::Crash;
        decision.downTime = fault.duration.value_or(defaultDownTime);
        break;
    case FaultKind::Down:
    case FaultKind::Silent:
        break;
    }
}

} // namespace

std::string name(FaultKind kind)
{
    const auto found
        = std::find_if(kinds().begin(), kinds().end(), [kind](const auto& entry) { return entry.second == kind; });
    return found == kinds().end() ? "" : found->first;
}

core::Expected<std::optional<Fault>> parseFault(const nlohmann::json& body)
{
    const auto name = body.value("fault", "");
    if (name == "none")
        return std::nullopt;
    const auto kind = kinds().find(name);
    if (kind == kinds().end())
        return core::failure(core::ResultCode::InvalidField,
            "fault is one of down, slow, lose_reply, hang, crash_on, "
            "silent, none");
    Fault fault;
    fault.kind = kind->second;
    if (body.contains("count"))
        fault.count = body["count"].get<std::uint64_t>();
    if (body.contains("ms"))
        fault.duration = milliseconds(body["ms"]);
    if (body.contains("delay_ms"))
        fault.delay = milliseconds(body["delay_ms"]);
    fault.factor = body.value("factor", 1.0);
    fault.text = body.value("text", "");
    fault.path = body.value("path", "");
    if (fault.kind == FaultKind::CrashOn && fault.text.empty())
        return core::failure(core::ResultCode::MissingField, "crash_on needs text");
    if (fault.kind == FaultKind::Down && !fault.duration)
        fault.duration = defaultDownTime;
    return fault;
}

void FaultPlan::set(const Fault& fault, core::TimePoint now)
{
    std::erase_if(this->active,
        [&fault](const Active& entry) { return entry.fault.kind == fault.kind && entry.fault.path == fault.path; });
    Active entry { fault, std::nullopt };
    if (fault.duration && fault.kind != FaultKind::CrashOn)
        entry.until = now + *fault.duration;
    this->active.push_back(std::move(entry));
}

FaultDecision FaultPlan::decide(
    const std::string& method, const std::string& path, const std::string& body, core::TimePoint now)
{
    this->expire(now);
    FaultDecision decision;
    for (auto& entry : this->active) {
        if (!matches(entry.fault, method, path, body))
            continue;
        apply(entry.fault, decision);
        if (entry.fault.count)
            --*entry.fault.count;
    }
    std::erase_if(this->active, [](const Active& entry) { return entry.fault.count == 0U; });
    return decision;
}

double FaultPlan::slowness(core::TimePoint now) const
{
    double factor = 1;
    for (const auto& entry : this->active) {
        if (entry.fault.kind == FaultKind::Slow && (!entry.until || now < *entry.until))
            factor *= entry.fault.factor;
    }
    return factor;
}

void FaultPlan::expire(core::TimePoint now)
{
    std::erase_if(this->active,
        [now](const Active& entry) { return (entry.until && *entry.until <= now) || entry.fault.count == 0U; });
}

} // namespace lagoontiller::fakes
