#pragma once

#include "control/Call.h"
#include "state/ProgramState.h"

namespace lagoontiller::control::impl {

/// \brief Sets the request body for the engine, the messages that the turn adds to the history, and the upper bound and
/// estimate of the prompt length in tokens.
///
/// The bound is never too low: the history counts as the tokens that the endpoint reported for the last turn, and new
/// text as one token per byte, which no tokeniser exceeds.
void prepareMessages(Call& call, const state::ProgramState* program);

} // namespace lagoontiller::control::impl
