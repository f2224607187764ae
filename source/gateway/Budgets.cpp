#include "gateway/Budgets.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway {

namespace {

/// \brief A share is raised by one more turn, at most by this part of what is left. Turns use a quarter of their most
/// tokens on average, so that a turn ahead lasts for several turns; the tokens of a node that dies are lost to the
/// program, so that the part must leave room for turns at other nodes.
constexpr std::uint64_t aheadDivisor = 3;
/// \brief Attempts at a store that is over its rate, and at one that does not answer.
constexpr int maximumOverloads = 4;
constexpr int maximumUnanswered = 3;
/// \brief Time without an answered call after which the store counts as away; single calls may go unanswered.
constexpr core::Duration longestUnclearOutage = std::chrono::milliseconds(500);
/// \brief Rows are kept this much longer than the retention, so that a row outlives turns that needed no write.
constexpr core::Duration rowMargin = std::chrono::seconds(30);
/// \brief A row is renewed when a turn ended this long after its last write: half of the margin, so that several
/// attempts fit into the rest.
constexpr core::Duration renewAfter = rowMargin / 2;
constexpr core::Duration renewRetry = std::chrono::seconds(4);
/// \brief Local entries are dropped this long after the retention of the last turn, when their row is gone too.
constexpr core::Duration forgetMargin = rowMargin * 2;

} // namespace

Budgets::Budgets(asio::io_context& context, RowStore& store, StoreContact& contact, Expiry& expiry, std::string nodeKey,
    BudgetOptions options)
    : context(context)
    , store(store)
    , contact(contact)
    , expiry(expiry)
    , nodeKey(std::move(nodeKey))
    , options(options)
    , random(core::hash64(this->nodeKey))
{
}

void Budgets::reserve(const BudgetRequest& request, core::TimePoint now, Done done)
{
    auto& program = this->remember(request.program);
    program.budget = request.budget;
    program.retention = request.retention;
    program.lastUsed = now;
    if (program.waiting.empty() && program.used + request.tokens <= program.share) {
        program.used += request.tokens;
        ++program.turns;
        done(BudgetAnswer::Granted);
        return;
    }
    program.waiting.push_back({ request.tokens, std::move(done) });
    program.checked = false;
    this->pump(request.program);
}

Budgets::Program& Budgets::remember(const std::string& id)
{
    auto& program = this->programs[id];
    if (program.owner.empty())
        program.owner = this->nodeKey + "." + std::to_string(++this->lastOwner);
    return program;
}

void Budgets::settle(const std::string& id, std::uint64_t reserved, std::uint64_t used, core::TimePoint now)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.used -= reserved - std::min(used, reserved);
    program.lastUsed = now;
    if (program.turns > 0)
        --program.turns;
    this->grant(program);
}

void Budgets::tick(core::TimePoint now, const std::function<bool(const std::string&)>& isHome)
{
    std::vector<std::string> idle;
    std::vector<std::string> forgotten;
    std::vector<std::string> old;
    for (const auto& [id, program] : this->programs) {
        if (program.calling || !program.waiting.empty())
            continue;
        if (isOld(program)) {
            if (now - program.renewedAt > renewRetry && this->contact.awayFor(now) == core::Duration::zero())
                old.push_back(id);
            continue;
        }
        if (program.turns > 0)
            continue;
        const auto age = now - program.lastUsed;
        const bool unused = program.share > program.used && this->contact.awayFor(now) == core::Duration::zero();
        if (age > this->options.idleBeforeReturn && unused && (othersTotal(program).tokens > 0 || !isHome(id)))
            idle.push_back(id);
        else if (age > program.retention + forgetMargin)
            forgotten.push_back(id);
    }
    for (const auto& id : idle)
        this->lowerShare(id);
    for (const auto& id : forgotten)
        this->programs.erase(id);
    for (const auto& id : old) {
        auto& program = this->programs[id];
        program.renewedAt = now;
        this->write(id, program, std::max(program.share, program.used), now);
    }
}

bool Budgets::isOld(const Program& program)
{
    return program.used > 0 && program.lastUsed - program.writtenAt > renewAfter;
}

void Budgets::release()
{
    std::vector<std::string> idle;
    for (const auto& [id, program] : this->programs) {
        if (program.turns == 0 && !program.calling && program.waiting.empty() && program.share > program.used)
            idle.push_back(id);
    }
    for (const auto& id : idle)
        this->lowerShare(id);
}

void Budgets::lowerShare(const std::string& id)
{
    auto& program = this->programs[id];
    if (program.unsure)
        this->read(id, program);
    else
        this->write(id, program, program.used, core::monotonicNow());
}

void Budgets::grant(Program& program)
{
    while (!program.waiting.empty() && program.used + program.waiting.front().tokens <= program.share) {
        auto waiting = std::move(program.waiting.front());
        program.waiting.erase(program.waiting.begin());
        program.used += waiting.tokens;
        ++program.turns;
        asio::post(this->context, [done = std::move(waiting.done)] { done(BudgetAnswer::Granted); });
    }
}

void Budgets::pump(const std::string& id)
{
    auto& program = this->programs[id];
    this->grant(program);
    if (program.calling || program.waiting.empty())
        return;
    // Tokens of ended turns at this node never come back, whatever other nodes hold.
    if (program.turns == 0 && program.used + program.waiting.front().tokens > program.budget) {
        core::logInfo("budget_exhausted")
            .with("program", id)
            .with("budget", program.budget)
            .with("own", program.used)
            .with("row_version", program.version);
        this->refuse(program, BudgetAnswer::Exhausted);
        return;
    }
    // Heartbeats notice the return of the store; until then every call would wait for its time-out.
    if (this->contact.silent() && this->contact.awayFor(core::monotonicNow()) > longestUnclearOutage) {
        this->refuse(program, BudgetAnswer::Unavailable);
        return;
    }
    if (program.unsure) {
        this->read(id, program);
        return;
    }
    const auto others = othersTotal(program);
    const auto taken = others.tokens;
    std::uint64_t wanted = program.used;
    std::uint64_t covered = 0;
    for (const auto& waiting : program.waiting) {
        if (taken + wanted + waiting.tokens > program.budget)
            break;
        wanted += waiting.tokens;
        ++covered;
    }
    if (covered == 0) {
        if (!program.checked) {
            this->read(id, program);
            return;
        }
        // Other nodes give unused shares back soon; only then is the budget really spent.
        if (taken > 0 && program.waiting.front().rechecks < this->options.maximumRechecks) {
            ++program.waiting.front().rechecks;
            program.checked = false;
            this->pumpLater(id, this->options.recheckDelay);
            return;
        }
        const bool spent = others.used + program.used + program.waiting.front().tokens > program.budget;
        core::logInfo(spent ? "budget_exhausted" : "budget_held")
            .with("program", id)
            .with("budget", program.budget)
            .with("others", taken)
            .with("others_used", others.used)
            .with("own", program.used)
            .with("row_version", program.version);
        this->refuse(program, spent ? BudgetAnswer::Exhausted : BudgetAnswer::Held);
        return;
    }
    wanted += std::min(program.waiting.front().tokens, (program.budget - taken - wanted) / aheadDivisor);
    this->write(id, program, std::max(wanted, program.used), core::monotonicNow());
}

void Budgets::write(const std::string& id, Program& program, std::uint64_t share, core::TimePoint now)
{
    wire::BudgetRecord record;
    for (const auto& [node, other] : program.others) {
        auto* const entry = record.add_shares();
        entry->set_node(node);
        entry->set_tokens(other.tokens);
        entry->set_used(other.used);
    }
    auto* const own = record.add_shares();
    own->set_node(program.owner);
    own->set_tokens(share);
    own->set_used(std::min(program.used, share));
    record.set_kept_until_ms(
        this->contact.storeNow(now) + static_cast<std::uint64_t>((program.retention + rowMargin).count() / 1'000));
    const auto key = this->rowKey(id);
    RowTransaction transaction;
    transaction.conditions.push_back({ key, program.version });
    transaction.puts.push_back({ key, record.SerializeAsString(), 0, false });
    program.calling = true;
    // A lower share must not be used above while the outcome is open.
    program.share = std::min(program.share, share);
    this->store.transact(std::move(transaction), this->contact.callTimeout(),
        [this, id, share, now](
            StoreResult<TransactionResult> result) { this->written(id, share, now, std::move(result)); });
}

void Budgets::written(
    const std::string& id, std::uint64_t share, core::TimePoint sentAt, StoreResult<TransactionResult> result)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.calling = false;
    if (!result) {
        if (result.error() == StoreFailure::Unknown) {
            program.unsure = true;
            const auto lowest = program.open ? std::min(program.open->share, share) : share;
            program.open = OpenWrite { program.version, lowest };
        }
        const bool again = !program.waiting.empty() && program.waiting.front().unanswered++ < maximumUnanswered
            && this->contact.awayFor(core::monotonicNow()) <= longestUnclearOutage;
        if (result.error() == StoreFailure::Overloaded && !program.waiting.empty()
            && program.waiting.front().overloads < maximumOverloads) {
            ++program.waiting.front().overloads;
            this->pumpLater(id, program.waiting.front().backoff.nextDelay(this->random));
            return;
        }
        if (program.unsure && again)
            this->read(id, program);
        else
            this->refuse(program, BudgetAnswer::Unavailable);
        return;
    }
    if (result->applied) {
        program.version = result->version;
        program.share = share;
        program.open.reset();
        program.writtenAt = sentAt;
        this->expiry.written(this->rowKey(id), result->version, sentAt + program.retention + rowMargin);
    } else {
        this->learn(program, result->current.empty() ? nullptr : &result->current.front());
        program.checked = true;
        // Another node changed the row meanwhile: a share that is given back is written again.
        if (program.waiting.empty() && program.turns == 0 && program.share > share) {
            this->write(id, program, program.used, core::monotonicNow());
            return;
        }
    }
    this->pump(id);
}

void Budgets::read(const std::string& id, Program& program)
{
    program.calling = true;
    const auto key = this->rowKey(id);
    RowRange range { key.table, key.part, key.key, {}, 1 };
    this->store.read(range, this->contact.callTimeout(),
        [this, id](StoreResult<RowPage> page) { this->rowRead(id, std::move(page)); });
}

void Budgets::rowRead(const std::string& id, StoreResult<RowPage> page)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.calling = false;
    if (!page) {
        this->refuse(program, BudgetAnswer::Unavailable);
        return;
    }
    const bool present = !page->rows.empty() && page->rows.front().key.key == id;
    this->learn(program, present ? &page->rows.front() : nullptr);
    program.unsure = false;
    program.checked = true;
    this->pump(id);
}

void Budgets::learn(Program& program, const Row* row)
{
    program.others.clear();
    program.version = 0;
    program.share = 0;
    wire::BudgetRecord record;
    if (row != nullptr && row->version != 0 && !row->removed && record.ParseFromString(row->value)) {
        program.version = row->version;
        for (const auto& entry : record.shares()) {
            if (entry.node() == program.owner)
                program.share = entry.tokens();
            else
                program.others[entry.node()] = { entry.tokens(), entry.used() };
        }
    }
    holdBelowOpenWrite(program);
}

void Budgets::holdBelowOpenWrite(Program& program)
{
    if (!program.open)
        return;
    if (program.open->version == program.version)
        program.share = std::min(program.share, program.open->share);
    else
        program.open.reset();
}

void Budgets::refuse(Program& program, BudgetAnswer answer)
{
    auto waiting = std::exchange(program.waiting, {});
    for (auto& each : waiting)
        asio::post(this->context, [done = std::move(each.done), answer] { done(answer); });
}

void Budgets::pumpLater(const std::string& id, core::Duration delay)
{
    auto& program = this->programs[id];
    program.calling = true;
    auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([this, id, timer](asio::error_code error) {
        const auto found = this->programs.find(id);
        if (error || found == this->programs.end())
            return;
        found->second.calling = false;
        this->pump(id);
    });
}

RowKey Budgets::rowKey(const std::string& id) const
{
    return { table, std::to_string(core::hash64(id) % parts), id };
}

std::optional<std::uint64_t> Budgets::keptUntil(const Row& row)
{
    wire::BudgetRecord record;
    return record.ParseFromString(row.value) ? std::optional(record.kept_until_ms()) : std::nullopt;
}

Budgets::Share Budgets::othersTotal(const Program& program)
{
    Share total;
    for (const auto& [node, share] : program.others) {
        total.tokens += share.tokens;
        total.used += share.used;
    }
    return total;
}

} // namespace lagoontiller::gateway
