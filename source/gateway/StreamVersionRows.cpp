#include "gateway/StreamVersionRows.h"

#include "core/Hash.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Seconds for which a node may save up unused writes, and their minimum number.
constexpr double savedSeconds = 2;
constexpr double minSavedWrites = 8;
/// \brief Rows of a call: they lie in as many parts, and the store holds all of these until the call is done.
constexpr std::size_t maxRowsPerCall = 16;
/// \brief Rows that wait at most. They are written within seconds, later they would serve no resumption.
constexpr std::size_t maxPendingRows = 128;

} // namespace

RowKey StreamVersionRows::rowKey(const std::string& stream) const
{
    return { table, this->tableParts.partOf(stream), core::digestHex(stream) };
}

void StreamVersionRows::write(
    const std::string& stream, const StreamOrigin& origin, core::Duration resumable, core::TimePoint now)
{
    if (!this->storeHealth.knowsStoreTime())
        return;
    wire::StreamVersionRecord record;
    record.set_service(origin.service);
    record.set_version(origin.version);
    record.set_kept_until_ms(
        this->storeHealth.storeTimeMs(now) + static_cast<std::uint64_t>(resumable.count() / 1'000));
    this->addPending({ this->rowKey(stream), record.SerializeAsString(), now + resumable });
    this->tick(now);
}

void StreamVersionRows::addPending(PendingRow&& row)
{
    if (this->pending.size() < maxPendingRows)
        this->pending.push_back(std::move(row));
}

void StreamVersionRows::tick(core::TimePoint now)
{
    const auto rate = maxStreamCallsPerSecond / static_cast<double>(this->nodeCount);
    const auto seconds = std::chrono::duration<double>(now - this->permitsUpdatedAt).count();
    this->permits = std::min(this->permits + seconds * rate, std::max(rate * savedSeconds, minSavedWrites));
    this->permitsUpdatedAt = now;
    std::erase_if(this->pending, [now](const auto& row) { return row.removeAt <= now; });
    while (this->permits >= 1 && !this->pending.empty()) {
        --this->permits;
        this->writePending(std::min(this->pending.size(), maxRowsPerCall));
    }
}

void StreamVersionRows::writePending(std::size_t count)
{
    const auto end = this->pending.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<PendingRow> rows(this->pending.begin(), end);
    this->pending.erase(this->pending.begin(), end);
    RowTransaction transaction;
    for (const auto& row : rows)
        transaction.puts.push_back({ row.key, row.value, 0, false });
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [this, rows = std::move(rows)](const StoreResult<TransactionResult>& result) mutable {
            for (auto& row : rows) {
                if (result)
                    this->rowExpiry.schedule(row.key, result->version, row.removeAt);
                else
                    this->addPending(std::move(row));
            }
        });
}

void StreamVersionRows::read(
    const std::string& stream, const std::function<void(const StoreResult<std::optional<StreamOrigin>>&)>& done)
{
    const auto key = this->rowKey(stream);
    RowRange range;
    range.table = key.table;
    range.part = key.part;
    range.from = key.key;
    range.limit = 1;
    this->store.read(range, this->storeHealth.callTimeout(), [key, done](const StoreResult<RowPage>& page) {
        if (!page) {
            done(tl::unexpected(page.error()));
            return;
        }
        wire::StreamVersionRecord record;
        const bool found = !page->rows.empty() && page->rows.front().key.key == key.key
            && record.ParseFromString(page->rows.front().value);
        done(
            found ? std::optional(StreamOrigin { record.service(), record.version() }) : std::optional<StreamOrigin>());
    });
}

std::optional<std::uint64_t> StreamVersionRows::keptUntilMs(const Row& row)
{
    wire::StreamVersionRecord record;
    return record.ParseFromString(row.value) ? std::optional(record.kept_until_ms()) : std::nullopt;
}

} // namespace lagoontiller::gateway
