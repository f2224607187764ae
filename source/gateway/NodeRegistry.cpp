#include "gateway/NodeRegistry.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "gateway/TableParts.h"
#include "proto/gateway.pb.h"

#include <algorithm>
#include <cmath>

namespace lagoontiller::gateway {

namespace {

/// \brief Minimum heartbeat interval; a fifth of the maximum time for which callers cache an address (5 s).
constexpr core::Duration minHeartbeatInterval = std::chrono::milliseconds(1'000);
/// \brief Longest interval that another node may announce.
constexpr core::Duration maxHeartbeatInterval = std::chrono::minutes(1);
/// \brief Heartbeats per second of all nodes together; a quarter of the write rate of the smallest store (800 per
/// second).
constexpr std::size_t maxHeartbeatsPerSecond = 200;
/// \brief Heartbeat interval while the store does not respond; the heartbeat also probes whether the store has
/// recovered.
constexpr core::Duration outageHeartbeatInterval = std::chrono::milliseconds(300);
/// \brief A node is dead after two missed heartbeats and the time of a read, in tenths of its heartbeat interval.
constexpr int deadAfterIntervalTenths = 26;

/// \brief Time without heartbeats after which the row of a node is removed; a node that recovers writes it again.
constexpr core::Duration deadNodeRetention = std::chrono::minutes(5);
/// \brief Heartbeats between two reads of another zone. These reads only serve callers of zones without nodes.
constexpr std::uint32_t heartbeatsPerOtherZoneRead = 4;
/// \brief Age up to which the state of another zone is used for an entry answer without reading it again.
constexpr core::Duration maxEntryStateAge = std::chrono::milliseconds(500);
/// \brief Maximum time of that read; callers wait one second for an entry answer.
constexpr core::Duration maxRefreshTime = std::chrono::milliseconds(400);

/// \brief Time without heartbeats for which a failed node of this zone still counts as a member: it may only be unable
/// to reach the store.
constexpr core::Duration memberRetention = std::chrono::seconds(8);
/// \brief Maximum number of rate limits in a row; a node reports only those that it has seen last.
constexpr std::size_t maxRateLimitReports = 128;
constexpr std::size_t maxEndpointNameBytes = 200;

std::string encode(const NodeEntry& entry, std::uint64_t heartbeat, core::Duration interval, std::uint64_t writtenAtMs,
    const std::vector<RateLimitReport>& rateLimits)
{
    wire::NodeRecord record;
    record.set_name(entry.name);
    record.set_zone(entry.zone);
    record.set_region(entry.region);
    record.set_address(entry.address);
    record.set_peer_address(entry.peerAddress);
    record.set_ready(entry.ready);
    record.set_heartbeat(heartbeat);
    record.set_interval_ms(static_cast<std::uint64_t>(interval.count() / 1'000));
    record.set_written_at_ms(writtenAtMs);
    record.set_incarnation(entry.incarnation);
    record.set_awaits_table_parts(!entry.tableParts);
    record.set_table_parts(entry.tableParts.value_or(0));
    for (const auto& report : rateLimits) {
        if (static_cast<std::size_t>(record.rate_limits_size()) == maxRateLimitReports)
            break;
        auto* const added = record.add_rate_limits();
        added->set_endpoint(report.endpoint);
        added->set_started_at_ms(report.startedAt);
        if (report.perSecond)
            added->set_per_second(*report.perSecond);
        added->set_observed_at_ms(report.observedAtMs);
    }
    return record.SerializeAsString();
}

/// \brief The report; empty if no node writes such a record.
std::optional<RateLimitReport> decode(const wire::RateLimitRecord& record)
{
    const bool valid = !record.endpoint().empty() && record.endpoint().size() <= maxEndpointNameBytes
        && (!record.has_per_second() || (std::isfinite(record.per_second()) && record.per_second() >= 0));
    if (!valid)
        return std::nullopt;
    return RateLimitReport { record.endpoint(), record.started_at_ms(),
        record.has_per_second() ? std::optional(record.per_second()) : std::nullopt, record.observed_at_ms() };
}

/// \brief Number of table parts that the node uses: nodes of versions that do not state it have no choice.
std::optional<std::uint64_t> tableParts(const wire::NodeRecord& record)
{
    if (record.awaits_table_parts())
        return std::nullopt;
    return record.table_parts() == 0 ? TableParts::legacyCount : record.table_parts();
}

/// \brief Whether the record is that of the node whose row contains it, with values in the range that nodes write.
bool isValid(const wire::NodeRecord& record, const RowKey& key)
{
    const auto maxIntervalMs = std::chrono::duration_cast<std::chrono::milliseconds>(maxHeartbeatInterval).count();
    return record.name() == key.key && record.zone() == key.part
        && record.interval_ms() <= static_cast<std::uint64_t>(maxIntervalMs);
}

} // namespace

NodeRegistry::NodeRegistry(asio::io_context& context, RowStore& store, StoreHealth& storeHealth, NodeEntry self,
    std::vector<std::string> zones)
    : store(store)
    , storeHealth(storeHealth)
    , self(std::move(self))
    , zones(std::move(zones))
    , timer(context)
    , random(static_cast<unsigned>(core::hash64(this->self.name)))
{
}

void NodeRegistry::start()
{
    for (const auto& zone : this->zones)
        this->readZone(zone);
    this->sendHeartbeat();
}

void NodeRegistry::setReady(bool ready)
{
    if (this->self.ready == ready)
        return;
    this->self.ready = ready;
    core::logInfo("node_state").with("ready", ready ? "yes" : "no");
    this->writeRow();
}

void NodeRegistry::noteStopping(const std::string& name, const std::string& incarnation)
{
    const auto found = this->knownNodes.find(name);
    if (found == this->knownNodes.end() || incarnation.empty() || name == this->self.name)
        return;
    auto& node = found->second;
    node.stoppingIncarnation = incarnation;
    if (node.entry.incarnation == incarnation)
        node.entry.ready = false;
}

void NodeRegistry::deregister()
{
    this->deregistered = true;
    this->timer.cancel();
    RowTransaction transaction;
    const RowKey key { table, this->self.zone, this->self.name };
    transaction.conditions.push_back({ key, this->ownVersion });
    transaction.removes.push_back(key);
    this->store.transact(
        std::move(transaction), this->storeHealth.callTimeout(), [](const StoreResult<TransactionResult>& result) {
            if (!result)
                core::logWarning("node_row_not_removed");
        });
}

void NodeRegistry::sendHeartbeat()
{
    if (this->deregistered)
        return;
    this->writeRow();
    this->readZone(this->self.zone);
    if (++this->heartbeatRounds % heartbeatsPerOtherZoneRead == 0 && !this->zones.empty()) {
        this->nextZone = (this->nextZone + 1) % this->zones.size();
        if (this->zones[this->nextZone] != this->self.zone)
            this->readZone(this->zones[this->nextZone]);
    }
    std::uniform_int_distribution<int> jitter(-100, 100);
    const auto interval
        = this->storeHealth.unreachable() ? outageHeartbeatInterval : heartbeatInterval(this->knownNodes.size());
    this->timer.expires_after(interval + std::chrono::milliseconds(jitter(this->random)));
    this->timer.async_wait([this](asio::error_code error) {
        if (!error)
            this->sendHeartbeat();
    });
}

void NodeRegistry::writeRow()
{
    if (this->deregistered)
        return;
    RowTransaction transaction;
    transaction.puts.push_back({ { table, this->self.zone, this->self.name },
        encode(this->self, ++this->heartbeat, heartbeatInterval(this->knownNodes.size()),
            this->storeHealth.knowsStoreTime() ? this->storeHealth.storeTimeMs(core::monotonicNow()) : 0,
            this->rateLimits),
        0, false });
    this->store.transact(
        std::move(transaction), this->storeHealth.callTimeout(), [this](const StoreResult<TransactionResult>& result) {
            // A failed write is repeated by the next heartbeat; StoreHealth logs the failure.
            if (result)
                this->ownVersion = result->version;
        });
}

void NodeRegistry::readZone(const std::string& zone)
{
    RowRange range;
    range.table = table;
    range.part = zone;
    this->store.read(range, this->storeHealth.callTimeout(),
        [this, zone](const StoreResult<RowPage>& page) { this->zoneRead(zone, page); });
}

void NodeRegistry::refreshZone(const std::string& zone, core::TimePoint now, std::function<void()> done)
{
    const auto read = this->readAt.find(zone);
    const bool recent = read != this->readAt.end() && now - read->second <= maxEntryStateAge;
    const bool known = std::find(this->zones.begin(), this->zones.end(), zone) != this->zones.end();
    if (zone == this->self.zone || !known || recent || this->storeHealth.unreachable()) {
        done();
        return;
    }
    auto& waiters = this->refreshWaiters[zone];
    waiters.push_back(std::move(done));
    if (waiters.size() > 1)
        return;
    RowRange range;
    range.table = table;
    range.part = zone;
    const auto timeout = std::min(this->storeHealth.callTimeout(), maxRefreshTime);
    this->store.read(range, timeout, [this, zone](const StoreResult<RowPage>& page) {
        this->zoneRead(zone, page);
        for (const auto& waiter : std::exchange(this->refreshWaiters[zone], {}))
            waiter();
    });
}

void NodeRegistry::refreshOtherZones(core::TimePoint now, const std::function<void()>& done)
{
    const auto pending = std::make_shared<std::size_t>(this->zones.size());
    for (const auto& zone : this->zones) {
        this->refreshZone(zone, now, [pending, done] {
            if (--*pending == 0)
                done();
        });
    }
}

bool NodeRegistry::isOutdated(const KnownNode& node, core::TimePoint now) const
{
    const auto allowance = node.interval * deadAfterIntervalTenths / 10;
    if (node.entry.zone == this->self.zone || node.writtenAtMs == 0 || this->storeHealth.refusedWithin(allowance, now))
        return false;
    const auto allowanceMs = static_cast<std::uint64_t>(allowance.count() / 1'000);
    return this->storeHealth.storeTimeMs(now) > node.writtenAtMs + allowanceMs;
}

void NodeRegistry::zoneRead(const std::string& zone, const StoreResult<RowPage>& page)
{
    if (!page)
        return;
    const auto now = core::monotonicNow();
    const auto previous = this->readAt.contains(zone) ? this->readAt[zone] : now;
    const auto gap = now - previous;
    this->readAt[zone] = now;
    std::map<std::string, bool> present;
    for (const auto& row : page->rows) {
        present[row.key.key] = true;
        this->updateNode(row, now);
    }
    std::erase_if(this->knownNodes,
        [&](const auto& entry) { return entry.second.entry.zone == zone && !present.contains(entry.first); });
    const auto otherZone
        = zone == this->self.zone ? 0 : static_cast<int>(this->zones.size() * heartbeatsPerOtherZoneRead);
    for (auto& [name, node] : this->knownNodes) {
        if (node.entry.zone != zone)
            continue;
        const auto allowance = node.interval * deadAfterIntervalTenths / 10 + node.interval * otherZone;
        // After a gap without reads, a node gets another full interval before its heartbeat counts as missed.
        if (gap > allowance)
            node.changedAt = std::max(node.changedAt, now - node.interval);
        const bool alive = now - node.changedAt <= allowance && !this->isOutdated(node, now);
        if (alive != node.alive)
            core::logInfo("node_liveness").with("peer", name).with("alive", alive ? "yes" : "no");
        node.alive = alive;
        if (now - node.changedAt > deadNodeRetention)
            this->removeDeadNode(name, node);
    }
}

void NodeRegistry::removeDeadNode(const std::string& name, const KnownNode& node)
{
    const RowKey key { table, node.entry.zone, name };
    RowTransaction transaction;
    transaction.conditions.push_back({ key, node.version });
    transaction.removes.push_back(key);
    this->store.transact(
        std::move(transaction), this->storeHealth.callTimeout(), [name](const StoreResult<TransactionResult>& result) {
            core::logInfo("dead_node_removed")
                .with("peer", name)
                .with("removed", result && result->applied ? "yes" : "no");
        });
}

void NodeRegistry::updateNode(const Row& row, core::TimePoint now)
{
    if (const auto rejected = this->rejectedVersions.find(row.key.key);
        rejected != this->rejectedVersions.end() && rejected->second == row.version)
        return;
    wire::NodeRecord record;
    if (!record.ParseFromString(row.value) || !isValid(record, row.key)) {
        core::logWarning("node_row_unreadable").with("peer", row.key.key).with("bytes", row.value.size());
        this->rejectedVersions[row.key.key] = row.version;
        this->knownNodes.erase(row.key.key);
        return;
    }
    this->rejectedVersions.erase(row.key.key);
    auto& node = this->knownNodes[row.key.key];
    if (node.version == row.version)
        return;
    node.version = row.version;
    node.changedAt = now;
    node.interval = std::chrono::milliseconds(record.interval_ms());
    node.interval = std::max<core::Duration>(minHeartbeatInterval, node.interval);
    node.writtenAtMs = record.written_at_ms();
    node.entry = { record.name(), record.zone(), record.region(), record.address(), record.peer_address(),
        record.ready(), record.incarnation(), tableParts(record) };
    if (!node.stoppingIncarnation.empty() && node.stoppingIncarnation == node.entry.incarnation)
        node.entry.ready = false;
    if (!this->rateLimitReported || row.key.key == this->self.name)
        return;
    for (const auto& each : record.rate_limits()) {
        if (const auto report = decode(each))
            this->rateLimitReported(*report);
    }
}

std::vector<std::string> NodeRegistry::addressesFor(
    const std::string& zone, const std::string& region, std::size_t maxCount)
{
    std::vector<std::string> inZone;
    std::vector<std::string> inRegion;
    std::vector<std::string> all;
    const auto add = [&](const NodeEntry& entry) {
        if (!entry.ready)
            return;
        all.push_back(entry.address);
        if (entry.region == region)
            inRegion.push_back(entry.address);
        if (entry.zone == zone)
            inZone.push_back(entry.address);
    };
    add(this->self);
    for (const auto& [name, node] : this->knownNodes) {
        if (node.alive && name != this->self.name)
            add(node.entry);
    }
    auto& chosen = !inZone.empty() ? inZone : (!inRegion.empty() ? inRegion : all);
    if (chosen.size() > maxCount) {
        std::shuffle(chosen.begin(), chosen.end(), this->random);
        chosen.resize(maxCount);
    }
    return chosen;
}

core::Duration NodeRegistry::heartbeatInterval(std::size_t nodes) noexcept
{
    constexpr core::Duration second = std::chrono::seconds(1);
    return std::max<core::Duration>(minHeartbeatInterval, second * nodes / maxHeartbeatsPerSecond);
}

std::vector<ZonePeer> NodeRegistry::zonePeers() const
{
    std::vector<ZonePeer> peers;
    for (const auto& [name, node] : this->knownNodes) {
        if (node.alive && node.entry.ready && node.entry.zone == this->self.zone && name != this->self.name)
            peers.push_back({ node.entry.peerAddress, false });
    }
    // A node that is shutting down is not the home of any program as long as there is another node.
    if (this->self.ready || peers.empty())
        peers.push_back({ this->self.peerAddress, true });
    return peers;
}

std::vector<std::string> NodeRegistry::otherZonePeers() const
{
    std::vector<std::string> inRegion;
    std::vector<std::string> elsewhere;
    for (const auto& [name, node] : this->knownNodes) {
        if (!node.alive || !node.entry.ready || node.entry.zone == this->self.zone)
            continue;
        (node.entry.region == this->self.region ? inRegion : elsewhere).push_back(node.entry.peerAddress);
    }
    inRegion.insert(inRegion.end(), elsewhere.begin(), elsewhere.end());
    return inRegion;
}

std::vector<std::string> NodeRegistry::unreadyPeers() const
{
    std::vector<std::string> result;
    for (const auto& [name, node] : this->knownNodes) {
        if (node.alive && !node.entry.ready && name != this->self.name)
            result.push_back(node.entry.peerAddress);
    }
    return result;
}

bool NodeRegistry::hasPeers() const
{
    return std::any_of(this->knownNodes.begin(), this->knownNodes.end(),
        [this](const auto& node) { return node.second.alive && node.first != this->self.name; });
}

std::map<std::string, std::vector<std::string>> NodeRegistry::otherZones() const
{
    std::map<std::string, std::vector<std::string>> result;
    for (const auto& [name, node] : this->knownNodes) {
        if (node.alive && node.entry.ready && node.entry.zone != this->self.zone)
            result[node.entry.zone].push_back(node.entry.peerAddress);
    }
    return result;
}

ZoneMembers NodeRegistry::members(core::TimePoint now) const
{
    ZoneMembers result;
    result.self = this->self.name;
    result.nodesByZone[this->self.zone].push_back(this->self.name);
    for (const auto& [name, node] : this->knownNodes) {
        const bool recent = node.entry.zone == this->self.zone && now - node.changedAt <= memberRetention;
        if (name != this->self.name && (node.alive || recent))
            result.nodesByZone[node.entry.zone].push_back(name);
    }
    return result;
}

bool NodeRegistry::isAlive(const std::string& name, const std::string& incarnation) const
{
    const auto isSame = [&incarnation](const NodeEntry& entry) {
        return entry.incarnation.empty() || entry.incarnation == incarnation;
    };
    if (name == this->self.name)
        return isSame(this->self);
    const auto found = this->knownNodes.find(name);
    if (found == this->knownNodes.end())
        return this->readAt.size() < this->zones.size();
    return found->second.alive && isSame(found->second.entry);
}

std::optional<std::set<std::uint64_t>> NodeRegistry::statedTableParts() const
{
    if (this->readAt.size() < this->zones.size())
        return std::nullopt;
    std::set<std::uint64_t> stated;
    for (const auto& [name, node] : this->knownNodes) {
        if (name != this->self.name && node.entry.tableParts)
            stated.insert(*node.entry.tableParts);
    }
    return stated;
}

std::string NodeRegistry::peerAddress(const std::string& name) const
{
    const auto found = this->knownNodes.find(name);
    return found == this->knownNodes.end() ? std::string() : found->second.entry.peerAddress;
}

std::size_t NodeRegistry::readyNodesInZone() const
{
    std::size_t count = this->self.ready ? 1 : 0;
    for (const auto& [name, node] : this->knownNodes)
        count
            += node.alive && node.entry.ready && node.entry.zone == this->self.zone && name != this->self.name ? 1 : 0;
    return std::max<std::size_t>(count, 1);
}

} // namespace lagoontiller::gateway
