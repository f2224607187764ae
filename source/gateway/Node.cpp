#include "gateway/Node.h"

#include "core/Encoding.h"
#include "core/Log.h"
#include "gateway/impl/TurnRows.h"
#include "platform/EntryMessages.h"
#include "platform/Records.h"
#include "platform/StoreClient.h"

#include <csignal>
#include <fstream>
#include <iterator>

namespace lagoontiller::gateway {

namespace {

/// \brief Part of the process's memory for histories; connections and requests in progress need the rest.
constexpr std::size_t historyMemoryDivisor = 6;
/// \brief Base64 makes three bytes out of four; the record around the texts needs some of the rest.
constexpr std::size_t encodedNumerator = 3;
constexpr std::size_t encodedDenominator = 4;
/// \brief Time for which an entry answer is kept by callers: short, so that a node that ended is left out soon.
constexpr core::Duration entryValidity = std::chrono::milliseconds(2'000);
constexpr std::size_t mostEntryAddresses = 64;
/// \brief Callers that hold an older entry answer still connect for this long after SIGTERM.
constexpr core::Duration shortestStop = std::chrono::milliseconds(3'000);
/// \brief Reserve before the forced end: the last answers are cut by this process and not by the signal.
constexpr core::Duration stopReserve = std::chrono::milliseconds(400);
constexpr core::Duration lateAccept = std::chrono::milliseconds(1'500);
/// \brief Largest settings file that is read.
constexpr std::size_t maximumSettingsBytes = 1U << 20U;

policy::HealthOptions healthOptions()
{
    policy::HealthOptions options;
    options.minEjectionTime = std::chrono::seconds(2);
    options.maxEjectionTime = std::chrono::seconds(10);
    options.ejectionResetInterval = std::chrono::seconds(30);
    options.slowStartTime = std::chrono::seconds(3);
    return options;
}

std::string readText(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    text.resize(std::min(text.size(), maximumSettingsBytes));
    return text;
}

std::vector<std::string> zoneNames(const settings::GatewaySettings& settings)
{
    std::vector<std::string> names;
    for (const auto& [zone, region] : settings.zones)
        names.push_back(zone);
    return names;
}

NodeEntry selfEntry(const settings::GatewaySettings& settings)
{
    return { settings.nodeName, settings.zone, settings.region, settings.callerAddress.text(),
        settings.peerAddress.text(), false };
}

} // namespace

Node::Node(std::shared_ptr<const settings::GatewaySettings> given, std::string file)
    : settings(std::move(given))
    , settingsFile(std::move(file))
    , settingsText(readText(this->settingsFile))
    , context(1)
    , signals(this->context, SIGTERM, SIGHUP, SIGINT)
    , tickTimer(this->context)
    , storePool(this->context)
    , endpointPool(this->context)
    , platformStore(std::make_unique<platform::StoreClient>(this->storePool, this->settings->storeAddress.text()))
    , direct(*this->platformStore, this->contact, &this->metrics)
    , roster(this->context, this->direct, this->contact, selfEntry(*this->settings), zoneNames(*this->settings))
    , peerPool(this->context)
    , peerLink(this->peerPool)
    , relayServer(this->direct, this->contact)
    , store(this->direct, this->contact, this->peerLink, this->roster)
    , expiry(this->store, this->contact)
    , sweeper(this->store, this->contact,
          { { impl::turnTable, impl::turnParts, impl::turnKeptUntil },
              { Budgets::table, Budgets::parts, Budgets::keptUntil } },
          std::random_device()())
    , budgets(
          this->context, this->store, this->contact, this->expiry, this->settings->nodeName + ":" + core::randomHex(4))
    , histories(this->store, this->contact, this->expiry, this->settings->memoryBytes / historyMemoryDivisor,
          this->settings->rowBytes * encodedNumerator / encodedDenominator)
    , directory(healthOptions())
    , callers(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->gateway.arrive(connection, std::move(request), core::monotonicNow());
           },
              [this](transport::ConnectionId connection) { this->gateway.gone(connection, core::monotonicNow()); } })
    , readiness(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->answerReady(connection, request);
           },
              [](transport::ConnectionId) {} })
    , entry(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->answerEntry(connection, request);
           },
              [](transport::ConnectionId) {} })
    , metricsServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&&) { this->answerMetrics(connection); },
              [](transport::ConnectionId) {} })
    , peerServer(this->context,
          { [this](transport::ConnectionId connection, transport::Request&& request) {
               this->peers.serve(connection, request, core::monotonicNow());
           },
              [](transport::ConnectionId) {} })
    , peers({ this->peerLink, this->peerServer, this->budgets, this->histories, this->roster, this->relayServer })
    , losses(this->context, this->endpointPool, this->store, this->contact, this->expiry)
    , gateway({ this->context, this->callers, this->endpointPool, this->directory, this->histories, this->peers,
                  this->losses, this->contact, this->metrics },
          { this->settings->zone, this->settings->region, this->settings->zones, 1 }, std::random_device()())
    , configurationWatch(this->context, this->direct, this->contact, std::string(platform::configurationTable),
          { [this](const Row& row) { this->configurationChanged(row); }, [](const std::string&) {} })
    , endpointWatch(this->context, this->direct, this->contact, std::string(platform::endpointTable),
          { [this](const Row& row) { this->endpointChanged(row); },
              [this](const std::string& id) { this->directory.remove(id, core::monotonicNow()); } })
    , lossWatch(this->context, this->direct, this->contact, std::string(Losses::table),
          { [this](const Row& row) { this->losses.changed(row, core::monotonicNow()); }, [](const std::string&) {} })
{
}

Node::~Node() = default;

std::string Node::run()
{
    const auto listen = [](transport::Server& server, const document::Address& address) {
        const auto failure = server.listen(address.ip, address.port);
        return failure.empty() ? failure : address.text() + ": " + failure;
    };
    for (const auto& failure : { listen(this->callers, this->settings->callerAddress),
             listen(this->readiness, this->settings->readyAddress), listen(this->entry, this->settings->entryAddress),
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
    this->configurationWatch.start();
    this->endpointWatch.start();
    this->lossWatch.start();
    this->roster.start();
    this->waitForSignal();
    this->tick();
    this->context.run();
    core::logInfo("node_stopped");
    core::flushLogs();
    return {};
}

void Node::configurationChanged(const Row& row)
{
    if (row.key.key != platform::configurationKey)
        return;
    const auto configuration = platform::decodeConfiguration(row.value);
    if (!configuration)
        return;
    core::logInfo("configuration_in_force")
        .with("version", configuration->version)
        .with("row_version", row.version)
        .with("routes", configuration->routes.size())
        .with("services", configuration->services.size());
    transport::ServerLimits limits;
    limits.message = { configuration->limits.headerBytes, configuration->limits.bodyBytes };
    limits.headerTimeout = configuration->limits.headerTimeout;
    limits.idleTimeout = configuration->limits.idleTimeout;
    this->callers.setLimits(limits);
    this->gateway.configure(std::make_shared<const Configuration>(*configuration));
    this->configured = true;
    this->updateReady();
}

void Node::endpointChanged(const Row& row)
{
    const auto now = core::monotonicNow();
    if (const auto endpoint = platform::decodeEndpoint(row.key.key, row.value))
        this->directory.upsert(*endpoint, now);
    else
        this->directory.remove(row.key.key, now);
}

bool Node::ready() const
{
    return this->configured && this->endpointWatch.synchronised() && !this->stopping;
}

void Node::updateReady()
{
    this->roster.setReady(this->ready());
}

void Node::answerEntry(transport::ConnectionId connection, const transport::Request& request)
{
    const auto question = platform::decodeEntryQuestion(request);
    if (!question) {
        this->entry.respond(connection, transport::statusLine(404), {});
        return;
    }
    const auto addresses = this->roster.addressesFor(question->zone, question->region, mostEntryAddresses);
    if (addresses.empty()) {
        this->entry.respond(connection, transport::statusLine(503), {});
        return;
    }
    auto head = transport::statusLine(200);
    transport::appendField(head, "Content-Type", "application/json");
    this->entry.respond(connection, head,
        platform::encodeEntryAnswer(addresses, std::min(entryValidity, this->settings->entryValidity)));
}

void Node::answerReady(transport::ConnectionId connection, const transport::Request& request)
{
    const int status = !platform::isReadyQuestion(request) ? 404 : (this->ready() ? 200 : 503);
    this->readiness.respond(connection, transport::statusLine(status), {});
}

void Node::answerMetrics(transport::ConnectionId connection)
{
    auto head = transport::statusLine(200);
    transport::appendField(head, "Content-Type", "text/plain; version=0.0.4");
    this->metricsServer.respond(connection, head, this->metrics.text());
}

void Node::waitForSignal()
{
    this->signals.async_wait([this](asio::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            this->reload();
        else
            this->stop();
        this->waitForSignal();
    });
}

void Node::reload()
{
    auto text = readText(this->settingsFile);
    if (text == this->settingsText)
        return;
    const auto result = settings::parseGateway(text);
    this->settingsText = std::move(text);
    if (!result.settings) {
        core::logError("settings_rejected").with("faults", result.faults.size());
        return;
    }
    // Addresses and names stay those of the start; limits are read where they are used.
    this->settings = result.settings;
    core::logInfo("settings_reloaded");
}

void Node::stop()
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->stopAt = core::monotonicNow();
    core::logInfo("node_stopping").with("in_progress", this->gateway.inProgress());
    this->updateReady();
    this->callers.startDraining();
    this->peers.startDraining();
}

void Node::checkStopped()
{
    const auto elapsed = core::monotonicNow() - this->stopAt;
    const auto latest = this->settings->stopGrace - stopReserve;
    if (elapsed > latest - lateAccept)
        this->callers.stopAccepting();
    const bool idle = this->gateway.inProgress() == 0;
    this->budgets.release();
    if ((idle && elapsed > std::min(shortestStop, latest)) || elapsed > latest) {
        core::logInfo("node_leaving")
            .with("in_progress", this->gateway.inProgress())
            .with("after_ms", elapsed.count() / 1'000);
        if (this->left)
            this->context.stop();
        // The row is removed before the next tick ends the process; a lost call leaves the row to the other nodes.
        this->left = true;
        this->roster.leave();
    }
}

void Node::tick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const auto now = core::monotonicNow();
        this->gateway.tick(now);
        this->peers.tick(now);
        if (this->stopping)
            this->checkStopped();
        if (now >= this->nextSecond)
            this->everySecond(now);
        core::flushLogs();
        this->tick();
    });
}

void Node::everySecond(core::TimePoint now)
{
    constexpr core::Duration interval = std::chrono::milliseconds(250);
    this->nextSecond = now + interval;
    this->budgets.tick(now, [this, now](const std::string& program) { return this->peers.isHome(program, now); });
    this->store.tick(now);
    this->expiry.tick(now);
    this->sweeper.tick(now);
    this->directory.tick(now);
    this->losses.tick(now);
    this->gateway.setDeciders(static_cast<double>(this->roster.zoneSize()));
    this->updateReady();
    this->reload();
    this->metrics.set("gateway_calls_in_progress", {}, static_cast<double>(this->gateway.inProgress()));
    this->metrics.set("gateway_store_lost", {}, this->contact.lost() ? 1 : 0);
}

} // namespace lagoontiller::gateway
