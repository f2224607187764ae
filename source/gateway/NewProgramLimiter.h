#pragma once

#include "core/Time.h"

namespace lagoontiller::gateway {

/// \brief Limits how many new programs a service takes while its engines are congested, so that programs under way
/// finish on time instead of all programs being late.
///
/// Pattern: more programs begin than the engines can serve, and each has several turns. Engines queue calls, so every
/// turn starts late; callers abandon it and send it again. An attempt counts as congested if it was refused as full, or
/// if its first event came after the objective of its route or not at all. While more than half of the recent attempts
/// are congested, the share of new programs that are admitted falls; afterwards it rises again.
/// A slow or failing minority of the engines does not reach that level.
class NewProgramLimiter {
public:
    /// \brief Records whether an attempt was congested.
    void record(bool congested, core::TimePoint now);
    /// \brief Whether to admit a new program; `draw` is a random number from 0 to 1.
    [[nodiscard]] bool admits(double draw, core::TimePoint now);
    /// \brief Share of new programs that is admitted now, from 0 to 1.
    [[nodiscard]] double share(core::TimePoint now);
    /// \brief The same as of the last call.
    [[nodiscard]] double share() const noexcept { return this->admittedShare; }

private:
    /// \brief Applies the time that has passed since the last call.
    void advance(core::TimePoint now);

    double admittedShare = 1;
    /// \brief Moving average of the attempts, from 0 (none congested) to 1.
    double congestion = 0;
    core::TimePoint advancedAt {};
    core::TimePoint decreasedAt {};
};

} // namespace lagoontiller::gateway
