#include "control/Call.h"

namespace lagoontiller::control {

std::string_view name(CallPhase phase) noexcept
{
    switch (phase) {
    case CallPhase::AwaitsPartition:
        return "awaits partition";
    case CallPhase::Forwarded:
        return "forwarded";
    case CallPhase::AwaitsTurn:
        return "awaits turn";
    case CallPhase::Queued:
        return "queued";
    case CallPhase::AwaitsRecords:
        return "awaits records";
    case CallPhase::Running:
        return "running";
    case CallPhase::Joined:
        return "joined";
    case CallPhase::Recording:
        return "recording";
    }
    return "unknown";
}

Call& CallTable::add(Call call)
{
    const auto id = call.id;
    return this->calls.insert_or_assign(id, std::move(call)).first->second;
}

Call* CallTable::find(CallId id)
{
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : &found->second;
}

Call* CallTable::findByAttempt(AttemptId attempt)
{
    const auto found = this->callByAttempt.find(attempt);
    return found == this->callByAttempt.end() ? nullptr : this->find(found->second);
}

void CallTable::setAttempt(Call& call, AttemptId attempt)
{
    this->callByAttempt.erase(call.attempt);
    call.attempt = attempt;
    if (attempt != 0)
        this->callByAttempt.emplace(attempt, call.id);
}

void CallTable::erase(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    this->callByAttempt.erase(found->second.attempt);
    this->calls.erase(found);
}

bool CallTable::hasLocalCalls(core::PartitionId partition) const
{
    for (const auto& [id, call] : this->calls) {
        if (call.partition == partition && call.phase != CallPhase::Forwarded
            && call.phase != CallPhase::AwaitsPartition)
            return true;
    }
    return false;
}

} // namespace lagoontiller::control
