#include "gateway/Histories.h"

#include "core/Log.h"
#include "gateway/impl/TurnRows.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Memory of an entry beside its texts.
constexpr std::size_t entryBytes = 256;
/// \brief Added to the retention, so that a chain whose newest turn is kept has its older turns too.
constexpr core::Duration chainMargin = std::chrono::minutes(30);
/// \brief An ancestor that is kept for less than the retention and this time is written again: once in a quarter of an
/// hour of a conversation, and with a quarter of an hour to try again while the store is away.
constexpr core::Duration extendBefore = std::chrono::minutes(15);

std::size_t size(const Turn& turn) noexcept
{
    return entryBytes + turn.input.size() + turn.output.size() + turn.ancestors.size() * 32;
}

/// \brief Rows per transaction: with rows of 64 KB below the megabyte that the store takes.
constexpr std::size_t rowsPerTransaction = 10;

} // namespace

struct Histories::Reading {
    std::string id;
    std::vector<Row> rows;
    std::function<void(tl::expected<Shared, HistoryFailure>)> done;
};

struct Histories::Writing {
    Shared turn;
    std::vector<Row> rows;
    core::Duration keptFor {};
    std::size_t written = 0;
    std::function<void(bool durable)> done;
};

struct Histories::Loading {
    Shared last;
    std::unordered_map<std::string, Shared> found;
    std::size_t open = 0;
    bool failed = false;
    std::function<void(tl::expected<Chain, HistoryFailure>)> done;
};

Histories::Histories(
    RowStore& store, StoreContact& contact, Expiry& expiry, std::size_t memoryBytes, std::size_t rowBytes)
    : store(store)
    , contact(contact)
    , expiry(expiry)
    , memoryBytes(memoryBytes)
    , rowBytes(rowBytes)
{
}

void Histories::load(const std::string& id, std::function<void(tl::expected<Chain, HistoryFailure>)> done)
{
    auto loading = std::make_shared<Loading>();
    loading->done = std::move(done);
    if (auto turn = this->cached(id)) {
        loading->last = std::move(turn);
        this->loadAncestors(loading);
        return;
    }
    this->readTurn(id, [this, loading](tl::expected<Shared, HistoryFailure> turn) {
        if (!turn) {
            loading->done(tl::unexpected(turn.error()));
            return;
        }
        loading->last = *turn;
        this->loadAncestors(loading);
    });
}

void Histories::loadAncestors(const std::shared_ptr<Loading>& loading)
{
    const auto finish = [loading] {
        if (loading->failed) {
            loading->done(tl::unexpected(HistoryFailure::Unavailable));
            return;
        }
        Chain chain;
        for (const auto& id : loading->last->ancestors)
            chain.push_back(loading->found[id]);
        chain.push_back(loading->last);
        loading->done(std::move(chain));
    };
    std::vector<std::string> missing;
    for (const auto& id : loading->last->ancestors) {
        if (auto turn = this->cached(id))
            loading->found.emplace(id, std::move(turn));
        else
            missing.push_back(id);
    }
    if (missing.empty()) {
        finish();
        return;
    }
    loading->open = missing.size();
    for (const auto& id : missing) {
        this->readTurn(id, [loading, id, finish](tl::expected<Shared, HistoryFailure> turn) {
            if (turn) {
                loading->found.emplace(id, *turn);
            } else {
                loading->failed = true;
                if (turn.error() == HistoryFailure::NotFound)
                    core::logError("ancestor_missing").with("turn", loading->last->id).with("ancestor", id);
            }
            if (--loading->open == 0)
                finish();
        });
    }
}

void Histories::readTurn(const std::string& id, std::function<void(tl::expected<Shared, HistoryFailure>)> done)
{
    this->readRows(std::make_shared<Reading>(Reading { id, {}, std::move(done) }), impl::turnKey(id).key);
}

void Histories::readRows(const std::shared_ptr<Reading>& reading, const std::string& from)
{
    const auto key = impl::turnKey(reading->id);
    this->store.read({ key.table, key.part, from, impl::turnEnd(reading->id) }, this->contact.callTimeout(),
        [this, reading](const StoreResult<RowPage>& page) {
            if (!page) {
                reading->done(tl::unexpected(HistoryFailure::Unavailable));
                return;
            }
            reading->rows.insert(reading->rows.end(), page->rows.begin(), page->rows.end());
            if (page->more && !page->rows.empty())
                this->readRows(reading, page->rows.back().key.key + '\0');
            else
                this->rowsRead(*reading);
        });
}

void Histories::rowsRead(const Reading& reading)
{
    // The first row is written last: without it there is no turn.
    if (reading.rows.empty() || reading.rows.front().key.key != impl::turnKey(reading.id).key) {
        reading.done(tl::unexpected(HistoryFailure::NotFound));
        return;
    }
    auto turn = impl::decodeTurn(reading.id, reading.rows);
    if (!turn) {
        core::logError("turn_rows_unreadable").with("turn", reading.id).with("rows", reading.rows.size());
        reading.done(tl::unexpected(HistoryFailure::Unavailable));
        return;
    }
    this->keep(turn);
    reading.done(std::move(turn));
}

void Histories::commit(const Shared& turn, core::Duration retention, std::function<void(bool)> done)
{
    this->extendAncestors(*turn, retention);
    this->write(turn, retention + chainMargin, std::move(done));
}

void Histories::extendAncestors(const Turn& turn, core::Duration retention)
{
    const auto needed = this->contact.storeNow(core::monotonicNow())
        + static_cast<std::uint64_t>((retention + extendBefore).count() / 1'000);
    for (const auto& id : turn.ancestors) {
        const auto ancestor = this->cached(id);
        if (!ancestor || ancestor->keptUntilMs == 0 || ancestor->keptUntilMs >= needed)
            continue;
        this->write(ancestor, retention + chainMargin, [id](bool durable) {
            core::logInfo("turn_kept_longer").with("turn", id).with("written", durable ? "yes" : "no");
        });
    }
}

void Histories::write(const Shared& content, core::Duration keptFor, std::function<void(bool)> done)
{
    const auto now = core::monotonicNow();
    auto kept = *content;
    kept.keptUntilMs = this->contact.storeNow(now) + static_cast<std::uint64_t>(keptFor.count() / 1'000);
    const auto turn = std::make_shared<const Turn>(std::move(kept));
    auto writing = std::make_shared<Writing>(Writing { turn, impl::encodeTurn(*turn, this->rowBytes), keptFor });
    writing->done = std::move(done);
    if (writing->rows.empty()) {
        core::logError("turn_too_large").with("turn", turn->id).with("bytes", turn->input.size() + turn->output.size());
        writing->done(false);
        return;
    }
    this->writeRows(writing);
}

void Histories::writeRows(const std::shared_ptr<Writing>& writing)
{
    const auto first = writing->written;
    const auto count = std::min(rowsPerTransaction, writing->rows.size() - first);
    RowTransaction transaction;
    for (std::size_t row = first; row < first + count; ++row)
        transaction.puts.push_back(writing->rows[row]);
    this->store.transact(std::move(transaction), this->contact.callTimeout(),
        [this, writing, count](const StoreResult<TransactionResult>& result) {
            if (!result || !result->applied) {
                writing->done(false);
                return;
            }
            const auto removeAt = core::monotonicNow() + writing->keptFor;
            for (std::size_t row = 0; row < count; ++row)
                this->expiry.written(writing->rows[writing->written + row].key, result->version, removeAt);
            writing->written += count;
            if (writing->written < writing->rows.size()) {
                this->writeRows(writing);
                return;
            }
            this->keep(writing->turn);
            writing->done(true);
        });
}

Histories::Shared Histories::cached(const std::string& id)
{
    const auto found = this->turns.find(id);
    if (found == this->turns.end())
        return nullptr;
    this->uses.splice(this->uses.begin(), this->uses, found->second.use);
    return found->second.turn;
}

void Histories::keep(const Shared& turn)
{
    if (const auto known = this->turns.find(turn->id); known != this->turns.end()) {
        if (known->second.turn->keptUntilMs < turn->keptUntilMs)
            known->second.turn = turn;
        return;
    }
    this->uses.push_front(turn->id);
    this->turns.emplace(turn->id, Cached { turn, this->uses.begin() });
    this->bytes += size(*turn);
    while (this->bytes > this->memoryBytes && this->uses.size() > 1) {
        const auto oldest = this->turns.find(this->uses.back());
        this->bytes -= size(*oldest->second.turn);
        this->turns.erase(oldest);
        this->uses.pop_back();
    }
}

Chain Histories::chainInMemory(const std::string& id)
{
    const auto last = this->cached(id);
    if (!last)
        return {};
    Chain chain;
    for (const auto& ancestor : last->ancestors) {
        auto turn = this->cached(ancestor);
        if (!turn)
            return {};
        chain.push_back(std::move(turn));
    }
    chain.push_back(last);
    return chain;
}

} // namespace lagoontiller::gateway
