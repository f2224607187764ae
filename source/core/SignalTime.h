#pragma once

#include "core/Time.h"

#include <optional>

namespace lagoontiller::core {

/// \brief Records from now on when the signal is first delivered, before the handler that is installed now runs. An
/// event loop calls its own handler after the events that it has already taken, which can be much later.
void recordSignalTime(int signal) noexcept;

/// \brief Time of the first delivery of the signal since `recordSignalTime`; empty if there was none.
[[nodiscard]] std::optional<TimePoint> signalTime(int signal) noexcept;

} // namespace lagoontiller::core
