#pragma once

#include "gateway/StoreHealth.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <random>

namespace lagoontiller::gateway {

/// \brief A node as it appears in the store.
struct NodeEntry {
    std::string name;
    std::string zone;
    std::string region;
    /// \brief Where callers connect, IP:port.
    std::string address;
    /// \brief Where other nodes connect, IP:port.
    std::string peerAddress;
    bool ready = false;
    [[nodiscard]] bool operator==(const NodeEntry&) const = default;
};

/// \brief A node of the same zone.
struct ZonePeer {
    std::string address;
    bool self = false;
};

/// \brief The nodes of the system, which find each other through heartbeat rows in the store.
///
/// Each zone is one part, so that a node writes one row and reads one part per interval, whatever the number of
/// zones; the parts of other zones are read more rarely, for callers whose zone has no node. The interval grows with
/// the number of nodes, so that heartbeats stay a fixed part of the store's rate; each row names the interval of its
/// node. A node whose heartbeat does not change for two and a half of its intervals is left out. While the store cannot
/// be read, the last view holds.
class NodeRegistry {
public:
    static constexpr auto table = "nodes";

    NodeRegistry(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, NodeEntry self,
        std::vector<std::string> zones);

    void start();
    /// \brief Announces the state at once.
    void setReady(bool ready);
    /// \brief Removes the own row, unless it was written by a later process; the node is about to end.
    void deregister();

    /// \brief Addresses for a caller: ready nodes of its zone, else of its region, else all. This node is the last
    /// resort while it is ready itself. Of more than `most` nodes each call names others.
    [[nodiscard]] std::vector<std::string> addressesFor(
        const std::string& zone, const std::string& region, std::size_t maxCount);
    /// \brief Live nodes of this node's zone that serve callers, and this node.
    [[nodiscard]] std::vector<ZonePeer> zonePeers() const;
    /// \brief Addresses of live nodes of other zones for messages between nodes, those of this node's region first.
    [[nodiscard]] std::vector<std::string> otherZonePeers() const;
    /// \brief Ready nodes in this node's zone, this one included.
    [[nodiscard]] std::size_t readyNodesInZone() const;
    /// \brief Time between two heartbeats of a node when `nodes` share the store.
    [[nodiscard]] static core::Duration heartbeatInterval(std::size_t nodes) noexcept;

private:
    struct KnownNode {
        NodeEntry entry;
        std::uint64_t version = 0;
        core::Duration interval {};
        core::TimePoint changedAt {};
        bool alive = true;
    };

    void sendHeartbeat();
    void writeRow();
    void readZone(const std::string& zone);
    void zoneRead(const std::string& zone, const StoreResult<RowPage>& page);
    void updateNode(const Row& row, core::TimePoint now);
    /// \brief Removes the row of a node that has been silent for `removeAfter`.
    void removeDeadNode(const std::string& name, const KnownNode& node);

    RowStore& store;
    StoreHealth& storeHealth;
    NodeEntry self;
    std::vector<std::string> zones;
    asio::steady_timer timer;
    std::map<std::string, KnownNode> knownNodes;
    /// \brief Last time at which each zone's part was read.
    std::map<std::string, core::TimePoint> readAt;
    std::uint64_t heartbeat = 0;
    std::uint64_t ownVersion = 0;
    std::size_t nextZone = 0;
    std::uint32_t heartbeatRounds = 0;
    bool deregistered = false;
    std::minstd_rand random;
};

} // namespace lagoontiller::gateway
