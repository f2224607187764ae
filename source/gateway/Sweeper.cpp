#include "gateway/Sweeper.h"

#include "core/Log.h"

namespace lagoontiller::gateway {

namespace {

/// \brief With this interval and number of rows 12 nodes look at 170,000 rows a day, several times those that nodes
/// leave behind when they die.
constexpr core::Duration interval = std::chrono::seconds(30);
constexpr std::size_t rowsPerRead = 5;
/// \brief Their writers remove rows first: time in milliseconds that rows are left beyond their own.
constexpr std::uint64_t writersTimeMs = 5 * 60'000;

} // namespace

Sweeper::Sweeper(RowStore& store, StoreContact& contact, std::vector<SweptTable> tables, std::uint64_t seed)
    : store(store)
    , contact(contact)
    , tables(std::move(tables))
    , random(seed)
{
}

void Sweeper::tick(core::TimePoint now)
{
    if (now < this->due || this->contact.failing())
        return;
    const bool first = this->due == core::TimePoint {};
    this->due = now + interval;
    if (first)
        return;
    const auto& table = this->tables[this->nextTable++ % this->tables.size()];
    std::uniform_int_distribution<std::uint64_t> part(0, table.parts - 1);
    // Keys are hexadecimal; the empty one is before all others.
    constexpr std::string_view digits = "0123456789abcdef";
    std::uniform_int_distribution<std::size_t> digit(0, digits.size());
    const auto from = std::string(digits.substr(digit(this->random), 1));
    this->store.read({ table.name, std::to_string(part(this->random)), from, {}, rowsPerRead },
        this->contact.callTimeout(), [this, &table](const StoreResult<RowPage>& page) {
            if (page)
                this->check(table, *page);
            else
                core::logInfo("sweep_skipped").with("table", table.name);
        });
}

void Sweeper::check(const SweptTable& table, const RowPage& page)
{
    for (const auto& row : page.rows) {
        const auto kept = table.keptUntil(row);
        if (kept && *kept + writersTimeMs < page.storeMs)
            this->remove(row);
    }
}

void Sweeper::remove(const Row& row)
{
    RowTransaction transaction;
    transaction.conditions.push_back({ row.key, row.version });
    transaction.removes.push_back(row.key);
    this->store.transact(std::move(transaction), this->contact.callTimeout(),
        [key = row.key](const StoreResult<TransactionResult>& result) {
            core::logInfo("row_swept")
                .with("table", key.table)
                .with("key", key.key)
                .with("removed", result && result->applied ? "yes" : "no");
        });
}

} // namespace lagoontiller::gateway
