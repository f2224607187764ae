#pragma once

#include "core/Time.h"
#include "gateway/RateLimitShare.h"
#include "gateway/Types.h"

#include <optional>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief What a response of an endpoint stated about its rate limit, as nodes tell each other.
struct RateLimitReport {
    std::string endpoint;
    /// \brief Identifies the endpoint's process, like `Endpoint::startedAt`.
    std::int64_t startedAt = 0;
    /// \brief Calls per second from all nodes together; absent if the response stated no limit.
    std::optional<double> perSecond;
    /// \brief Time of the response in milliseconds of the store's clock.
    std::uint64_t observedAtMs = 0;
    [[nodiscard]] bool operator==(const RateLimitReport&) const = default;
};

/// \brief Rate limits that endpoints state in their responses, and the times at which this node may send calls to them.
///
/// An endpoint states its limit only to the nodes that it answers. Nodes that have seen a limit, or its end, report it
/// in their heartbeat rows, and the latest observation counts. Each node keeps to its share of the limit
/// (`rateLimitShare`), so no message precedes a call. A node with a share drops a limit that no node has seen for
/// `rateLimitRetention`, others later.
class EndpointRateLimits {
public:
    /// \brief Replaces the view of the nodes that share the limits.
    void setMembers(ZoneMembers members, core::TimePoint now);
    /// \brief Records the limit in a response to a call that was sent at `sentAt`, or that it has none. A response to a
    /// call from before the last observation of a limit does not end the limit: responses can overtake each other.
    void observe(const Endpoint& endpoint, std::optional<double> perSecond, core::TimePoint sentAt,
        std::uint64_t storeTimeMs, core::TimePoint now);
    /// \brief Records the report of another node if it is newer than what is known.
    void merge(const Endpoint& endpoint, const RateLimitReport& report, std::uint64_t storeTimeMs, core::TimePoint now);
    /// \brief This node's own observations, for the other nodes.
    [[nodiscard]] std::vector<RateLimitReport> reports(core::TimePoint now) const;

    /// \brief Whether a limit of the endpoint is in force.
    [[nodiscard]] bool isLimited(const Endpoint& endpoint, core::TimePoint now) const;
    /// \brief Earliest time at which this node may send a call; `now` if no limit is in force, empty if this node has
    /// no share of the limit.
    [[nodiscard]] std::optional<core::TimePoint> earliestSend(const Endpoint& endpoint, core::TimePoint now) const;
    /// \brief Reserves the earliest time for one call and returns it. Requires that `earliestSend` is not empty.
    core::TimePoint reserve(const Endpoint& endpoint, core::TimePoint now);
    /// \brief Calls per second that this node may send to the endpoint; 0 if it has no share or no limit is in force.
    [[nodiscard]] double share(const Endpoint& endpoint, core::TimePoint now) const;

    /// \brief Drops observations that are no longer used; call periodically.
    void tick(core::TimePoint now);
    /// \brief Number of endpoints whose limit is in force.
    [[nodiscard]] std::size_t limitedEndpoints(core::TimePoint now) const;

private:
    struct Observation {
        std::int64_t startedAt = 0;
        std::string zone;
        std::optional<double> perSecond;
        std::uint64_t observedAtMs = 0;
        core::TimePoint observedAt {};
        /// \brief Whether this node saw the response itself.
        bool own = false;
        /// \brief Share of this node in calls per second.
        double share = 0;
        core::TimePoint nextSendAt {};
    };

    [[nodiscard]] static bool isInForce(const Observation& observation, core::TimePoint now);
    /// \brief The observation of this process of the endpoint if its limit is in force, else null.
    [[nodiscard]] const Observation* find(const Endpoint& endpoint, core::TimePoint now) const;
    void update(const Endpoint& endpoint, const Observation& latest, core::TimePoint now);

    ZoneMembers members;
    std::unordered_map<std::string, Observation> observations;
};

/// \brief Time for which the last observation of an endpoint's limit counts.
inline constexpr core::Duration rateLimitRetention = std::chrono::seconds(15);

} // namespace lagoontiller::gateway
