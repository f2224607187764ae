#pragma once

#include "policy/Types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lagoontiller::policy {

enum class OrderKind : int {
    LoadModel,
    LoadAdapter,
    SetRole,
};

/// \brief A model, adapter or role that an engine has or should have. An engine has one model and one role at a time: a
/// new one replaces the old. Adapters are added.
struct EngineAssignment {
    OrderKind kind = OrderKind::LoadModel;
    std::string name;
    std::string version;
    [[nodiscard]] bool operator==(const EngineAssignment&) const = default;
    [[nodiscard]] bool operator<(const EngineAssignment& other) const noexcept
    {
        return std::tie(this->kind, this->name, this->version) < std::tie(other.kind, other.name, other.version);
    }
};

/// \brief Current state of one engine.
struct EngineView {
    EndpointId endpoint = 0;
    std::set<EngineAssignment> assignments;
    /// \brief Number of running and waiting requests; the least loaded engine is changed first.
    double load = 0;
    bool leaving = false;
};

/// \brief Demand of the service for one assignment.
struct DesiredAssignment {
    EngineAssignment assignment;
    /// \brief Demand in engines, for example the forecast load divided by the load that one engine can serve.
    double demand = 0;
    /// \brief Number of engines that keep the assignment however low the demand is.
    std::size_t minEngines = 1;
    /// \brief Bytes that an engine loads from the weight store; 0 for roles.
    std::uint64_t bytes = 0;
};

/// \brief Order to an engine to take on an assignment, with its fencing number.
struct EngineOrder {
    EndpointId endpoint = 0;
    EngineAssignment assignment;
    std::uint64_t fence = 0;
    [[nodiscard]] bool operator==(const EngineOrder&) const = default;
};

struct OrderOptions {
    /// \brief Whether the engines of the service reject outdated fencing numbers (`checks_fencing` of the document).
    bool checksFencing = true;
    /// \brief Longest time for which a request of the previous leader to an engine may still be in flight.
    core::Duration maxRequestTime = std::chrono::seconds(30);
    double weightStoreBytesPerSecond = 1e9;
    /// \brief Shortest time between two orders to the same engine.
    core::Duration minChangeInterval = std::chrono::minutes(5);
    /// \brief Time for which the demand must call for another number of engines before the number changes.
    core::Duration stabilizationInterval = std::chrono::seconds(30);
    /// \brief Demand per engine above which the number of engines is raised.
    double scaleUpLoad = 0.9;
    /// \brief The number is lowered by one when the demand per remaining engine would be below this.
    double scaleDownLoad = 0.6;
    /// \brief Fraction of the engines that may have an unfinished order at a time; at least one engine always may.
    double maxChangingRatio = 0.25;
};

/// \brief Plans the orders to the engines of one service; only the node that currently leads the service sends orders.
///
/// A fencing number holds the leader's term in the upper 32 bits and a counter in the lower ones, so that the numbers
/// increase within a term and from one leader to the next. Engines that do not check fencing numbers receive no order
/// until the requests of the previous leader can no longer reach them.
class OrderPlanner {
public:
    explicit OrderPlanner(OrderOptions options)
        : options(options)
    {
    }

    /// \brief Makes this node the leader. Returns false, without effect, unless `term` exceeds every term that this
    /// node led before. `earlierTermEnd` is the latest end of the previous leader's term, on this node's clock.
    bool becomeLeader(std::uint32_t term, core::TimePoint earlierTermEnd);
    /// \brief Ends the leadership, because the term ended or an engine rejected a fencing number as outdated.
    void stepDown() noexcept { this->leading = false; }
    /// \brief Returns whether this node leads the service and no request of the previous leader can still be in flight.
    [[nodiscard]] bool mayOrder(core::TimePoint now) const;

    /// \brief Returns the orders to send now; empty while `mayOrder` is false.
    [[nodiscard]] std::vector<EngineOrder> plan(
        const std::vector<DesiredAssignment>& desired, const std::vector<EngineView>& engines, core::TimePoint now);
    /// \brief Records that an order to the endpoint failed, so that the engine may be given another order at once.
    void failed(EndpointId endpoint);

private:
    struct PendingOrder {
        EngineAssignment assignment;
        core::TimePoint orderedAt {};
    };
    struct Target {
        std::size_t engineCount = 0;
        std::optional<core::TimePoint> changeWantedSince;
    };

    /// \brief Forgets orders that took effect, timed out, or whose engine is leaving or absent.
    void clearFinishedOrders(const std::vector<EngineView>& engines, core::TimePoint now);
    /// \brief Returns the target number of engines for the assignment, updated with the current demand.
    [[nodiscard]] std::size_t updateTarget(const DesiredAssignment& desired, core::TimePoint now);
    /// \brief Returns the least loaded engine that may take on the assignment; null when there is none.
    [[nodiscard]] const EngineView* selectEngine(const DesiredAssignment& desired,
        const std::map<EngineAssignment, std::size_t>& surplus, const std::vector<EngineView>& engines,
        core::TimePoint now) const;
    [[nodiscard]] bool mayChange(const EngineView& engine, core::TimePoint now) const;

    OrderOptions options;
    bool leading = false;
    std::uint32_t term = 0;
    std::uint32_t fenceCounter = 0;
    core::TimePoint notBefore {};
    core::TimePoint nextLoadAt {};
    std::map<EndpointId, PendingOrder> pending;
    std::map<EndpointId, core::TimePoint> changedAt;
    std::map<EngineAssignment, Target> targets;
};

} // namespace lagoontiller::policy
