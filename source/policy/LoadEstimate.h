#pragma once

#include "policy/Types.h"

#include <array>

namespace lagoontiller::policy {

/// \brief Load that an engine reported, counted in requests.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvCapacity = 0;
    /// \brief When the engine sampled it, on this node's clock.
    core::TimePoint sampledAt {};
};

/// \brief Requests at one endpoint: this node's own count plus the work of others from lagged reports.
///
/// A report only sets the work of others: its total minus this node's own count at the sample time. It therefore
/// cannot undo what this node sent or saw end after the sample.
class LoadEstimate {
public:
    void started(core::TimePoint now);
    void ended(core::TimePoint now);
    /// \brief Applies a report; returns false for one that is not newer than the last.
    bool report(const LoadReport& report);
    /// \brief Drops the work of others, for an endpoint that restarted.
    void reset();

    [[nodiscard]] std::uint32_t ownRequests() const noexcept { return this->ownRequestCount; }
    [[nodiscard]] double otherRequests() const noexcept { return this->otherRequestCount; }
    [[nodiscard]] core::TimePoint sampledAt() const noexcept { return this->lastSample; }
    /// \brief Expected requests now; with the age of the report the others' part moves to `meanOfOthers`.
    [[nodiscard]] double expectedRequests(core::TimePoint now, double meanOtherRequests) const;

private:
    struct OwnCountChange {
        core::TimePoint at {};
        std::uint32_t count = 0;
    };
    /// \brief Changes of the own count that are kept; a report older than all of them is compared with the oldest.
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
