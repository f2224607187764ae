#pragma once

#include "gateway/Gateway.h"
#include "gateway/RelayedStore.h"
#include "gateway/Roster.h"
#include "gateway/Sweeper.h"
#include "gateway/TableWatch.h"
#include "settings/GatewaySettings.h"

#include <asio/signal_set.hpp>

namespace lagoontiller::gateway {

/// \brief One gateway process: its servers, its views of the store and its end.
class Node {
public:
    Node(std::shared_ptr<const settings::GatewaySettings> settings, std::string settingsFile);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// \brief Serves until SIGTERM and the end of the calls in progress; returns an error text when it cannot start.
    [[nodiscard]] std::string run();

private:
    void configurationChanged(const Row& row);
    void endpointChanged(const Row& row);
    void answerEntry(transport::ConnectionId connection, const transport::Request& request);
    void answerReady(transport::ConnectionId connection, const transport::Request& request);
    void answerMetrics(transport::ConnectionId connection);
    void updateReady();
    void waitForSignal();
    void reload();
    void stop();
    void checkStopped();
    void tick();
    void everySecond(core::TimePoint now);
    [[nodiscard]] bool ready() const;

    std::shared_ptr<const settings::GatewaySettings> settings;
    std::string settingsFile;
    std::string settingsText;
    asio::io_context context;
    asio::signal_set signals;
    asio::steady_timer tickTimer;
    core::MetricRegistry metrics;
    transport::ClientPool storePool;
    transport::ClientPool endpointPool;
    std::unique_ptr<RowStore> platformStore;
    StoreContact contact;
    /// \brief The direct way to the store, for this node's own views and heartbeats.
    ObservedStore direct;
    Roster roster;
    transport::ClientPool peerPool;
    PeerLink peerLink;
    RelayServer relayServer;
    /// \brief The way for what must be kept, through peers where needed.
    RelayedStore store;
    Expiry expiry;
    Sweeper sweeper;
    Budgets budgets;
    Histories histories;
    Directory directory;
    transport::Server callers;
    transport::Server readiness;
    transport::Server entry;
    transport::Server metricsServer;
    transport::Server peerServer;
    Peers peers;
    Losses losses;
    Gateway gateway;
    TableWatch configurationWatch;
    TableWatch endpointWatch;
    TableWatch lossWatch;
    bool configured = false;
    bool stopping = false;
    bool left = false;
    core::TimePoint stopAt {};
    core::TimePoint nextSecond {};
};

} // namespace lagoontiller::gateway
