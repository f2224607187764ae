#include "gateway/Node.h"

#include "core/Encoding.h"
#include "core/Log.h"
#include "core/SignalTime.h"
#include "gateway/impl/TurnRows.h"
#include "platform/EntryMessages.h"
#include "platform/Records.h"
#include "platform/RouteQuery.h"
#include "platform/StoreClient.h"
#include "proto/gateway.pb.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace lagoontiller::gateway {

namespace {

/// \brief Fraction of the process memory for cached turns; connections and calls in progress need the rest.
constexpr std::size_t turnCacheMemoryDivisor = 6;
/// \brief Fraction of the process memory for incomplete responses.
constexpr std::size_t responseMemoryDivisor = 8;
constexpr std::size_t minResponseMemoryBytes = 1U << 20U;
/// \brief Fraction of the process memory for requests of callers with the copies of their bodies for an attempt.
constexpr std::size_t requestMemoryDivisor = 5;
/// \brief Part of it that small requests have in addition.
constexpr std::size_t smallRequestReserveDivisor = 8;
constexpr std::size_t copiesPerBody = 1;
/// \brief Fraction of the process memory for output that callers have not read.
constexpr std::size_t outputMemoryDivisor = 8;
/// \brief Fraction of the process memory for requests that are relayed for peers.
constexpr std::size_t relayMemoryDivisor = 10;
/// \brief Fraction of the process memory for connections without a request.
constexpr std::size_t connectionMemoryDivisor = 16;
/// \brief Memory of a connection without a request: its state here and in asio, and its entries in tables.
constexpr std::size_t bytesPerConnection = 2'048;
/// \brief Descriptors out of four for callers. The others are for endpoints, the store and other nodes.
constexpr std::size_t callerDescriptorQuarters = 3;
/// \brief Base64 encodes 3 bytes as 4 characters. The record around the texts needs part of the remaining bytes.
constexpr std::size_t base64DecodedBytes = 3;
constexpr std::size_t base64EncodedBytes = 4;
/// \brief Maximum time for which callers cache an entry answer; short, so that they leave a stopping node before it
/// has to refuse their calls.
constexpr core::Duration maxEntryValidity = std::chrono::milliseconds(1'000);
constexpr std::size_t maxEntryAddresses = 64;
/// \brief Time after a loss of the paths in which a refused connection proves no loss of an endpoint; covers the check
/// of a suspected loss that began before.
constexpr core::Duration lossProofInterval = std::chrono::seconds(1);
/// \brief Maximum size of the settings file; the rest is ignored.
constexpr std::size_t maxSettingsBytes = 1U << 20U;

policy::HealthOptions healthOptions()
{
    policy::HealthOptions options;
    options.minEjectionTime = std::chrono::seconds(2);
    options.maxEjectionTime = std::chrono::seconds(10);
    options.ejectionResetInterval = std::chrono::seconds(30);
    options.slowStartTime = std::chrono::seconds(3);
    return options;
}

std::string readSettingsText(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    text.resize(std::min(text.size(), maxSettingsBytes));
    return text;
}

/// \brief Connections of callers that the process has memory and descriptors for.
std::size_t maxCallerConnections(const settings::GatewaySettings& settings)
{
    auto limit
        = std::min(settings.callers.connections, settings.memoryBytes / connectionMemoryDivisor / bytesPerConnection);
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY)
        limit = std::min<std::size_t>(limit, descriptors.rlim_cur / 4 * callerDescriptorQuarters);
    return limit;
}

std::vector<std::string> zoneNames(const settings::GatewaySettings& settings)
{
    std::vector<std::string> names;
    for (const auto& [zone, region] : settings.zones)
        names.push_back(zone);
    return names;
}

NodeEntry selfEntry(const settings::GatewaySettings& settings, const std::string& incarnation)
{
    return { settings.nodeName, settings.zone, settings.region, settings.callerAddress.text(),
        settings.peerAddress.text(), false, incarnation };
}

} // namespace

Node::Node(std::shared_ptr<const settings::GatewaySettings> initialSettings, std::string file, const std::string& text)
    : settings(std::move(initialSettings))
    , settingsFile(std::move(file))
    , settingsText(text.substr(0, maxSettingsBytes))
    , context(1)
    , signals(this->context, SIGTERM, SIGHUP, SIGINT)
    , tickTimer(this->context)
    , storePool(this->context)
    , endpointPool(this->context)
    , platformStore(std::make_unique<platform::StoreClient>(this->storePool, this->settings->storeAddress.text()))
    , directStore(*this->platformStore, this->storeHealth, &this->metrics)
    , incarnation(core::randomHex(4))
    , nodeRegistry(this->context, this->directStore, this->storeHealth, selfEntry(*this->settings, this->incarnation),
          zoneNames(*this->settings))
    , peerPool(this->context)
    , peerClient(this->peerPool)
    , relayServer(this->directStore, this->storeHealth)
    , store(this->directStore, this->storeHealth, this->peerClient, this->nodeRegistry)
    , rowExpiry(this->store, this->storeHealth)
    , tableLayout(this->directStore, this->storeHealth, this->tableParts, this->settings->tableParts,
          { impl::turnTable, TokenBudgets::table, StreamVersionRows::table },
          { [this] { return this->nodeRegistry.statedTableParts(); },
              [this](std::uint64_t parts) { this->tableLayoutKnown(parts); } },
          std::random_device()())
    , sweeper(this->store, this->storeHealth, this->tableParts,
          { { impl::turnTable, impl::turnKeptUntilMs }, { TokenBudgets::table, TokenBudgets::keptUntilMs },
              { StreamVersionRows::table, StreamVersionRows::keptUntilMs } },
          std::random_device()())
    , tokenBudgets(this->context, this->store, this->storeHealth, this->rowExpiry, this->tableParts,
          this->settings->nodeName + ":" + this->incarnation)
    , turnStore(this->store, this->storeHealth, this->rowExpiry, this->tableParts,
          this->settings->memoryBytes / turnCacheMemoryDivisor,
          this->settings->rowBytes * base64DecodedBytes / base64EncodedBytes)
    , serviceVersions(this->store, this->storeHealth)
    , streamVersionRows(this->store, this->storeHealth, this->rowExpiry, this->tableParts)
    , endpointDirectory(healthOptions())
    , callerServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->gateway.handleRequest(connection, std::move(request), core::monotonicNow());
           },
              [this](transport::ConnectionId connection) {
                  this->gateway.handleDisconnect(connection, core::monotonicNow());
              },
              [this](transport::ConnectionId connection) {
                  this->gateway.handleDrained(connection, core::monotonicNow());
              } })
    , readinessServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->respondToReady(connection, request);
           },
              [](transport::ConnectionId) {} })
    , entryServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->respondToEntry(connection, request);
           },
              [](transport::ConnectionId) {} })
    , metricsServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               if (platform::isRouteQuery(request))
                   this->respondToRouteQuery(connection, request);
               else
                   this->respondToMetrics(connection);
           },
              [](transport::ConnectionId) {} })
    , peerServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->serveToPeer(connection, request);
           },
              [this](transport::ConnectionId connection) { this->exchangeRelayServer.handleDisconnect(connection); },
              [this](transport::ConnectionId connection) { this->exchangeRelayServer.handleDrained(connection); } })
    , relayedExchanges(this->peerPool, this->nodeRegistry, this->endpointDirectory)
    , endpointExchanges(
          { this->context, this->endpointPool, this->relayedExchanges, this->endpointDirectory, this->metrics },
          this->settings->zone, std::random_device()())
    , exchangeRelayServer({ this->context, this->peerServer, this->endpointPool, this->endpointExchanges,
                              this->endpointDirectory, this->metrics },
          this->settings->memoryBytes / relayMemoryDivisor)
    , outageBuckets(
          this->directStore, this->storeHealth, this->nodeRegistry, this->settings->nodeName + ":" + this->incarnation)
    , peerService({ this->peerClient, this->peerServer, this->tokenBudgets, this->turnStore, this->nodeRegistry,
          this->relayServer, this->outageBuckets })
    , lossTracker(this->context, this->endpointPool, this->store, this->storeHealth, this->rowExpiry)
    , configurationProof(this->settings->revocationBound)
    , quotaService({ this->peerClient, this->peerService, this->nodeRegistry },
          this->settings->nodeName + ":" + this->incarnation, this->settings->zone,
          { this->settings->quota.window, this->settings->quota.overshoot, this->settings->quota.slackCalls })
    , gateway({ this->context, this->callerServer, this->endpointExchanges, this->endpointDirectory, this->turnStore,
                  this->peerService, this->lossTracker, this->storeHealth, this->serviceVersions,
                  this->streamVersionRows, this->metrics, this->configurationProof, this->quotaService },
          { this->settings->zone, this->settings->region, this->settings->zones, 1 }, std::random_device()(),
          std::max(this->settings->memoryBytes / responseMemoryDivisor, minResponseMemoryBytes))
    , configurationWatch(this->context, this->directStore, this->storeHealth, std::string(platform::configurationTable),
          { [this](const Row& row) { this->configurationChanged(row); },
              [this](const std::string& key) {
                  if (key == platform::configurationKey)
                      this->configurationRejected = true;
              },
              [this](core::BootTimePoint sentAt) { this->configurationConfirmed(sentAt); } })
    , endpointWatch(this->context, this->directStore, this->storeHealth, std::string(platform::endpointTable),
          { [this](const Row& row) { this->endpointChanged(row); },
              [this](const std::string& id) { this->endpointDirectory.remove(id, core::monotonicNow()); } })
    , lossWatch(this->context, this->directStore, this->storeHealth, std::string(EndpointLossTracker::table),
          { [this](const Row& row) { this->lossTracker.rowChanged(row, core::monotonicNow()); },
              [](const std::string&) {} })
{
    core::recordSignalTime(SIGTERM);
    core::recordSignalTime(SIGINT);
}

Node::~Node() = default;

std::string Node::run()
{
    const auto listen = [](transport::Server& server, const document::Address& address) {
        const auto failure = server.listen(address.ip, address.port);
        return failure.empty() ? failure : address.text() + ": " + failure;
    };
    for (const auto& failure : { listen(this->callerServer, this->settings->callerAddress),
             listen(this->readinessServer, this->settings->readyAddress),
             listen(this->entryServer, this->settings->entryAddress),
             listen(this->metricsServer, this->settings->metricsAddress),
             listen(this->peerServer, this->settings->peerAddress) }) {
        if (!failure.empty())
            return failure;
    }
    core::logInfo("node_started")
        .with("version", LAGOONTILLER_VERSION)
        .with("zone", this->settings->zone)
        .with("callers", this->settings->callerAddress.text())
        .with("store", this->settings->storeAddress.text());
    this->nodeRegistry.setRateLimitHandler([this](const RateLimitReport& report) {
        const auto now = core::monotonicNow();
        if (const auto* const endpoint = this->endpointDirectory.find(report.endpoint))
            this->gateway.rateLimits().merge(endpoint->entry, report, this->storeHealth.storeTimeMs(now), now);
    });
    this->peerService.setQuotaHandler(
        [this](const wire::PeerRequest& message) { return this->quotaService.serve(message, core::monotonicNow()); });
    this->peerService.setLongPromptHandler(
        [this](const LongPromptNotice& notice) { this->gateway.handleLongPrompt(notice, core::monotonicNow()); });
    this->endpointExchanges.setPathsLostHandler([this](core::TimePoint now) {
        this->exchangeRelayServer.handlePathsLost();
        this->gateway.handlePathsLost(now);
    });
    this->lossTracker.setPathCheck(
        [this](core::TimePoint now) { return this->endpointExchanges.paths().wereLostWithin(lossProofInterval, now); });
    this->endpointWatch.start();
    this->lossWatch.start();
    this->nodeRegistry.start();
    this->tableLayout.tick(core::monotonicNow());
    this->waitForSignal();
    this->tick();
    this->context.run();
    core::logInfo("node_stopped");
    core::flushLogs();
    return {};
}

void Node::tableLayoutKnown(std::uint64_t parts)
{
    this->nodeRegistry.setTableParts(parts);
    this->metrics.set("gateway_table_parts", {}, static_cast<double>(parts));
    // Without a configuration, the node is not ready and refuses all calls: none needs a row before this.
    this->configurationWatch.start();
}

void Node::configurationChanged(const Row& row)
{
    if (row.key.key != platform::configurationKey)
        return;
    const auto configuration = platform::decodeConfiguration(row.value);
    this->configurationRejected = !configuration.has_value();
    if (!configuration) {
        core::logError("configuration_rejected")
            .with("row_version", row.version)
            .with("bytes", row.value.size())
            .with("field", configuration.error());
        return;
    }
    core::logInfo("configuration_in_force")
        .with("version", configuration->version)
        .with("row_version", row.version)
        .with("routes", configuration->routes.size())
        .with("services", configuration->services.size())
        .with("accounts", configuration->accounts.size());
    if (const auto wait = this->configurationProof.pollWait(); wait && !configuration->accounts.empty())
        this->configurationWatch.setPollWait(*wait);
    transport::ServerLimits limits;
    limits.message = { configuration->limits.headerBytes, configuration->limits.bodyBytes };
    limits.headerTimeout = configuration->limits.headerTimeout;
    limits.idleTimeout = configuration->limits.idleTimeout;
    limits.maxConnections = maxCallerConnections(*this->settings);
    this->callerServer.setLimits(limits);
    // One request of the maximum size fits beside small ones, however small the limit is.
    transport::ServerMemoryLimits memory;
    memory.requestBytes = std::max(this->settings->memoryBytes / requestMemoryDivisor,
        (1 + copiesPerBody) * limits.message.maxBodyBytes + minResponseMemoryBytes);
    memory.smallRequestReserveBytes = memory.requestBytes / smallRequestReserveDivisor;
    memory.copiesPerBody = copiesPerBody;
    memory.outputBytes = std::max(this->settings->memoryBytes / outputMemoryDivisor, minResponseMemoryBytes);
    memory.connectionOutputBytes = this->settings->callers.unreadBytes;
    memory.stallTime = this->settings->callers.uploadStall;
    this->callerServer.setMemoryLimits(memory);
    transport::ServerMemoryLimits peerMemory;
    peerMemory.connectionOutputBytes = memory.connectionOutputBytes;
    this->peerServer.setMemoryLimits(peerMemory);
    this->gateway.configure(std::make_shared<const Configuration>(*configuration), core::monotonicNow());
    this->configured = true;
    this->updateReady();
}

void Node::configurationConfirmed(core::BootTimePoint sentAt)
{
    if (this->configurationRejected)
        this->configurationProof.withdraw();
    else
        this->configurationProof.confirm(sentAt);
}

void Node::endpointChanged(const Row& row)
{
    const auto now = core::monotonicNow();
    if (const auto endpoint = platform::decodeEndpoint(row.key.key, row.value))
        this->endpointDirectory.upsert(*endpoint, now);
    else
        this->endpointDirectory.remove(row.key.key, now);
}

bool Node::ready() const
{
    return this->configured && this->endpointWatch.synchronised() && !this->stopSchedule;
}

void Node::updateReady()
{
    this->nodeRegistry.setReady(this->ready());
}

void Node::respondToEntry(transport::ConnectionId connection, const transport::Request& request)
{
    const auto query = platform::decodeEntryQuery(request);
    if (!query) {
        this->entryServer.respond(connection, transport::statusLine(404), {});
        return;
    }
    this->nodeRegistry.refreshZone(query->zone, core::monotonicNow(), [this, connection, query] {
        const auto addresses = this->nodeRegistry.addressesFor(query->zone, query->region, maxEntryAddresses);
        if (addresses.empty()) {
            this->entryServer.respond(connection, transport::statusLine(503), {});
            return;
        }
        auto head = transport::statusLine(200);
        transport::appendField(head, "Content-Type", "application/json");
        this->entryServer.respond(connection, head,
            platform::encodeEntryResponse(addresses, std::min(maxEntryValidity, this->settings->entryValidity)));
    });
}

void Node::respondToReady(transport::ConnectionId connection, const transport::Request& request)
{
    const int status = !platform::isReadinessRequest(request) ? 404 : (this->ready() ? 200 : 503);
    this->readinessServer.respond(connection, transport::statusLine(status), {});
}

void Node::respondToMetrics(transport::ConnectionId connection)
{
    auto head = transport::statusLine(200);
    transport::appendField(head, "Content-Type", "text/plain; version=0.0.4");
    this->metricsServer.respond(connection, head, this->metrics.text());
}

void Node::respondToRouteQuery(transport::ConnectionId connection, const transport::Request& request)
{
    const auto respond = [this, connection](int status, const nlohmann::json& body) {
        auto head = transport::statusLine(status);
        transport::appendField(head, "Content-Type", "application/json");
        this->metricsServer.respond(
            connection, head, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    };
    if (request.method != "POST") {
        respond(405, { { "error", { { "message", "a route query is a POST request" } } } });
        return;
    }
    auto call = platform::decodeRouteQuery(request.body);
    if (!call) {
        respond(400, { { "error", { { "message", call.error() } } } });
        return;
    }
    const auto explanation = this->gateway.explain(std::move(*call), core::monotonicNow());
    // A query tells whether a key is valid, as a request does, so it leaves a line in the log as well.
    const bool isSent = explanation.outcome() == RouteOutcome::Sent;
    core::logInfo("route_explained")
        .with("route", explanation.route)
        .with("account", explanation.account ? explanation.account->name : std::string())
        .with("outcome", toString(explanation.outcome()))
        .with("cause", isSent ? std::string() : explanation.rejection().cause);
    respond(200, toJson(explanation));
}

void Node::waitForSignal()
{
    this->signals.async_wait([this](asio::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            this->reloadSettings();
        else
            this->stop(signal);
        this->waitForSignal();
    });
}

void Node::reloadSettings()
{
    if (this->settingsFile == "-")
        return; // Settings from standard input can't be read again.
    auto text = readSettingsText(this->settingsFile);
    if (text == this->settingsText)
        return;
    const auto result = settings::parseGateway(text);
    this->settingsText = std::move(text);
    if (!result.settings) {
        core::logError("settings_rejected").with("faults", result.faults.size());
        return;
    }
    // Addresses, names and the table layout keep their values from start-up; limits are read where they are used.
    if (result.settings->tableParts != this->settings->tableParts)
        this->tableLayout.compareWithSetting(result.settings->tableParts);
    this->settings = result.settings;
    core::logInfo("settings_reloaded");
}

void Node::tick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const auto now = core::monotonicNow();
        this->tableLayout.tick(now);
        this->endpointExchanges.tick(now);
        this->gateway.tick(now);
        this->peerService.tick(now);
        this->quotaService.tick(now);
        if (this->stopSchedule)
            this->continueStop(*this->stopSchedule, now);
        if (now >= this->nextPeriodicTasksAt)
            this->runPeriodicTasks(now);
        core::flushLogs();
        this->tick();
    });
}

void Node::runPeriodicTasks(core::TimePoint now)
{
    constexpr core::Duration interval = std::chrono::milliseconds(250);
    this->nextPeriodicTasksAt = now + interval;
    this->tokenBudgets.tick(
        now, [this, now](const std::string& program) { return this->peerService.isHome(program, now); });
    this->store.tick(now);
    this->rowExpiry.tick(now);
    this->sweeper.tick(now);
    if (this->configured)
        this->outageBuckets.tick(now);
    // The store may refuse this node and serve its peers.
    if (this->gateway.requiresKeys() && this->storeHealth.failing()
        && this->configurationProof.isOverdue(core::BootClock::now()))
        this->configurationWatch.readThrough(this->store);
    this->endpointDirectory.tick(now);
    this->gateway.updateServiceVersions(now);
    this->lossTracker.tick(now);
    this->streamVersionRows.setNodeCount(this->nodeRegistry.size());
    this->streamVersionRows.tick(now);
    this->gateway.rateLimits().setMembers(this->nodeRegistry.members(now), now);
    this->nodeRegistry.setRateLimits(this->gateway.rateLimits().reports(now));
    this->metrics.set(
        "gateway_endpoints_limited", {}, static_cast<double>(this->gateway.rateLimits().limitedEndpoints(now)));
    this->gateway.setLongPromptTokens(this->settings->longPromptTokens);
    this->gateway.setReadyNodesInZone(static_cast<double>(this->nodeRegistry.readyNodesInZone()));
    this->updateReady();
    this->reloadSettings();
    this->metrics.set("gateway_calls_in_progress", {}, static_cast<double>(this->gateway.callsInProgress()));
    this->metrics.set("gateway_request_bytes", {}, static_cast<double>(this->callerServer.heldRequestBytes()));
    this->metrics.set("gateway_output_bytes", {}, static_cast<double>(this->callerServer.queuedOutputBytes()));
    this->metrics.set("gateway_extra_responses", { { "from", "endpoints" } },
        static_cast<double>(this->endpointPool.skippedResponses()));
    this->metrics.set("gateway_store_lost", {}, this->storeHealth.unreachable() ? 1 : 0);
}

} // namespace lagoontiller::gateway
