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

/// \brief A model, adapter or role that an engine has or should have. Models and roles replace each other.
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

struct EngineView {
    EndpointId endpoint = 0;
    std::set<EngineAssignment> assignments;
    /// \brief Running and waiting requests; the least loaded engine is changed first.
    double load = 0;
    bool leaving = false;
};

/// \brief How many engines of the service need an assignment.
struct DesiredAssignment {
    EngineAssignment assignment;
    /// \brief Demand in engines, for example forecast load divided by the load that one engine carries.
    double demand = 0;
    /// \brief Engines that have it however low the demand is.
    std::size_t minEngines = 1;
    /// \brief Bytes loaded from the weight store; 0 for roles.
    std::uint64_t bytes = 0;
};

struct EngineOrder {
    EndpointId endpoint = 0;
    EngineAssignment assignment;
    std::uint64_t fence = 0;
    [[nodiscard]] bool operator==(const EngineOrder&) const = default;
};

struct OrderOptions {
    /// \brief Whether the engines of the service refuse old fencing numbers (`checks_fencing` of the document).
    bool checksFencing = true;
    /// \brief Longest time for which the earlier decider's request to an engine may still be on its way.
    core::Duration maxRequestTime = std::chrono::seconds(30);
    double weightStoreBytesPerSecond = 1e9;
    /// \brief An engine that was ordered to change is not changed again within this time.
    core::Duration minChangeInterval = std::chrono::minutes(5);
    /// \brief Demand must ask for a change of the number for this long.
    core::Duration stabilizationInterval = std::chrono::seconds(30);
    /// \brief Load per engine above which the number rises and below which (after the change) it falls.
    double scaleUpLoad = 0.9;
    double scaleDownLoad = 0.6;
    /// \brief Part of the engines that may change at once; at least one.
    double maxChangingRatio = 0.25;
};

/// \brief Orders for the engines of one service, given by the one node that currently decides for it.
///
/// Fences are the decider's term in the upper 32 bits and a count below, so that they rise within a term and across
/// deciders. Engines that ignore fences get no order until the earlier decider can no longer act.
class OrderPlanner {
public:
    explicit OrderPlanner(OrderOptions options)
        : options(options)
    {
    }

    /// \brief This node decides from now on. `term` must exceed every earlier term; false otherwise. The earlier
    /// decider's term ends at `earlierTermEnd` at the latest, on this node's clock.
    bool becomeLeader(std::uint32_t term, core::TimePoint earlierTermEnd);
    /// \brief The term ended or an engine refused a fence as old.
    void stepDown() noexcept { this->leading = false; }
    [[nodiscard]] bool mayOrder(core::TimePoint now) const;

    /// \brief Orders to send now; empty while this node may not order.
    [[nodiscard]] std::vector<EngineOrder> plan(
        const std::vector<DesiredAssignment>& desired, const std::vector<EngineView>& engines, core::TimePoint now);
    /// \brief An order failed; its engine may be ordered again at once.
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

    void clearFinishedOrders(const std::vector<EngineView>& engines, core::TimePoint now);
    [[nodiscard]] std::size_t updateTarget(const DesiredAssignment& desired, core::TimePoint now);
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
