#include "gateway/impl/BudgetAnswers.h"

namespace lagoontiller::gateway::impl {

BudgetAnswer decodeAnswer(wire::PeerResponse::BudgetAnswer answer) noexcept
{
    switch (answer) {
    case wire::PeerResponse::GRANTED:
        return BudgetAnswer::Granted;
    case wire::PeerResponse::EXHAUSTED:
        return BudgetAnswer::Exhausted;
    case wire::PeerResponse::HELD:
        return BudgetAnswer::Held;
    case wire::PeerResponse::ROWS_EXHAUSTED:
        return BudgetAnswer::RowsExhausted;
    default:
        return BudgetAnswer::Unavailable;
    }
}

wire::PeerResponse::BudgetAnswer encodeAnswer(BudgetAnswer answer) noexcept
{
    switch (answer) {
    case BudgetAnswer::Granted:
        return wire::PeerResponse::GRANTED;
    case BudgetAnswer::Exhausted:
        return wire::PeerResponse::EXHAUSTED;
    case BudgetAnswer::Held:
        return wire::PeerResponse::HELD;
    case BudgetAnswer::RowsExhausted:
        return wire::PeerResponse::ROWS_EXHAUSTED;
    case BudgetAnswer::Unavailable:
        return wire::PeerResponse::UNAVAILABLE;
    }
    return wire::PeerResponse::UNAVAILABLE;
}

} // namespace lagoontiller::gateway::impl
