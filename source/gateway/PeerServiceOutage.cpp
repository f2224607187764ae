// Turns that are granted from the outage parts of budgets, and the messages to the holders of these parts.

#include "gateway/PeerService.h"
#include "gateway/impl/BudgetAnswers.h"

namespace lagoontiller::gateway {

std::uint64_t PeerService::grantablePart(const BudgetRequest& request) noexcept
{
    return request.retention <= OutageTokens::memoryTime ? outagePart(request.budget, request.tokens) : 0;
}

bool PeerService::leavesToOutagePart(BudgetAnswer answer, const BudgetRequest& request) noexcept
{
    if (answer == BudgetAnswer::Unavailable)
        return request.mayRunInOutage && request.outagePart > 0;
    return answer == BudgetAnswer::RowsExhausted;
}

void PeerService::rowsAnswered(const std::shared_ptr<ReservationAttempt>& attempt, Reservation reservation)
{
    const bool leaves = leavesToOutagePart(reservation.answer, attempt->request);
    const bool rowsExhausted = reservation.answer == BudgetAnswer::RowsExhausted;
    // Tokens that the holder cannot grant now are not spent.
    if (rowsExhausted)
        reservation.answer = BudgetAnswer::Held;
    if (leaves)
        this->reserveOutagePart(attempt, reservation, rowsExhausted);
    else
        attempt->done(std::move(reservation));
}

std::string PeerService::outageHolderAddress(const std::string& program) const
{
    const auto& holder = this->outageBuckets.holder(program);
    return this->nodeRegistry.peerAddress(holder.substr(0, holder.rfind(':')));
}

BudgetAnswer PeerService::reserveOwnOutagePart(const BudgetRequest& request)
{
    const auto now = core::BootClock::now();
    if (grantablePart(request) == 0
        || !this->outageBuckets.mayGrant(request.program, request.retention + request.hold, now))
        return BudgetAnswer::Unavailable;
    return this->outageTokens.reserve(request.program, request.budget, request.tokens, now);
}

void PeerService::reserveOutagePart(
    const std::shared_ptr<ReservationAttempt>& attempt, const Reservation& refused, bool rowsExhausted)
{
    const auto& request = attempt->request;
    const auto finish
        = [attempt, refused, rowsExhausted](BudgetAnswer answer, const std::string& holder, const std::string& id) {
              auto reservation = refused;
              // A budget is spent only if its rows' part is, too: they may still allot it once the store is back.
              if (answer == BudgetAnswer::Exhausted)
                  reservation.answer = rowsExhausted ? BudgetAnswer::Exhausted : BudgetAnswer::Held;
              else if (answer == BudgetAnswer::Granted)
                  reservation.answer = answer;
              reservation.peer = holder;
              reservation.id = id;
              reservation.outagePart = answer == BudgetAnswer::Granted;
              attempt->done(std::move(reservation));
          };
    if (this->outageBuckets.isHolder(request.program)) {
        finish(this->reserveOwnOutagePart(request), {}, {});
        return;
    }
    const auto holder = this->outageHolderAddress(request.program);
    if (holder.empty() || this->client.isSuspected(holder, core::monotonicNow())) {
        finish(BudgetAnswer::Unavailable, {}, {});
        return;
    }
    const auto id = this->incarnation + "." + std::to_string(++this->lastReservationId);
    wire::PeerRequest message;
    auto* const reserve = message.mutable_reserve();
    reserve->set_program(request.program);
    reserve->set_budget(request.budget);
    reserve->set_tokens(request.tokens);
    reserve->set_retention_ms(static_cast<std::uint64_t>(request.retention.count() / 1'000));
    reserve->set_hold_ms(static_cast<std::uint64_t>(request.hold.count() / 1'000));
    reserve->set_reservation(id);
    reserve->set_outage_part(true);
    this->client.send(holder, message, [this, holder, id, finish](const wire::PeerResponse* response) {
        finish(response == nullptr ? BudgetAnswer::Unavailable : impl::decodeAnswer(response->budget()), holder, id);
        // The holder may have reserved the tokens although its response is lost.
        if (response == nullptr)
            this->settleAt(holder, id, 0);
    });
}

void PeerService::serveOutagePart(
    transport::ConnectionId connection, const wire::ReserveTokens& reserve, core::TimePoint now)
{
    const auto hold = std::chrono::milliseconds(reserve.hold_ms());
    HeldReservation held;
    held.program = reserve.program();
    held.tokens = reserve.tokens();
    held.settleBy = now + hold + settlementMargin;
    held.waiter = connection;
    held.outagePart = true;
    held.answer = this->reserveOwnOutagePart({ reserve.program(), reserve.budget(), reserve.tokens(),
        std::chrono::milliseconds(reserve.retention_ms()), hold });
    this->answerReservation(held, impl::encodeAnswer(*held.answer));
    if (held.answer == BudgetAnswer::Granted)
        this->heldReservations.insert_or_assign(reserve.reservation(), std::move(held));
}

bool PeerService::giveUpOwnOutagePart(const std::string& program, core::Duration retention, bool ownedByRows)
{
    const auto now = core::BootClock::now();
    if (!this->outageBuckets.isHolder(program))
        return false;
    if (ownedByRows) {
        this->outageTokens.noteOwnedByRows(program, now);
        return true;
    }
    return this->outageTokens.giveUp(program, !this->outageBuckets.mayGrant(program, retention, now), now);
}

void PeerService::giveUpOutagePart(
    const std::string& program, core::Duration retention, bool ownedByRows, const std::function<void(bool)>& done)
{
    if (this->outageBuckets.isHolder(program)) {
        done(this->giveUpOwnOutagePart(program, retention, ownedByRows));
        return;
    }
    const auto holder = this->outageHolderAddress(program);
    if (holder.empty() || this->client.isSuspected(holder, core::monotonicNow())) {
        done(false);
        return;
    }
    wire::PeerRequest message;
    auto* const ask = message.mutable_give_up_outage_part();
    ask->set_program(program);
    ask->set_retention_ms(static_cast<std::uint64_t>(retention.count() / 1'000));
    ask->set_owned_by_rows(ownedByRows);
    this->client.send(holder, message,
        [done](const wire::PeerResponse* response) { done(response != nullptr && response->given_up()); });
}

void PeerService::serveGiveUpOutagePart(transport::ConnectionId connection, const wire::GiveUpOutagePart& ask)
{
    wire::PeerResponse response;
    response.set_given_up(
        this->giveUpOwnOutagePart(ask.program(), std::chrono::milliseconds(ask.retention_ms()), ask.owned_by_rows()));
    this->respond(connection, response);
}

} // namespace lagoontiller::gateway
