#pragma once

#include "gateway/Types.h"

namespace lagoontiller::gateway {

/// \brief Progress of an attempt as it matters to the caller. A stream progresses by complete events, another response
/// by its head and by kibibytes of its body, so that a response that trickles in is not mistaken for a sound one.
class AttemptProgress {
public:
    explicit AttemptProgress(core::TimePoint sentAt) noexcept
        : progressedAt(sentAt)
    {
    }

    void headReceived(core::TimePoint now) noexcept { this->progressedAt = now; }
    void eventsReceived(core::TimePoint now) noexcept { this->progressedAt = now; }
    void bodyReceived(std::size_t bytes, core::TimePoint now) noexcept;
    /// \brief Starts the interval without progress again, after this process was paused and could not observe progress.
    void restart(core::TimePoint now) noexcept { this->progressedAt = now; }
    [[nodiscard]] core::Duration timeWithoutProgress(core::TimePoint now) const noexcept
    {
        return now - this->progressedAt;
    }

private:
    core::TimePoint progressedAt;
    std::size_t bytesSinceProgress = 0;
};

/// \brief Time without an event after which callers abandon a stream of the route (platform contract).
[[nodiscard]] core::Duration callerPatience(const Route& route) noexcept;

/// \brief Time without progress after which an attempt with `attemptTime` until its deadline is given up in favour of
/// another endpoint. Empty where the route does not allow a second attempt while the first may be running.
[[nodiscard]] std::optional<core::Duration> inactivityLimit(const Route& route, core::Duration attemptTime) noexcept;

} // namespace lagoontiller::gateway
