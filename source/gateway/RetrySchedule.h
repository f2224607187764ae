#pragma once

#include "core/Time.h"

namespace lagoontiller::gateway {

/// \brief Order in which refused callers return to a service whose endpoints have reached their rate limits.
///
/// Each refused caller gets its own time to return, spaced by the rate at which calls are accepted, so that callers do
/// not return together only to be refused again. Callers of programs under way return before those of new programs.
class RetrySchedule {
public:
    /// \brief Time after which the caller should return: at `earliest` at the earliest, if calls are accepted at
    /// `perSecond`.
    [[nodiscard]] core::Duration assign(
        bool newProgram, core::TimePoint earliest, double perSecond, core::TimePoint now);

private:
    /// \brief Last times assigned to callers of programs under way, and to all callers.
    core::TimePoint lastUnderWay {};
    core::TimePoint lastAny {};
};

} // namespace lagoontiller::gateway
