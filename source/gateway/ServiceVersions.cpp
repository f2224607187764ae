#include "gateway/ServiceVersions.h"

#include "core/Log.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Time for which a version must be missing in the view before it counts as gone; entries of endpoints can
/// disappear for seconds during and after store outages.
constexpr core::Duration missingTime = std::chrono::seconds(10);
/// \brief Time after which a version that has left is removed from the row; longer than any stream.
constexpr std::uint64_t goneRetentionMs = 600'000;
constexpr core::Duration retryInterval = std::chrono::milliseconds(250);
/// \brief Other nodes may take a version off the list that endpoints in this node's view still have; it must be listed
/// again before it stops counting as recent, which is after more than 5 s.
constexpr core::Duration rereadInterval = std::chrono::seconds(3);

} // namespace

void ServiceVersions::update(const std::string& name, const std::set<std::string>& inView, core::TimePoint now)
{
    auto& service = this->services[name];
    service.inView = inView;
    for (const auto& version : service.listed) {
        if (inView.contains(version))
            service.missingSince.erase(version);
        else
            service.missingSince.try_emplace(version, now);
    }
    if (service.updating || now < service.nextUpdateAt || !isOutdated(service, now))
        return;
    service.updating = true;
    this->readRow(name, [this, name](const Row* row, std::uint64_t storeMs) {
        const auto readAt = core::monotonicNow();
        auto& updated = this->services[name];
        if (row == nullptr) {
            this->updateEnded(name, false, readAt);
            return;
        }
        this->takeRow(updated, *row, readAt);
        if (isOutdated(updated, readAt))
            this->writeRow(name, row->version, storeMs, readAt);
        else
            this->updateEnded(name, true, readAt);
    });
}

bool ServiceVersions::isOutdated(const Service& service, core::TimePoint now)
{
    return !service.loaded || now - service.loadedAt >= rereadInterval || differsFromView(service, now);
}

bool ServiceVersions::differsFromView(const Service& service, core::TimePoint now)
{
    const auto isListed = [&service](const auto& version) { return service.listed.contains(version); };
    if (!std::all_of(service.inView.begin(), service.inView.end(), isListed))
        return true;
    return std::any_of(service.missingSince.begin(), service.missingSince.end(),
        [now](const auto& missing) { return now - missing.second >= missingTime; });
}

void ServiceVersions::readRow(const std::string& name, std::function<void(const Row*, std::uint64_t)> done)
{
    RowRange range;
    range.table = table;
    range.from = name;
    range.limit = 1;
    this->store.read(
        range, this->storeHealth.callTimeout(), [name, done = std::move(done)](const StoreResult<RowPage>& page) {
            if (!page) {
                done(nullptr, 0);
                return;
            }
            const Row none { { table, "", name }, {}, 0, false };
            const bool found = !page->rows.empty() && page->rows.front().key.key == name;
            done(found ? &page->rows.front() : &none, page->storeMs);
        });
}

void ServiceVersions::takeRow(Service& service, const Row& row, core::TimePoint now)
{
    wire::ServiceVersionsRecord record;
    if (!record.ParseFromString(row.value)) {
        core::logWarning("versions_row_unreadable").with("service", row.key.key).with("bytes", row.value.size());
        record.Clear();
    }
    service.loaded = true;
    service.loadedAt = now;
    service.entries.clear();
    service.listed.clear();
    for (const auto& each : record.versions()) {
        service.entries[each.version()] = { each.gone_at_ms() };
        if (each.gone_at_ms() == 0)
            service.listed.insert(each.version());
    }
    std::erase_if(
        service.missingSince, [&service](const auto& entry) { return !service.listed.contains(entry.first); });
}

void ServiceVersions::writeRow(
    const std::string& name, std::uint64_t rowVersion, std::uint64_t storeMs, core::TimePoint now)
{
    auto& service = this->services[name];
    auto entries = service.entries;
    for (const auto& version : service.inView)
        entries[version] = {};
    for (const auto& [version, since] : service.missingSince) {
        if (now - since >= missingTime)
            entries[version].goneAtMs = storeMs;
    }
    wire::ServiceVersionsRecord record;
    for (const auto& [version, entry] : entries) {
        if (entry.goneAtMs != 0 && entry.goneAtMs + goneRetentionMs < storeMs)
            continue;
        auto* const added = record.add_versions();
        added->set_version(version);
        added->set_gone_at_ms(entry.goneAtMs);
    }
    const Row row { { table, "", name }, record.SerializeAsString(), 0, false };
    RowTransaction transaction;
    transaction.conditions.push_back({ row.key, rowVersion });
    transaction.puts.push_back(row);
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [this, name, row](const StoreResult<TransactionResult>& result) {
            const bool applied = result && result->applied;
            if (applied) {
                this->takeRow(this->services[name], row, core::monotonicNow());
                core::logInfo("service_versions").with("service", name).with("listed", this->listed(name).size());
            }
            this->updateEnded(name, applied, core::monotonicNow());
        });
}

void ServiceVersions::updateEnded(const std::string& name, bool successful, core::TimePoint now)
{
    auto& service = this->services[name];
    service.updating = false;
    // After a conflict the row is read again by the next update.
    const bool urgent = !service.loaded || differsFromView(service, now);
    if (successful)
        service.nextUpdateAt = now;
    else
        service.nextUpdateAt = now + (urgent ? retryInterval : rereadInterval);
}

const std::set<std::string>& ServiceVersions::listed(const std::string& name) const
{
    static const std::set<std::string> none;
    const auto found = this->services.find(name);
    return found == this->services.end() ? none : found->second.listed;
}

bool ServiceVersions::severalInService(const std::string& name) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end())
        return false;
    auto versions = found->second.listed;
    versions.insert(found->second.inView.begin(), found->second.inView.end());
    return versions.size() > 1;
}

void ServiceVersions::inServiceWithin(
    const std::string& name, core::Duration window, std::function<void(Candidates)> done)
{
    this->readRow(name, [this, name, window, done = std::move(done)](const Row* row, std::uint64_t storeMs) {
        auto& service = this->services[name];
        if (row != nullptr)
            this->takeRow(service, *row, core::monotonicNow());
        else if (!service.loaded || !this->storeHealth.isOutageConfirmed(core::monotonicNow())) {
            // Other nodes may have listed versions and begun streams at them.
            done(std::nullopt);
            return;
        }
        const auto nowMs = row != nullptr ? storeMs : this->storeHealth.storeTimeMs(core::monotonicNow());
        const auto windowMs = static_cast<std::uint64_t>(window.count() / 1'000);
        std::set<std::string> versions;
        for (const auto& [version, entry] : service.entries) {
            // Streams begin here at a version that another node has missed.
            if (entry.goneAtMs == 0 || entry.goneAtMs + windowMs > nowMs || service.inView.contains(version))
                versions.insert(version);
        }
        done(std::move(versions));
    });
}

} // namespace lagoontiller::gateway
