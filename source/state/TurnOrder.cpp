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
        last = program->lastContiguousTurn();
        const auto found = program->turns.find(request.turn);
        if (found != program->turns.end()) {
            return found->second.digest == request.digest ? TurnDecision(ReplayTurn { found->second })
                                                          : TurnDecision(conflict());
        }
        if (program->ended) {
            return RefuseTurn { core::Error(core::ResultCode::ProgramEnded, "the program has ended") };
        }
    }
    auto& turns = this->programs[request.program];
    return request.turn == last + 1 ? this->decideDue(turns, request) : this->decideEarly(turns, request, now);
}

TurnDecision TurnOrder::decideDue(ProgramTurns& turns, const TurnRequest& request)
{
    if (turns.runningTurn == request.turn) {
        return turns.digest == request.digest ? TurnDecision(JoinTurn { turns.requestId }) : TurnDecision(conflict());
    }
    turns.attempt = turns.attemptTurn == request.turn ? turns.attempt + 1 : 1;
    turns.attemptTurn = request.turn;
    turns.runningTurn = request.turn;
    turns.digest = request.digest;
    turns.requestId = request.requestId;
    return RunTurn { turns.attempt };
}

TurnDecision TurnOrder::decideEarly(ProgramTurns& turns, const TurnRequest& request, core::TimePoint now)
{
    const bool isFull = turns.waiting.size() >= this->settings.maxWaitingPerProgram
        || this->waitingTurnCount >= this->settings.maxWaitingTurns;
    if (isFull) {
        return RefuseTurn { outOfOrder() };
    }
    const auto deadline = now + this->settings.maxWait;
    turns.waiting.push_back({ request, deadline });
    this->deadlines.emplace_back(deadline, request.program);
    this->waitingTurnCount += 1;
    return WaitTurn { deadline };
}

std::uint32_t TurnOrder::startAttempt(const core::ProgramKey& program, std::uint32_t turn)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end() || turn == 0 || found->second.runningTurn != turn) {
        return 0;
    }
    found->second.attempt += 1;
    return found->second.attempt;
}

bool TurnOrder::isCurrentAttempt(
    const core::ProgramKey& program, std::uint32_t turn, std::uint32_t attempt, const std::string& requestId) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end() || turn == 0) {
        return false;
    }
    const auto& turns = found->second;
    return turns.runningTurn == turn && turns.attempt == attempt && turns.requestId == requestId;
}

std::vector<TurnEvent> TurnOrder::onAnswered(const core::ProgramKey& program, std::uint32_t turn)
{
    std::vector<TurnEvent> events;
    const auto found = this->programs.find(program);
    if (found == this->programs.end()) {
        return events;
    }
    auto& turns = found->second;
    if (turns.runningTurn == turn) {
        turns.runningTurn = 0;
    }
    // The next turn is due. So are repeated requests for this turn or an earlier one, whose answers are stored.
    const auto isDue = [turn](const WaitingTurn& waiting) { return waiting.request.turn <= turn + 1; };
    for (const auto& waiting : turns.waiting) {
        if (isDue(waiting)) {
            events.emplace_back(TurnReady { waiting.request });
        }
    }
    this->waitingTurnCount -= std::erase_if(turns.waiting, isDue);
    if (turns.runningTurn == 0 && turns.waiting.empty()) {
        this->programs.erase(found);
    }
    return events;
}

void TurnOrder::onFailed(const core::ProgramKey& program, std::uint32_t turn)
{
    const auto found = this->programs.find(program);
    if (found != this->programs.end() && found->second.runningTurn == turn) {
        found->second.runningTurn = 0;
    }
}

std::vector<TurnEvent> TurnOrder::tick(core::TimePoint now)
{
    std::vector<TurnEvent> events;
    const auto isExpired = [now](const WaitingTurn& waiting) { return waiting.deadline <= now; };
    while (!this->deadlines.empty() && this->deadlines.front().first <= now) {
        const auto found = this->programs.find(this->deadlines.front().second);
        this->deadlines.pop_front();
        if (found == this->programs.end()) {
            continue;
        }
        auto& turns = found->second;
        for (const auto& waiting : turns.waiting) {
            if (isExpired(waiting)) {
                events.emplace_back(TurnTimedOut { waiting.request, outOfOrder() });
            }
        }
        this->waitingTurnCount -= std::erase_if(turns.waiting, isExpired);
        if (turns.runningTurn == 0 && turns.attemptTurn == 0 && turns.waiting.empty()) {
            this->programs.erase(found);
        }
    }
    return events;
}

void TurnOrder::cancelWait(const TurnRequest& request)
{
    const auto found = this->programs.find(request.program);
    if (found != this->programs.end()) {
        const auto matches = [&request](const WaitingTurn& waiting) { return waiting.request == request; };
        this->waitingTurnCount -= std::erase_if(found->second.waiting, matches);
    }
}

std::vector<TurnEvent> TurnOrder::removeProgram(const core::ProgramKey& program, const core::Error& error)
{
    std::vector<TurnEvent> events;
    const auto found = this->programs.find(program);
    if (found == this->programs.end()) {
        return events;
    }
    for (const auto& waiting : found->second.waiting) {
        events.emplace_back(TurnTimedOut { waiting.request, error });
    }
    this->waitingTurnCount -= found->second.waiting.size();
    this->programs.erase(found);
    return events;
}

} // namespace lagoontiller::state
