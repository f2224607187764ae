#include "gateway/Sweeper.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief With this interval and limit, 12 nodes check 170,000 rows per day, several times the number left behind by
/// nodes that died.
constexpr core::Duration sweepInterval = std::chrono::seconds(30);
constexpr std::size_t maxRowsPerSweep = 5;
/// \brief Time in milliseconds after the expiry of a row during which its removal is left to the node that wrote it.
constexpr std::uint64_t ownerGraceMs = 5 * 60'000;

} // namespace

Sweeper::Sweeper(RowStore& store, StoreHealth& storeHealth, const TableParts& tableParts,
    std::vector<SweptTable> tables, std::uint64_t seed)
    : store(store)
    , storeHealth(storeHealth)
    , tableParts(tableParts)
    , tables(std::move(tables))
    , random(seed)
{
}

void Sweeper::tick(core::TimePoint now)
{
    if (now < this->nextSweepAt || this->storeHealth.failing() || !this->tableParts.known())
        return;
    const bool first = this->nextSweepAt == core::TimePoint {};
    this->nextSweepAt = now + sweepInterval;
    if (first)
        return;
    const auto& table = this->tables[this->nextTable++ % this->tables.size()];
    std::uniform_int_distribution<std::uint64_t> part(0, this->tableParts.count() - 1);
    // Keys start with a hexadecimal digit; the empty start key precedes all of them.
    constexpr std::string_view digits = "0123456789abcdef";
    std::uniform_int_distribution<std::size_t> digit(0, digits.size());
    const auto from = std::string(digits.substr(digit(this->random), 1));
    this->store.read({ table.name, std::to_string(part(this->random)), from, {}, maxRowsPerSweep },
        this->storeHealth.callTimeout(), [this, &table](const StoreResult<RowPage>& page) {
            if (page)
                this->removeExpired(table, *page);
            else
                core::logInfo("sweep_skipped").with("table", table.name);
        });
}

void Sweeper::removeExpired(const SweptTable& table, const RowPage& page)
{
    for (const auto& row : page.rows) {
        const auto kept = table.keptUntilMs(row);
        if (kept && *kept + ownerGraceMs < page.storeMs)
            this->remove(row);
    }
}

void Sweeper::remove(const Row& row)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ row.key, row.version });
    transaction.removes.push_back(row.key);
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [key = row.key](const StoreResult<TransactionResult>& result) {
            core::logInfo("row_swept")
                .with("table", key.table)
                .with("key", key.key)
                .with("removed", result && result->applied ? "yes" : "no");
        });
}

} // namespace lagoontiller::gateway
