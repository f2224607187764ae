#include "state/TurnOrder.h"

#include <algorithm>

namespace lagoontiller::state {

namespace {

core::Error outOfOrder()
{
    return { core::ResultCode::TurnOutOfOrder, "an earlier turn of the program is not answered" };
}

RefuseTurn conflict()
{
    return { core::Error(core::ResultCode::TurnConflict, "another request has this turn number") };
}

} // namespace

TurnDecision TurnOrder::decide(const TurnRequest& request, const ProgramState* program, core::TimePoint now)
{
    if (request.turn == 0) {
        return RefuseTurn { core::Error(core::ResultCode::InvalidField, "turn numbers start at 1") };
    }
    std::uint32_t last = 0;
    if (program != nullptr) {
        last = program->lastTurn();
        const auto found = program->turns.find(request.turn);
        if (found != program->turns.end()) {
            return found->second.digest == request.digest ? TurnDecision(ReplayTurn { found->second })
                                                          : TurnDecision(conflict());
        }
        if (program->ended) {
            return RefuseTurn { core::Error(core::ResultCode::ProgramEnded, "the program has ended") };
        }
    }
    auto& line = this->lines[request.program];
    return request.turn == last + 1 ? this->decideDue(line, request) : this->decideEarly(line, request, now);
}

TurnDecision TurnOrder::decideDue(Line& line, const TurnRequest& request)
{
    if (line.runningTurn == request.turn) {
        return line.digest == request.digest ? TurnDecision(JoinTurn { line.requestId }) : TurnDecision(conflict());
    }
    line.attempt = line.attemptOf == request.turn ? line.attempt + 1 : 1;
    line.attemptOf = request.turn;
    line.runningTurn = request.turn;
    line.digest = request.digest;
    line.requestId = request.requestId;
    return RunTurn { line.attempt };
}

TurnDecision TurnOrder::decideEarly(Line& line, const TurnRequest& request, core::TimePoint now)
{
    const bool full
        = line.waiting.size() >= this->settings.waitingPerProgram || this->waitingTurns >= this->settings.waitingInAll;
    if (full) {
        return RefuseTurn { outOfOrder() };
    }
    const auto until = now + this->settings.longestWait;
    line.waiting.push_back({ request, until });
    this->deadlines.emplace_back(until, request.program);
    this->waitingTurns += 1;
    return WaitTurn { until };
}

std::uint32_t TurnOrder::nextAttempt(const core::ProgramKey& program, std::uint32_t turn)
{
    const auto found = this->lines.find(program);
    if (found == this->lines.end() || turn == 0 || found->second.runningTurn != turn) {
        return 0;
    }
    found->second.attempt += 1;
    return found->second.attempt;
}

bool TurnOrder::accepts(
    const core::ProgramKey& program, std::uint32_t turn, std::uint32_t attempt, const std::string& requestId) const
{
    const auto found = this->lines.find(program);
    if (found == this->lines.end() || turn == 0) {
        return false;
    }
    const auto& line = found->second;
    return line.runningTurn == turn && line.attempt == attempt && line.requestId == requestId;
}

std::vector<TurnEvent> TurnOrder::onAnswered(const core::ProgramKey& program, std::uint32_t turn)
{
    std::vector<TurnEvent> events;
    const auto found = this->lines.find(program);
    if (found == this->lines.end()) {
        return events;
    }
    auto& line = found->second;
    if (line.runningTurn == turn) {
        line.runningTurn = 0;
    }
    // Turns at or before the next one are due: equal requests wait no longer either.
    const auto isDue = [turn](const Waiting& waiting) { return waiting.request.turn <= turn + 1; };
    for (const auto& waiting : line.waiting) {
        if (isDue(waiting)) {
            events.emplace_back(TurnReady { waiting.request });
        }
    }
    this->waitingTurns -= std::erase_if(line.waiting, isDue);
    if (line.runningTurn == 0 && line.waiting.empty()) {
        this->lines.erase(found);
    }
    return events;
}

void TurnOrder::onFailed(const core::ProgramKey& program, std::uint32_t turn)
{
    const auto found = this->lines.find(program);
    if (found != this->lines.end() && found->second.runningTurn == turn) {
        found->second.runningTurn = 0;
    }
}

std::vector<TurnEvent> TurnOrder::tick(core::TimePoint now)
{
    std::vector<TurnEvent> events;
    const auto isOver = [now](const Waiting& waiting) { return waiting.until <= now; };
    while (!this->deadlines.empty() && this->deadlines.front().first <= now) {
        const auto found = this->lines.find(this->deadlines.front().second);
        this->deadlines.pop_front();
        if (found == this->lines.end()) {
            continue;
        }
        auto& line = found->second;
        for (const auto& waiting : line.waiting) {
            if (isOver(waiting)) {
                events.emplace_back(TurnTimedOut { waiting.request, outOfOrder() });
            }
        }
        this->waitingTurns -= std::erase_if(line.waiting, isOver);
        if (line.runningTurn == 0 && line.attemptOf == 0 && line.waiting.empty()) {
            this->lines.erase(found);
        }
    }
    return events;
}

void TurnOrder::cancelWait(const TurnRequest& request)
{
    const auto found = this->lines.find(request.program);
    if (found != this->lines.end()) {
        const auto matches = [&request](const Waiting& waiting) { return waiting.request == request; };
        this->waitingTurns -= std::erase_if(found->second.waiting, matches);
    }
}

std::vector<TurnEvent> TurnOrder::forget(const core::ProgramKey& program, const core::Error& error)
{
    std::vector<TurnEvent> events;
    const auto found = this->lines.find(program);
    if (found == this->lines.end()) {
        return events;
    }
    for (const auto& waiting : found->second.waiting) {
        events.emplace_back(TurnTimedOut { waiting.request, error });
    }
    this->waitingTurns -= found->second.waiting.size();
    this->lines.erase(found);
    return events;
}

} // namespace lagoontiller::state
