#include "state/impl/RowWriter.h"

#include "state/StoreKeys.h"

namespace lagoontiller::state::impl {

std::optional<core::PartitionId> RowWriter::partition() const
{
    return this->currentWrite ? std::optional(this->currentWrite->partition) : std::nullopt;
}

void RowWriter::start(RowWrite write)
{
    this->currentWrite = std::move(write);
    this->setStep(this->currentWrite->objectKey.empty() ? Step::WriteRow : Step::WriteSnapshot, {});
}

void RowWriter::setStep(Step step, core::TimePoint at)
{
    this->step = step;
    this->operation = 0;
    this->resumeAt = at;
}

RowWriterEffects RowWriter::tick(core::TimePoint now, OperationId& lastOperation)
{
    RowWriterEffects effects;
    if (!this->currentWrite || this->operation != 0 || now < this->resumeAt) {
        return effects;
    }
    lastOperation += 1;
    this->operation = lastOperation;
    const auto& write = *this->currentWrite;
    const auto key = ownerKey(write.partition);
    switch (this->step) {
    case Step::WriteSnapshot:
        effects.emplace_back(WriteObject { this->operation, write.objectKey, write.object });
        break;
    case Step::WriteRow: {
        tables::Transaction transaction;
        transaction.token = key + "@" + std::to_string(write.version);
        transaction.conditions.push_back({ key, write.version });
        transaction.puts.push_back({ key, write.row.SerializeAsString() });
        transaction.deletes = write.deletes;
        effects.emplace_back(WriteTransaction { this->operation, std::move(transaction) });
        break;
    }
    case Step::ReadBack:
        effects.emplace_back(ReadRow { this->operation, key });
        break;
    }
    return effects;
}

RowWriterEffects RowWriter::onObjectWritten(const WriteResult& result, core::TimePoint now, Generator& generator)
{
    if (result) {
        this->backoff.reset();
        this->setStep(Step::WriteRow, now);
    } else {
        this->setStep(Step::WriteSnapshot, now + this->backoff.nextDelay(generator));
    }
    return {};
}

RowWriterEffects RowWriter::onTransaction(const TransactionResult& result, core::TimePoint now, Generator& generator)
{
    if (!result) {
        const bool notSent = result.error().code == core::ResultCode::StoreUnavailable;
        this->setStep(notSent ? Step::WriteRow : Step::ReadBack, now + this->backoff.nextDelay(generator));
        return {};
    }
    this->backoff.reset();
    if (!result->committed) {
        this->setStep(Step::ReadBack, now);
        return {};
    }
    const auto version = result->versions.find(ownerKey(this->currentWrite->partition));
    if (version == result->versions.end()) {
        this->setStep(Step::ReadBack, now);
        return {};
    }
    return this->finish(true, version->second, std::nullopt);
}

RowWriterEffects RowWriter::onRow(const RowResult& result, core::TimePoint now, Generator& generator)
{
    if (!result) {
        this->setStep(Step::ReadBack, now + this->backoff.nextDelay(generator));
        return {};
    }
    this->backoff.reset();
    const auto& row = *result;
    if (row && row->value == this->currentWrite->row.SerializeAsString()) {
        return this->finish(true, row->version, std::nullopt);
    }
    if (row && row->version == this->currentWrite->version) {
        this->setStep(Step::WriteRow, now); // The version condition lets at most one attempt take effect.
        return {};
    }
    return this->finish(false, 0, row);
}

RowWriterEffects RowWriter::finish(bool written, tables::RowVersion version, std::optional<tables::Row> found)
{
    RowWriterEffects effects;
    effects.emplace_back(RowWriteOutcome { std::move(*this->currentWrite), written, version, std::move(found) });
    this->currentWrite.reset();
    this->operation = 0;
    return effects;
}

} // namespace lagoontiller::state::impl
