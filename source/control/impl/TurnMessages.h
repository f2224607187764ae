#pragma once

#include "control/Call.h"
#include "state/ProgramState.h"

namespace lagoontiller::control::impl {

/// \brief Fills the call's outgoing body, the messages that its turn adds, and the bound and estimate of prompt tokens.
///
/// The bound never underestimates: the history counts as the endpoint measured it at the last turn, and new text as one
/// token per byte, which no tokeniser exceeds.
void prepareMessages(Call& call, const state::ProgramState* program);

} // namespace lagoontiller::control::impl
