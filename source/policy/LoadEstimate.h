#pragma once

#include "policy/Types.h"

#include <array>

namespace lagoontiller::policy {

/// \brief Load report of an engine; `running` and `waiting` count requests, the KV sizes are in tokens.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvCapacity = 0;
    /// \brief Time at which the engine sampled its load, on this node's clock.
    core::TimePoint sampledAt {};
};

/// \brief Estimated number of requests at one endpoint: this node's own requests, counted exactly, plus the requests of
/// other nodes from delayed load reports.
///
/// A report sets only the number of other nodes' requests: its total minus this node's own count at the sample time.
/// Requests that this node started or ended after the sample therefore stay counted correctly.
class LoadEstimate {
public:
    void started(core::TimePoint now);
    void ended(core::TimePoint now);
    /// \brief Applies a report. Returns false, without effect, for one that is not newer than the last.
    bool report(const LoadReport& report);
    /// \brief Sets the number of other nodes' requests to 0, for an endpoint that restarted.
    void reset();

    [[nodiscard]] std::uint32_t ownRequests() const noexcept { return this->ownRequestCount; }
    [[nodiscard]] double otherRequests() const noexcept { return this->otherRequestCount; }
    [[nodiscard]] core::TimePoint sampledAt() const noexcept { return this->lastSample; }
    /// \brief Returns the expected number of requests now. As the last report gets older, the number of other nodes'
    /// requests moves towards `meanOtherRequests`.
    [[nodiscard]] double expectedRequests(core::TimePoint now, double meanOtherRequests) const;

private:
    struct OwnCountChange {
        core::TimePoint at {};
        std::uint32_t count = 0;
    };
    /// \brief Number of changes of the own count that are kept; a report older than all of them uses the oldest.
    static constexpr std::size_t historySize = 32;

    void record(core::TimePoint now);
    [[nodiscard]] std::uint32_t ownAt(core::TimePoint time) const;

    std::uint32_t ownRequestCount = 0;
    std::uint32_t changeCount = 0;
    double otherRequestCount = 0;
    core::TimePoint lastSample {};
    std::array<OwnCountChange, historySize> history {};
};

} // namespace lagoontiller::policy
