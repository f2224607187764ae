#pragma once

#include "gateway/ExchangeRelayServer.h"
#include "gateway/Gateway.h"
#include "gateway/NodeRegistry.h"
#include "gateway/RelayedStore.h"
#include "gateway/Sweeper.h"
#include "gateway/TableLayout.h"
#include "gateway/TableWatch.h"
#include "settings/GatewaySettings.h"

#include <asio/signal_set.hpp>

namespace lagoontiller::gateway {

/// \brief One gateway process: its servers, its view of the store, and its shutdown.
class Node {
public:
    /// \brief Installs the handlers of SIGTERM, SIGINT and SIGHUP. `settingsText` is the text of the file from which
    /// the settings were parsed; a file that has changed since then is read again.
    Node(std::shared_ptr<const settings::GatewaySettings> settings, std::string settingsFile,
        const std::string& settingsText);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// \brief Serves until SIGTERM and the end of the calls in progress. Returns an error message if the node cannot
    /// start, else an empty string.
    [[nodiscard]] std::string run();

private:
    void tableLayoutKnown(std::uint64_t parts);
    void serveToPeer(transport::ConnectionId connection, const transport::Request& request);
    void relayForPeer(transport::ConnectionId connection, const transport::Request& request);
    void configurationChanged(const Row& row);
    void configurationConfirmed(core::BootTimePoint sentAt);
    void endpointChanged(const Row& row);
    void respondToEntry(transport::ConnectionId connection, const transport::Request& request);
    void respondToReady(transport::ConnectionId connection, const transport::Request& request);
    void respondToMetrics(transport::ConnectionId connection);
    /// \brief Says where a call would be routed now; the request describes the call.
    void respondToRouteQuery(transport::ConnectionId connection, const transport::Request& request);
    void updateReady();
    void waitForSignal();
    void reloadSettings();
    void stop(int signal);
    void continueStop(const StopSchedule& schedule, core::TimePoint now);
    void tick();
    void runPeriodicTasks(core::TimePoint now);
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
    StoreHealth storeHealth;
    /// \brief Direct access to the store, for table watches and heartbeats.
    ObservedStore directStore;
    /// \brief Distinguishes this start of the process from others of the same node.
    std::string incarnation;
    NodeRegistry nodeRegistry;
    transport::ClientPool peerPool;
    PeerClient peerClient;
    RelayServer relayServer;
    /// \brief Store access for durable data; relayed through peers during an outage of the direct access.
    RelayedStore store;
    RowExpiry rowExpiry;
    TableParts tableParts;
    TableLayout tableLayout;
    Sweeper sweeper;
    TokenBudgets tokenBudgets;
    TurnStore turnStore;
    ServiceVersions serviceVersions;
    StreamVersionRows streamVersionRows;
    EndpointDirectory endpointDirectory;
    transport::Server callerServer;
    transport::Server readinessServer;
    transport::Server entryServer;
    transport::Server metricsServer;
    transport::Server peerServer;
    RelayedExchanges relayedExchanges;
    EndpointExchanges endpointExchanges;
    ExchangeRelayServer exchangeRelayServer;
    OutageBuckets outageBuckets;
    PeerService peerService;
    EndpointLossTracker lossTracker;
    ConfigurationProof configurationProof;
    QuotaService quotaService;
    Gateway gateway;
    TableWatch configurationWatch;
    TableWatch endpointWatch;
    TableWatch lossWatch;
    bool configured = false;
    /// \brief The newest configuration could not be used; the one in force is not proven then.
    bool configurationRejected = false;
    /// \brief Set by SIGTERM.
    std::optional<StopSchedule> stopSchedule;
    core::TimePoint stopStartedAt {};
    /// \brief No connections are accepted any more.
    bool leaving = false;
    core::TimePoint nextPeriodicTasksAt {};
};

} // namespace lagoontiller::gateway
