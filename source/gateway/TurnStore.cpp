#include "gateway/TurnStore.h"

#include "core/Log.h"
#include "gateway/impl/TurnRows.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Memory of a cache entry in addition to its texts.
constexpr std::size_t cacheEntryOverheadBytes = 256;
/// \brief Added to the retention so that the older turns of a chain are still there while its newest turn is kept.
constexpr core::Duration ancestorRetentionMargin = std::chrono::minutes(30);
/// \brief An ancestor is rewritten if its remaining lifetime is less than the retention plus this time: at most once
/// per 15 minutes of a conversation, with 15 minutes left for retries during a store outage.
constexpr core::Duration retentionExtensionThreshold = std::chrono::minutes(15);

std::size_t memorySize(const Turn& turn) noexcept
{
    return cacheEntryOverheadBytes + turn.input.size() + turn.output.size() + turn.ancestors.size() * 32;
}

/// \brief With rows of 64 KB, a transaction stays below the store's limit of 1 MB.
constexpr std::size_t maxRowsPerTransaction = 10;

} // namespace

struct TurnStore::ReadOperation {
    std::string id;
    std::vector<Row> rows;
    std::function<void(tl::expected<TurnPtr, HistoryFailure>)> done;
};

struct TurnStore::WriteOperation {
    TurnPtr turn;
    std::vector<Row> rows;
    core::Duration retainFor {};
    std::size_t written = 0;
    std::function<void(bool durable)> done;
};

struct TurnStore::LoadOperation {
    TurnPtr newest;
    std::unordered_map<std::string, TurnPtr> found;
    std::size_t pendingReads = 0;
    bool failed = false;
    std::function<void(tl::expected<Chain, HistoryFailure>)> done;
};

TurnStore::TurnStore(RowStore& store, StoreHealth& storeHealth, RowExpiry& rowExpiry, const TableParts& tableParts,
    std::size_t maxCacheBytes, std::size_t maxRowBytes)
    : store(store)
    , storeHealth(storeHealth)
    , rowExpiry(rowExpiry)
    , tableParts(tableParts)
    , maxCacheBytes(maxCacheBytes)
    , maxRowBytes(maxRowBytes)
{
}

void TurnStore::load(const std::string& id, std::function<void(tl::expected<Chain, HistoryFailure>)> done)
{
    auto operation = std::make_shared<LoadOperation>();
    operation->done = std::move(done);
    if (auto turn = this->findCached(id)) {
        operation->newest = std::move(turn);
        this->loadAncestors(operation);
        return;
    }
    this->readTurn(id, [this, operation](tl::expected<TurnPtr, HistoryFailure> turn) {
        if (!turn) {
            operation->done(tl::unexpected(turn.error()));
            return;
        }
        operation->newest = *turn;
        this->loadAncestors(operation);
    });
}

void TurnStore::loadAncestors(const std::shared_ptr<LoadOperation>& operation)
{
    const auto finish = [operation] {
        if (operation->failed) {
            operation->done(tl::unexpected(HistoryFailure::Unavailable));
            return;
        }
        Chain chain;
        for (const auto& id : operation->newest->ancestors)
            chain.push_back(operation->found[id]);
        chain.push_back(operation->newest);
        operation->done(std::move(chain));
    };
    std::vector<std::string> missing;
    for (const auto& id : operation->newest->ancestors) {
        if (auto turn = this->findCached(id))
            operation->found.emplace(id, std::move(turn));
        else
            missing.push_back(id);
    }
    if (missing.empty()) {
        finish();
        return;
    }
    operation->pendingReads = missing.size();
    for (const auto& id : missing) {
        this->readTurn(id, [operation, id, finish](tl::expected<TurnPtr, HistoryFailure> turn) {
            if (turn) {
                operation->found.emplace(id, *turn);
            } else {
                operation->failed = true;
                if (turn.error() == HistoryFailure::NotFound)
                    core::logError("ancestor_missing").with("turn", operation->newest->id).with("ancestor", id);
            }
            if (--operation->pendingReads == 0)
                finish();
        });
    }
}

void TurnStore::readTurn(const std::string& id, std::function<void(tl::expected<TurnPtr, HistoryFailure>)> done)
{
    this->readRows(std::make_shared<ReadOperation>(ReadOperation { id, {}, std::move(done) }),
        impl::turnKey(id, this->tableParts).key);
}

void TurnStore::readRows(const std::shared_ptr<ReadOperation>& operation, const std::string& from)
{
    const auto key = impl::turnKey(operation->id, this->tableParts);
    this->store.read({ key.table, key.part, from, impl::turnRangeEnd(operation->id) }, this->storeHealth.callTimeout(),
        [this, operation](const StoreResult<RowPage>& page) {
            if (!page) {
                operation->done(tl::unexpected(HistoryFailure::Unavailable));
                return;
            }
            operation->rows.insert(operation->rows.end(), page->rows.begin(), page->rows.end());
            if (page->more && !page->rows.empty())
                this->readRows(operation, page->rows.back().key.key + '\0');
            else
                this->readEnded(*operation);
        });
}

void TurnStore::readEnded(const ReadOperation& operation)
{
    // The first row is written last, so the turn does not exist without it.
    if (operation.rows.empty() || operation.rows.front().key.key != impl::turnKey(operation.id, this->tableParts).key) {
        operation.done(tl::unexpected(HistoryFailure::NotFound));
        return;
    }
    auto turn = impl::decodeTurn(operation.id, operation.rows);
    if (!turn) {
        core::logError("turn_rows_unreadable").with("turn", operation.id).with("rows", operation.rows.size());
        operation.done(tl::unexpected(HistoryFailure::Unavailable));
        return;
    }
    this->cache(turn);
    operation.done(std::move(turn));
}

void TurnStore::commit(const TurnPtr& turn, core::Duration retention, std::function<void(bool)> done)
{
    this->extendAncestorRetention(*turn, retention);
    this->write(turn, retention + ancestorRetentionMargin, std::move(done));
}

void TurnStore::extendAncestorRetention(const Turn& turn, core::Duration retention)
{
    const auto needed = this->storeHealth.storeTimeMs(core::monotonicNow())
        + static_cast<std::uint64_t>((retention + retentionExtensionThreshold).count() / 1'000);
    for (const auto& id : turn.ancestors) {
        const auto ancestor = this->findCached(id);
        if (!ancestor || ancestor->keptUntilMs == 0 || ancestor->keptUntilMs >= needed)
            continue;
        this->write(ancestor, retention + ancestorRetentionMargin, [id](bool durable) {
            core::logInfo("turn_kept_longer").with("turn", id).with("written", durable ? "yes" : "no");
        });
    }
}

void TurnStore::write(const TurnPtr& content, core::Duration retainFor, std::function<void(bool)> done)
{
    const auto now = core::monotonicNow();
    auto stored = *content;
    stored.keptUntilMs = this->storeHealth.storeTimeMs(now) + static_cast<std::uint64_t>(retainFor.count() / 1'000);
    const auto turn = std::make_shared<const Turn>(std::move(stored));
    auto operation = std::make_shared<WriteOperation>(
        WriteOperation { turn, impl::encodeTurn(*turn, this->maxRowBytes, this->tableParts), retainFor });
    operation->done = std::move(done);
    if (operation->rows.empty()) {
        core::logError("turn_too_large").with("turn", turn->id).with("bytes", turn->input.size() + turn->output.size());
        operation->done(false);
        return;
    }
    this->writeRows(operation);
}

void TurnStore::writeRows(const std::shared_ptr<WriteOperation>& operation)
{
    const auto first = operation->written;
    const auto count = std::min(maxRowsPerTransaction, operation->rows.size() - first);
    RowTransaction transaction;
    for (std::size_t row = first; row < first + count; ++row)
        transaction.puts.push_back(operation->rows[row]);
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [this, operation, count](const StoreResult<TransactionResult>& result) {
            if (!result || !result->applied) {
                operation->done(false);
                return;
            }
            const auto removeAt = core::monotonicNow() + operation->retainFor;
            for (std::size_t row = 0; row < count; ++row)
                this->rowExpiry.schedule(operation->rows[operation->written + row].key, result->version, removeAt);
            operation->written += count;
            if (operation->written < operation->rows.size()) {
                this->writeRows(operation);
                return;
            }
            this->cache(operation->turn);
            operation->done(true);
        });
}

TurnStore::TurnPtr TurnStore::findCached(const std::string& id)
{
    const auto found = this->turns.find(id);
    if (found == this->turns.end())
        return nullptr;
    this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, found->second.lruPosition);
    return found->second.turn;
}

void TurnStore::cache(const TurnPtr& turn)
{
    if (const auto cached = this->turns.find(turn->id); cached != this->turns.end()) {
        if (cached->second.turn->keptUntilMs < turn->keptUntilMs)
            cached->second.turn = turn;
        return;
    }
    this->lruOrder.push_front(turn->id);
    this->turns.emplace(turn->id, CacheEntry { turn, this->lruOrder.begin() });
    this->cacheBytes += memorySize(*turn);
    while (this->cacheBytes > this->maxCacheBytes && this->lruOrder.size() > 1) {
        const auto oldest = this->turns.find(this->lruOrder.back());
        this->cacheBytes -= memorySize(*oldest->second.turn);
        this->turns.erase(oldest);
        this->lruOrder.pop_back();
    }
}

bool TurnStore::isCached(const std::string& turn) const
{
    const auto last = this->turns.find(turn);
    if (last == this->turns.end())
        return false;
    const auto& ancestors = last->second.turn->ancestors;
    return std::all_of(
        ancestors.begin(), ancestors.end(), [this](const std::string& id) { return this->turns.contains(id); });
}

Chain TurnStore::cachedChain(const std::string& id)
{
    const auto last = this->findCached(id);
    if (!last)
        return {};
    Chain chain;
    for (const auto& ancestor : last->ancestors) {
        auto turn = this->findCached(ancestor);
        if (!turn)
            return {};
        chain.push_back(std::move(turn));
    }
    chain.push_back(last);
    return chain;
}

} // namespace lagoontiller::gateway
