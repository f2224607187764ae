#pragma once

#include "core/Time.h"

namespace lagoontiller::gateway {

/// \brief Course of a planned stop, from SIGTERM to the end of the process.
///
/// Callers use the addresses of an entry response for up to three times its validity, so requests still arrive after
/// the node has left the entry responses. Whatever begins after SIGTERM must be certain to end before `endsAt`, when
/// the calls in progress are ended. Only a bound that is enforced is certain: a call ends by its deadline, while the
/// time that earlier calls took says nothing about the next one.
class StopSchedule {
public:
    /// \brief `grace` is the time from SIGTERM to SIGKILL.
    StopSchedule(core::TimePoint startedAt, core::Duration grace) noexcept;

    /// \brief Whether work that ends at `deadline` at the latest ends before the calls in progress are ended.
    [[nodiscard]] bool admits(core::TimePoint deadline) const noexcept { return deadline <= this->end; }
    /// \brief Whether the node stops accepting connections; `idle` if it has no call in progress. `longestCall` is the
    /// longest time limit of any route: once such calls are refused, their callers are better off without a connection,
    /// because they may try an address again that refused a call, but not one that refused a connection.
    [[nodiscard]] bool mayStopAccepting(bool idle, core::Duration longestCall, core::TimePoint now) const noexcept;
    /// \brief Time at which the calls in progress are ended; the remaining grace is for their responses.
    [[nodiscard]] core::TimePoint endsAt() const noexcept { return this->end; }
    [[nodiscard]] bool operator==(const StopSchedule&) const = default;

private:
    core::TimePoint startedAt;
    core::TimePoint end;
};

} // namespace lagoontiller::gateway
