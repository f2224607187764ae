#pragma once

#include "core/Time.h"
#include "transport/ClientPool.h"

#include <algorithm>
#include <cstddef>

namespace lagoontiller::gateway {

/// \brief Whether this node reaches endpoints at all, as new connections to several of them show.
///
/// A single endpoint that refuses connections or is silent may have failed or be busy, and a sound one may be silent
/// for a second. Only if none of several endpoints accepts a new connection are the paths of this node lost. Whatever
/// may indicate that (a connection that is not established, no bytes on any connection while responses are due)
/// therefore starts a check of a few endpoints at once. Lost paths are checked with one endpoint at a time; they count
/// as open again when the first one and most of a further group accept.
class EndpointPaths {
public:
    /// \brief Records that a connection to an endpoint broke or could not be established; a check is due.
    void connectionFailed() noexcept { this->hasFailure = true; }
    /// \brief Makes a check due now, whatever the time since the last one.
    void requestCheck(core::TimePoint now) noexcept
    {
        this->hasFailure = true;
        this->nextCheckAt = std::min(this->nextCheckAt, now);
    }
    /// \brief Number of endpoints to connect to now, 0 for none; each result is passed to `probeEnded`. `endpoints` is
    /// the number of those that are in service.
    [[nodiscard]] std::size_t startProbes(
        const transport::PoolActivity& activity, std::size_t endpoints, core::TimePoint now) noexcept;
    /// \brief Records the result of a connection that `startProbes` asked for.
    void probeEnded(bool accepted, core::TimePoint now) noexcept;
    /// \brief Starts the observation of silence again, after this process was paused and could not observe.
    void restart(core::TimePoint now) noexcept { this->observedSince = now; }

    /// \brief Whether the paths to endpoints are lost.
    [[nodiscard]] bool areLost() const noexcept { return this->lost; }
    /// \brief Whether a check is in progress whose result decides if the paths are lost.
    [[nodiscard]] bool areChecked() const noexcept { return !this->lost && this->pending > 0 && this->accepted == 0; }
    /// \brief Whether a check has shown within `openCheckInterval` that the paths are open.
    [[nodiscard]] bool areProven(core::TimePoint now) const noexcept { return !this->lost && now < this->nextCheckAt; }
    /// \brief Whether paths to several endpoints are lost or were within `time` before `now`. A single endpoint may
    /// have failed itself.
    [[nodiscard]] bool wereLostWithin(core::Duration time, core::TimePoint now) const noexcept
    {
        return this->lostSeveral && (this->lost || now - this->reopenedAt <= time);
    }

    /// \brief Endpoints that one check connects to.
    static constexpr std::size_t probesPerCheck = 3;
    /// \brief Time for a connection of a check; a connection to another region takes tens of milliseconds.
    static constexpr core::Duration probeTimeout = std::chrono::milliseconds(250);
    /// \brief Time without a byte from any endpoint, while one owes a response, after which a check is due. Longer than
    /// the time to read an average prompt.
    static constexpr core::Duration maxSilence = std::chrono::milliseconds(300);
    /// \brief Time after which a connection that is not established causes a check.
    static constexpr core::Duration maxConnectTime = std::chrono::milliseconds(150);
    /// \brief Minimum time from the end of a check to the next one while paths are open, and while they are lost.
    static constexpr core::Duration openCheckInterval = std::chrono::milliseconds(500);
    static constexpr core::Duration lostCheckInterval = std::chrono::milliseconds(250);

private:
    [[nodiscard]] bool needsCheck(const transport::PoolActivity& activity, core::TimePoint now) const noexcept;
    void checkEnded(core::TimePoint now) noexcept;

    bool lost = false;
    /// \brief Several endpoints were found out of reach when the paths were lost last.
    bool lostSeveral = false;
    core::TimePoint reopenedAt {};
    /// \brief An endpoint accepted a connection while the paths were lost; a group of them decides.
    bool reopening = false;
    bool hasFailure = false;
    /// \brief Probes of the check in progress: all, those without a result, and accepted ones.
    std::size_t probes = 0;
    std::size_t pending = 0;
    std::size_t accepted = 0;
    core::TimePoint nextCheckAt {};
    core::TimePoint observedSince {};
};

} // namespace lagoontiller::gateway
