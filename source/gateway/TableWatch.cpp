#include "gateway/TableWatch.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Duration of a long poll. A connection that stopped responding is noticed after this time.
constexpr core::Duration watchTimeout = std::chrono::milliseconds(2'000);
constexpr core::Duration retryInterval = std::chrono::milliseconds(200);
/// \brief Rows that expired during a store outage are restored within 2 s after it (platform contract).
constexpr core::Duration reappearanceGrace = std::chrono::milliseconds(2'100);
constexpr core::Duration missingCheckInterval = std::chrono::milliseconds(250);

} // namespace

TableWatch::TableWatch(
    asio::io_context& context, RowStore& store, const StoreHealth& storeHealth, std::string table, TableEvents events)
    : store(store)
    , storeHealth(storeHealth)
    , table(std::move(table))
    , events(std::move(events))
    , retryTimer(context)
    , missingCheckTimer(context)
    , pollWait(watchTimeout)
{
}

void TableWatch::start()
{
    this->listedRows.clear();
    this->sentAt = core::BootClock::now();
    this->readPage({});
}

void TableWatch::confirm(core::BootTimePoint confirmedAsOf)
{
    this->confirmedTime = core::monotonicNow();
    if (this->events.confirmed)
        this->events.confirmed(confirmedAsOf);
}

void TableWatch::readThrough(RowStore& other)
{
    if (this->readsThrough)
        return;
    this->readsThrough = true;
    const auto readSentAt = core::BootClock::now();
    RowRange range;
    range.table = this->table;
    other.read(range, this->storeHealth.callTimeout(), [this, readSentAt](const StoreResult<RowPage>& page) {
        this->readsThrough = false;
        if (!page || page->more || page->version < this->version)
            return;
        const auto now = core::monotonicNow();
        for (const auto& row : page->rows)
            this->applyRow(row, now);
        this->confirm(readSentAt);
    });
}

void TableWatch::readPage(const std::string& from)
{
    RowRange range;
    range.table = this->table;
    range.from = from;
    this->store.read(range, this->storeHealth.callTimeout(),
        [this](StoreResult<RowPage> page) { this->handlePage(std::move(page)); });
}

void TableWatch::handlePage(StoreResult<RowPage> page)
{
    if (!page) {
        this->scheduleRestart();
        return;
    }
    if (this->listedRows.empty())
        this->listVersion = page->version;
    for (auto& row : page->rows)
        this->listedRows.insert_or_assign(row.key.key, row);
    if (page->more && !page->rows.empty()) {
        this->readPage(page->rows.back().key.key);
        return;
    }
    const auto now = core::monotonicNow();
    if (this->listVersion < this->version) {
        core::logInfo("stale_list_dropped").with("table", this->table).with("version", this->listVersion);
        this->scheduleRestart();
        return;
    }
    for (const auto& [key, row] : this->listedRows)
        this->applyRow(row, now);
    std::vector<std::string> missing;
    for (const auto& [key, version] : this->knownVersions) {
        if (!this->listedRows.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        this->markMissing(key, now);
    this->listedRows.clear();
    this->version = this->listVersion;
    if (!this->hasListed)
        core::logInfo("table_listed").with("table", this->table).with("rows", this->knownVersions.size());
    this->hasListed = true;
    this->confirm(this->sentAt);
    this->waitForChanges();
}

void TableWatch::waitForChanges()
{
    this->sentAt = core::BootClock::now();
    this->store.watch(this->table, this->version, this->pollWait,
        [this](StoreResult<RowPage> page) { this->handleChanges(std::move(page)); });
}

void TableWatch::handleChanges(StoreResult<RowPage> page)
{
    if (!page) {
        if (page.error() == StoreFailure::HistoryGone)
            core::logInfo("history_gone").with("table", this->table).with("version", this->version);
        this->scheduleRestart();
        return;
    }
    const auto now = core::monotonicNow();
    for (const auto& row : page->rows) {
        if (!row.key.part.empty())
            continue;
        if (row.removed)
            this->markMissing(row.key.key, now);
        else
            this->applyRow(row, now);
    }
    this->version = std::max(this->version, page->version);
    this->confirm(this->sentAt);
    this->waitForChanges();
}

void TableWatch::applyRow(const Row& row, core::TimePoint)
{
    this->missingUntil.erase(row.key.key);
    auto& version = this->knownVersions[row.key.key];
    if (version >= row.version)
        return;
    version = row.version;
    this->events.changed(row);
}

void TableWatch::markMissing(const std::string& key, core::TimePoint now)
{
    if (!this->knownVersions.contains(key) || this->missingUntil.contains(key))
        return;
    const bool mayReappear = this->storeHealth.failedWithin(reappearanceGrace, now);
    this->missingUntil.emplace(key, mayReappear ? now + reappearanceGrace : now);
    this->dropOverdue(now);
    if (!this->missingUntil.empty())
        this->scheduleMissingCheck();
}

void TableWatch::dropOverdue(core::TimePoint now)
{
    std::vector<std::string> due;
    for (const auto& [key, at] : this->missingUntil) {
        if (at <= now && !(this->storeHealth.unreachable() && at != now))
            due.push_back(key);
    }
    for (const auto& key : due) {
        this->missingUntil.erase(key);
        this->knownVersions.erase(key);
        this->events.removed(key);
    }
}

void TableWatch::scheduleMissingCheck()
{
    this->missingCheckTimer.expires_after(missingCheckInterval);
    this->missingCheckTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        this->dropOverdue(core::monotonicNow());
        if (!this->missingUntil.empty())
            this->scheduleMissingCheck();
    });
}

void TableWatch::scheduleRestart()
{
    this->retryTimer.expires_after(retryInterval);
    this->retryTimer.async_wait([this](asio::error_code error) {
        if (!error)
            this->start();
    });
}

} // namespace lagoontiller::gateway
