#pragma once

#include "gateway/TokenBudgets.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway::impl {

[[nodiscard]] BudgetAnswer decodeAnswer(wire::PeerResponse::BudgetAnswer answer) noexcept;
[[nodiscard]] wire::PeerResponse::BudgetAnswer encodeAnswer(BudgetAnswer answer) noexcept;

} // namespace lagoontiller::gateway::impl
