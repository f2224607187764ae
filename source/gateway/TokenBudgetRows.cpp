// Reads and writes of the rows of token budgets.

#include "gateway/TokenBudgets.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Maximum retries after a call that the store refused as overloaded, and after one without an answer.
constexpr int maxOverloadRetries = 4;
constexpr int maxUnansweredRetries = 3;

} // namespace

void TokenBudgets::writeRow(
    const std::string& id, Program& program, std::uint64_t share, std::uint64_t ahead, core::TimePoint now)
{
    wire::BudgetRecord record;
    for (const auto& [node, other] : program.otherShares) {
        auto* const entry = record.add_shares();
        entry->set_node(node);
        entry->set_tokens(other.tokens);
        entry->set_used(other.used);
        entry->set_ahead(other.ahead);
        entry->set_released(other.released);
    }
    auto* const own = record.add_shares();
    own->set_node(program.shareId);
    own->set_tokens(share);
    own->set_used(std::min(program.used, share));
    own->set_ahead(ahead);
    record.set_owns_outage_part(program.ownsOutagePart && program.outagePart > 0);
    record.set_kept_until_ms(this->storeHealth.storeTimeMs(now)
        + static_cast<std::uint64_t>((program.retention + rowRetentionMargin).count() / 1'000));
    const auto key = this->rowKey(id);
    RowTransaction transaction;
    transaction.conditions.push_back({ key, program.version });
    transaction.puts.push_back({ key, record.SerializeAsString(), 0, false });
    program.callInProgress = true;
    // While the outcome of a write that lowers the share is unknown, only the lower share may be used.
    program.share = std::min(program.share, share);
    this->store.transact(std::move(transaction), this->storeHealth.callTimeout(),
        [this, id, share, now](
            StoreResult<TransactionResult> result) { this->writeEnded(id, share, now, std::move(result)); });
}

void TokenBudgets::writeEnded(
    const std::string& id, std::uint64_t share, core::TimePoint sentAt, StoreResult<TransactionResult> result)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.callInProgress = false;
    if (!result) {
        if (result.error() == StoreFailure::Unknown) {
            program.outcomeUnknown = true;
            const auto lowest = program.unconfirmedWrite ? std::min(program.unconfirmedWrite->share, share) : share;
            program.unconfirmedWrite = UnconfirmedWrite { program.version, lowest };
        }
        const bool again = !program.pending.empty() && program.pending.front().unanswered++ < maxUnansweredRetries
            && this->storeHealth.outageDuration(core::monotonicNow()) <= maxTransientOutage;
        if (result.error() == StoreFailure::Overloaded && !program.pending.empty()
            && !this->canLeaveToOutagePart(program) && program.pending.front().overloads < maxOverloadRetries) {
            ++program.pending.front().overloads;
            this->processPendingAfter(id, program.pending.front().backoff.nextDelay(this->random));
            return;
        }
        if (program.outcomeUnknown && again)
            this->readRow(id, program);
        else
            this->refusePending(program, BudgetAnswer::Unavailable);
        return;
    }
    if (result->applied) {
        program.version = result->version;
        program.share = share;
        program.unconfirmedWrite.reset();
        program.writtenAt = sentAt;
        this->rowExpiry.schedule(this->rowKey(id), result->version, sentAt + program.retention + rowRetentionMargin);
    } else {
        this->applyRow(program, result->current.empty() ? nullptr : &result->current.front());
        program.rowChecked = true;
        // Another node changed the row concurrently; retry the write that returns the unused share.
        if (program.pending.empty() && program.turnsInProgress == 0 && program.share > share) {
            this->writeRow(id, program, program.used, 0, core::monotonicNow());
            return;
        }
    }
    if (result->applied)
        this->informOutageHolder(id, program);
    this->processPending(id);
}

void TokenBudgets::readRow(const std::string& id, Program& program)
{
    program.callInProgress = true;
    const auto key = this->rowKey(id);
    RowRange range { key.table, key.part, key.key, {}, 1 };
    this->store.read(range, this->storeHealth.callTimeout(),
        [this, id](StoreResult<RowPage> page) { this->readEnded(id, std::move(page)); });
}

void TokenBudgets::readEnded(const std::string& id, StoreResult<RowPage> page)
{
    const auto found = this->programs.find(id);
    if (found == this->programs.end())
        return;
    auto& program = found->second;
    program.callInProgress = false;
    if (!page) {
        this->refusePending(program, BudgetAnswer::Unavailable);
        return;
    }
    const bool present = !page->rows.empty() && page->rows.front().key.key == id;
    this->applyRow(program, present ? &page->rows.front() : nullptr);
    program.outcomeUnknown = false;
    program.rowChecked = true;
    this->processPending(id);
}

void TokenBudgets::applyRow(Program& program, const Row* row)
{
    program.otherShares.clear();
    program.version = 0;
    program.share = 0;
    wire::BudgetRecord record;
    if (row != nullptr && row->version != 0 && !row->removed && record.ParseFromString(row->value)) {
        program.version = row->version;
        program.ownsOutagePart = program.ownsOutagePart || record.owns_outage_part();
        for (const auto& entry : record.shares()) {
            if (entry.node() == program.shareId)
                program.share = entry.tokens();
            else
                program.otherShares[entry.node()] = { entry.tokens(), entry.used(), entry.ahead(), entry.released() };
        }
    }
    capShareByUnconfirmedWrite(program);
}

void TokenBudgets::capShareByUnconfirmedWrite(Program& program)
{
    if (!program.unconfirmedWrite)
        return;
    if (program.unconfirmedWrite->version == program.version)
        program.share = std::min(program.share, program.unconfirmedWrite->share);
    else
        program.unconfirmedWrite.reset();
}

RowKey TokenBudgets::rowKey(const std::string& id) const
{
    return { table, this->tableParts.partOf(id), id };
}

std::optional<std::uint64_t> TokenBudgets::keptUntilMs(const Row& row)
{
    wire::BudgetRecord record;
    return record.ParseFromString(row.value) ? std::optional(record.kept_until_ms()) : std::nullopt;
}

} // namespace lagoontiller::gateway
