#include "gateway/RowExpiry.h"

#include "core/Log.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Keeps the clean-up a small part of the store's write rate.
constexpr int maxRemovalsPerTick = 4;
/// \brief Maximum number of scheduled rows; beyond it, the earliest are left to the sweeper.
constexpr std::size_t maxScheduledRows = 50'000;

} // namespace

void RowExpiry::schedule(const RowKey& key, std::uint64_t version, core::TimePoint removeAt)
{
    this->versions[key] = version;
    const ScheduledRemoval due { removeAt, key, version };
    // Routes have different retentions, so the queue is kept sorted by removal time.
    const auto at = std::upper_bound(this->queue.begin(), this->queue.end(), due,
        [](const ScheduledRemoval& left, const ScheduledRemoval& right) { return left.at < right.at; });
    this->queue.insert(at, due);
    if (this->queue.size() > maxScheduledRows) {
        this->versions.erase(this->queue.front().key);
        this->queue.pop_front();
    }
}

void RowExpiry::tick(core::TimePoint now)
{
    for (int removed = 0; removed < maxRemovalsPerTick && !this->queue.empty() && this->queue.front().at <= now;) {
        const auto due = this->queue.front();
        this->queue.pop_front();
        const auto found = this->versions.find(due.key);
        if (found == this->versions.end() || found->second != due.version)
            continue;
        this->versions.erase(found);
        this->remove(due);
        ++removed;
    }
}

void RowExpiry::remove(const ScheduledRemoval& due)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ due.key, due.version });
    transaction.removes.push_back(due.key);
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [key = due.key](const StoreResult<TransactionResult>& result) {
            if (!result)
                core::logWarning("expired_row_kept").with("table", key.table).with("key", key.key);
        });
}

} // namespace lagoontiller::gateway
