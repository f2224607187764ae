#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoontiller::transport {

/// \brief Identifies a connection within a server; not reused.
using ConnectionId = std::uint64_t;

/// \brief Limits of the memory that the requests of all connections hold together, in bytes.
struct ConnectionMemoryLimits {
    std::size_t totalBytes = std::numeric_limits<std::size_t>::max();
    /// \brief Further bytes for requests of at most `smallRequestBytes`, so that a few large uploads don't refuse all
    /// others.
    std::size_t smallRequestReserveBytes = 0;
    /// \brief Time without a received byte after which an incomplete request may be closed in favour of others.
    core::Duration stallTime = std::chrono::milliseconds(1'000);
    [[nodiscard]] bool operator==(const ConnectionMemoryLimits&) const = default;
};

/// \brief Whether an incomplete request may hold more memory.
struct MemoryDecision {
    bool granted = false;
    /// \brief Stalled connections whose requests have to be refused for it; they no longer hold memory.
    std::vector<ConnectionId> stalled;
    [[nodiscard]] bool operator==(const MemoryDecision&) const = default;
};

/// \brief Accounts for the memory that the requests of connections hold, from their first byte to the end of their
/// response.
///
/// An incomplete request that doesn't fit is refused, unless incomplete requests that have stalled can give way: the
/// one without progress for longest first. A complete request never gives way, because it may be running.
class ConnectionMemory {
public:
    static constexpr std::size_t smallRequestBytes = 32'768;

    void setLimits(const ConnectionMemoryLimits& limits) noexcept { this->limits = limits; }

    /// \brief Records progress of an incomplete request that holds `bytes` from now on. If it is refused, it holds what
    /// it held before, and the caller has to release it. The only request is always granted, so that a limit below the
    /// maximum size of a request does not refuse it forever.
    [[nodiscard]] MemoryDecision holdIncomplete(ConnectionId connection, std::size_t bytes, core::TimePoint now);
    /// \brief Records that the request is complete.
    void complete(ConnectionId connection);
    /// \brief Adds bytes to a complete request, whatever the limits are.
    void add(ConnectionId connection, std::size_t bytes);
    /// \brief Adds bytes that arrived behind a complete request, if they fit.
    [[nodiscard]] bool tryAdd(ConnectionId connection, std::size_t bytes);
    /// \brief Removes the connection's request; ignores unknown connections.
    void release(ConnectionId connection);
    /// \brief The incomplete request without progress for longest, at least for the stall time; empty without one.
    [[nodiscard]] std::optional<ConnectionId> longestStalled(core::TimePoint now) const;

    [[nodiscard]] std::size_t heldBytes() const noexcept { return this->total; }
    [[nodiscard]] std::size_t heldBytes(ConnectionId connection) const;

private:
    struct Holder {
        std::size_t bytes = 0;
        bool incomplete = true;
        core::TimePoint progressedAt {};
    };

    [[nodiscard]] bool fits(std::size_t others, std::size_t bytes) const noexcept;

    ConnectionMemoryLimits limits;
    std::size_t total = 0;
    std::unordered_map<ConnectionId, Holder> holders;
};

} // namespace lagoontiller::transport
