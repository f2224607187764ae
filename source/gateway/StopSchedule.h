#pragma once

#include "core/Time.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief Course of a planned stop, from SIGTERM to the end of the process.
///
/// Callers use the addresses of an entry response for up to three times its validity, so requests still arrive after
/// the node has left the entry responses. A call is admitted only if it can end before `endsAt`, when the calls in
/// progress are ended; the others are refused as not run. A call ends by its deadline at the latest, and most end long
/// before it: the longest recent call of the route, with a margin, is taken as the time that it needs.
class StopSchedule {
public:
    /// \brief `grace` is the time from SIGTERM to SIGKILL.
    StopSchedule(core::TimePoint startedAt, core::Duration grace) noexcept;

    /// \brief Whether a call ends before the calls in progress are ended. `longestCall` is the longest recent call of
    /// its route; empty if there was none.
    [[nodiscard]] bool admits(
        core::TimePoint deadline, std::optional<core::Duration> longestCall, core::TimePoint now) const noexcept;
    /// \brief Whether the node stops accepting connections; `idle` if it has no call in progress.
    [[nodiscard]] bool mayStopAccepting(bool idle, core::TimePoint now) const noexcept;
    /// \brief Time at which the calls in progress are ended; the remaining grace is for their responses.
    [[nodiscard]] core::TimePoint endsAt() const noexcept { return this->end; }
    [[nodiscard]] bool operator==(const StopSchedule&) const = default;

private:
    core::TimePoint startedAt;
    core::TimePoint end;
};

} // namespace lagoontiller::gateway
