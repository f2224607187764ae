#pragma once

#include "gateway/EndpointRateLimits.h"
#include "gateway/StoreHealth.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace lagoontiller::gateway {

/// \brief A node as described by its row in the store.
struct NodeEntry {
    std::string name;
    std::string zone;
    std::string region;
    /// \brief Address for callers, IP:port.
    std::string address;
    /// \brief Address for other nodes, IP:port.
    std::string peerAddress;
    bool ready = false;
    /// \brief Differs for each start of the process; empty if the node does not state it.
    std::string incarnation {};
    /// \brief Number of table parts that the node uses; empty while it does not know it.
    std::optional<std::uint64_t> tableParts {};
    [[nodiscard]] bool operator==(const NodeEntry&) const = default;
};

/// \brief A node of the same zone.
struct ZonePeer {
    std::string address;
    bool self = false;
};

/// \brief Nodes of the deployment, which discover each other through heartbeat rows in the store.
///
/// Each zone has its own part of the table: per interval, a node writes one row and reads one part, independent of the
/// number of zones. The parts of other zones are read less often, and when a caller of such a zone asks for addresses.
/// The interval grows with the number of nodes so that the rate of heartbeats stays a fixed share of the store's rate;
/// each row contains the interval of its node. A node whose heartbeat has not changed for 2.6 of its intervals is
/// considered dead; in other zones, so is one whose row is that old by the store's clock. While the store cannot be
/// read, the last known state is kept.
class NodeRegistry {
public:
    static constexpr auto table = "nodes";

    NodeRegistry(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, NodeEntry self,
        std::vector<std::string> zones);

    /// \brief Reads all zones and starts the heartbeats.
    void start();
    /// \brief Sets the state that other nodes see and writes the row immediately.
    void setReady(bool ready);
    /// \brief Counts this start of another node as not ready from now on, whatever its row says.
    void noteStopping(const std::string& name, const std::string& incarnation);
    /// \brief Name and incarnation of this node.
    [[nodiscard]] const NodeEntry& ownEntry() const noexcept { return this->self; }
    /// \brief Sets the number of table parts that the row of this node states from the next heartbeat on.
    void setTableParts(std::uint64_t count) { this->self.tableParts = count; }
    /// \brief Numbers of table parts that other nodes state, also dead ones whose rows are left; empty until all zones
    /// have been read.
    [[nodiscard]] std::optional<std::set<std::uint64_t>> statedTableParts() const;
    /// \brief Removes the row of this node unless a newer process has written it; stops the heartbeats. Called on
    /// shutdown.
    void deregister();

    /// \brief Addresses for a caller: the ready nodes of its zone, else of its region, else all; includes this node if
    /// it is ready. If there are more than `maxCount`, each call returns a random selection. Empty when no node is
    /// ready.
    [[nodiscard]] std::vector<std::string> addressesFor(
        const std::string& zone, const std::string& region, std::size_t maxCount);
    /// \brief Reads the zone again unless its state is recent, then calls `done`. Calls it at once for this node's
    /// zone, for an unknown zone and while the store does not respond.
    void refreshZone(const std::string& zone, core::TimePoint now, std::function<void()> done);
    /// \brief Refreshes all other zones, then calls `done`.
    void refreshOtherZones(core::TimePoint now, const std::function<void()>& done);
    /// \brief Live, ready nodes of this node's zone. Includes this node if it is ready or the only one.
    [[nodiscard]] std::vector<ZonePeer> zonePeers() const;
    /// \brief Peer addresses of live, ready nodes in other zones; nodes of this node's region first.
    [[nodiscard]] std::vector<std::string> otherZonePeers() const;
    /// \brief Peer addresses of live nodes of all zones that are not ready: they are starting or stopping.
    [[nodiscard]] std::vector<std::string> unreadyPeers() const;
    /// \brief Whether any other node is live.
    [[nodiscard]] bool hasPeers() const;
    /// \brief Peer addresses of live, ready nodes of other zones, by zone.
    [[nodiscard]] std::map<std::string, std::vector<std::string>> otherZones() const;
    /// \brief Nodes that may send calls to endpoints: live ones, also while they shut down, and for some time those of
    /// this zone that have failed.
    [[nodiscard]] ZoneMembers members(core::TimePoint now) const;
    /// \brief Whether this start of the node seems to run. False for a node without a row once all zones were read.
    [[nodiscard]] bool isAlive(const std::string& name, const std::string& incarnation) const;
    /// \brief Address of the node for other nodes; empty if it is not known.
    [[nodiscard]] std::string peerAddress(const std::string& name) const;
    /// \brief Rate limits that the next heartbeats report.
    void setRateLimits(std::vector<RateLimitReport> reports) { this->rateLimits = std::move(reports); }
    /// \brief Sets the receiver of the rate limits that other nodes report.
    void setRateLimitHandler(std::function<void(const RateLimitReport&)> handler)
    {
        this->rateLimitReported = std::move(handler);
    }
    /// \brief Number of live, ready nodes in this node's zone; at least 1.
    [[nodiscard]] std::size_t readyNodesInZone() const;
    /// \brief Number of known nodes in all zones.
    [[nodiscard]] std::size_t size() const noexcept { return this->knownNodes.size(); }
    /// \brief Heartbeat interval of each node when `nodes` nodes share the store.
    [[nodiscard]] static core::Duration heartbeatInterval(std::size_t nodes) noexcept;

private:
    struct KnownNode {
        NodeEntry entry;
        std::uint64_t version = 0;
        core::Duration interval {};
        core::TimePoint changedAt {};
        /// \brief Time of the heartbeat by the store's clock; 0 if the node does not state it.
        std::uint64_t writtenAtMs = 0;
        bool alive = true;
        /// \brief The incarnation that announced its stop; empty for none.
        std::string stoppingIncarnation {};
    };

    void sendHeartbeat();
    void writeRow();
    void readZone(const std::string& zone);
    void zoneRead(const std::string& zone, const StoreResult<RowPage>& page);
    void updateNode(const Row& row, core::TimePoint now);
    /// \brief Whether the heartbeat of a node in another zone is too old by the store's clock. False after an outage,
    /// in which no node could write.
    [[nodiscard]] bool isOutdated(const KnownNode& node, core::TimePoint now) const;
    /// \brief Removes the row of a node without heartbeats for `deadNodeRetention`.
    void removeDeadNode(const std::string& name, const KnownNode& node);

    RowStore& store;
    StoreHealth& storeHealth;
    NodeEntry self;
    std::vector<std::string> zones;
    asio::steady_timer timer;
    std::map<std::string, KnownNode> knownNodes;
    /// \brief Versions of rows that cannot be used, so that each is logged once.
    std::map<std::string, std::uint64_t> rejectedVersions;
    /// \brief Time at which the part of each zone was last read.
    std::map<std::string, core::TimePoint> readAt;
    /// \brief Callbacks that wait for a read of the zone.
    std::map<std::string, std::vector<std::function<void()>>> refreshWaiters;
    std::vector<RateLimitReport> rateLimits;
    std::function<void(const RateLimitReport&)> rateLimitReported;
    std::uint64_t heartbeat = 0;
    std::uint64_t ownVersion = 0;
    std::size_t nextZone = 0;
    std::uint32_t heartbeatRounds = 0;
    bool deregistered = false;
    std::minstd_rand random;
};

} // namespace lagoontiller::gateway
