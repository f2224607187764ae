// Writes of ownership rows by their owner: snapshots and hand-overs.
#include "state/PartitionOwnership.h"
#include "state/StoreKeys.h"

#include <algorithm>
#include <fmt/format.h>

namespace lagoontiller::state {

void PartitionOwnership::tickRows(core::TimePoint now, OwnershipEffects& effects)
{
    if (this->writer.idle() && !this->handOvers.empty()) {
        const auto next = this->handOvers.front();
        this->handOvers.pop_front();
        const auto& known = this->rows.at(next.partition);
        impl::RowWrite write;
        write.partition = next.partition;
        write.version = known.version;
        write.row = known.row;
        write.row.set_successor(next.node);
        this->writer.start(std::move(write));
    }
    if (this->writer.idle() && !this->snapshotAsked && now >= this->nextSnapshot) {
        std::optional<core::PartitionId> due;
        for (const auto& [partition, own] : this->own) {
            if (own.phase != PartitionPhase::Owned || now - own.snapshotAt < this->settings.snapshotAge) {
                continue;
            }
            const auto& row = this->rows.at(partition).row;
            if (row.earlier().empty() && row.first_sequence() >= this->sequence) {
                continue;
            }
            if (!due || own.snapshotAt < this->own.at(*due).snapshotAt) {
                due = partition;
            }
        }
        if (due) {
            this->snapshotAsked = due;
            effects.emplace_back(SnapshotDue { *due, this->own.at(*due).epoch });
        }
    }
    this->collect(this->writer.tick(now, this->lastOperation), now, effects);
}

void PartitionOwnership::snapshot(core::PartitionId partition, core::Epoch epoch,
    const std::vector<records::Entry>& image, std::uint64_t nextSequence)
{
    const bool asked = this->snapshotAsked == partition;
    this->snapshotAsked.reset();
    const auto found = this->own.find(partition);
    const bool owned
        = found != this->own.end() && found->second.phase == PartitionPhase::Owned && found->second.epoch == epoch;
    if (!asked || !owned || !this->writer.idle()) {
        return;
    }
    const auto& known = this->rows.at(partition);
    impl::RowWrite write;
    write.partition = partition;
    write.version = known.version;
    write.row = known.row;
    write.replacedObject = known.row.snapshot_object();
    write.objectKey = snapshotObjectKey(partition, epoch, nextSequence, fmt::format("{:016x}", this->generator()));
    write.row.set_snapshot_object(write.objectKey);
    write.row.set_first_sequence(nextSequence);
    write.row.clear_earlier();
    records::Snapshot record;
    record.set_partition(partition);
    record.set_epoch(epoch);
    record.mutable_entries()->Assign(image.begin(), image.end());
    write.object = record.SerializeAsString();
    // Deleted rows include those that only the replaced row referred to: both writes are in one transaction.
    this->references.setRow(partition, write.row);
    write.deletes = this->ownLogKeys(std::min(this->references.lowest(this->settings.stream), nextSequence));
    write.deletedBefore = this->deletedBefore + write.deletes.size();
    const auto others = this->references.deletable(this->settings.deletesPerSnapshot - write.deletes.size());
    write.deletes.insert(write.deletes.end(), others.begin(), others.end());
    this->references.setRow(partition, known.row);
    this->writer.start(std::move(write));
}

std::vector<std::string> PartitionOwnership::ownLogKeys(std::uint64_t before) const
{
    std::vector<std::string> keys;
    for (auto next = this->deletedBefore; next < before && keys.size() < this->settings.deletesPerSnapshot; ++next) {
        keys.push_back(logKey(this->settings.stream, next));
    }
    return keys;
}

bool PartitionOwnership::handOver(core::PartitionId partition, const std::string& successor)
{
    const auto found = this->own.find(partition);
    if (found == this->own.end() || found->second.phase != PartitionPhase::Owned) {
        return false;
    }
    found->second.phase = PartitionPhase::HandingOver;
    this->handOvers.push_back({ partition, successor });
    return true;
}

void PartitionOwnership::onRowWritten(
    const impl::RowWriteOutcome& outcome, core::TimePoint now, OwnershipEffects& effects)
{
    const auto& write = outcome.write;
    // The partition may have been lost and be taken again since the write started: that tenure is not affected.
    const auto found = this->own.find(write.partition);
    const bool sameTenure = found != this->own.end() && found->second.epoch == write.row.epoch();
    if (!outcome.written) {
        Known known;
        if (outcome.found && known.row.ParseFromString(outcome.found->value)) {
            known.version = outcome.found->version;
            this->learnRow(write.partition, known, effects); // Ends the tenure when the row shows another epoch.
        }
        if (!write.objectKey.empty() && known.row.snapshot_object() != write.objectKey) {
            effects.emplace_back(DeleteObject { write.objectKey });
        }
        if (sameTenure) {
            this->endOwnership(write.partition, false, effects);
        }
        return;
    }
    if (this->rows.at(write.partition).version < outcome.version) {
        this->rows[write.partition] = { outcome.version, write.row };
        this->references.setRow(write.partition, write.row);
    }
    if (!write.row.successor().empty()) {
        if (sameTenure) {
            this->endOwnership(write.partition, true, effects);
        }
        return;
    }
    this->nextSnapshot = now + this->settings.snapshotInterval;
    this->references.onDeleted(write.deletes);
    if (write.deletedBefore > this->deletedBefore) {
        this->deletedBefore = write.deletedBefore;
        effects.emplace_back(LogDeleted { write.deletedBefore });
    }
    if (!write.replacedObject.empty()) {
        effects.emplace_back(DeleteObject { write.replacedObject });
    }
    if (sameTenure) {
        found->second.snapshotAt = now;
        effects.emplace_back(RowVersionChanged { write.partition, write.row.epoch(), outcome.version });
    }
}

void PartitionOwnership::collect(impl::RowWriterEffects from, core::TimePoint now, OwnershipEffects& effects)
{
    for (auto& effect : from) {
        if (const auto* outcome = std::get_if<impl::RowWriteOutcome>(&effect)) {
            this->onRowWritten(*outcome, now, effects);
        } else if (auto* transaction = std::get_if<WriteTransaction>(&effect)) {
            this->writes += 1;
            effects.emplace_back(std::move(*transaction));
        } else if (auto* object = std::get_if<WriteObject>(&effect)) {
            this->writes += 1;
            effects.emplace_back(std::move(*object));
        } else if (auto* read = std::get_if<ReadRow>(&effect)) {
            this->reads += 1;
            effects.emplace_back(std::move(*read));
        }
    }
}

OwnershipEffects PartitionOwnership::onTransaction(
    OperationId operation, const TransactionResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->writer.awaits(operation)) {
        this->collect(this->writer.onTransaction(result, now, this->generator), now, effects);
    } else if (operation != 0 && this->takeover && this->takeover->operation == operation) {
        this->onTakeover(result, now);
    }
    return effects;
}

OwnershipEffects PartitionOwnership::onRow(OperationId operation, const RowResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->writer.awaits(operation)) {
        this->collect(this->writer.onRow(result, now, this->generator), now, effects);
    }
    return effects;
}

OwnershipEffects PartitionOwnership::onObject(OperationId operation, const ObjectResult& result, core::TimePoint now)
{
    this->recovery.onObject(operation, result, now, this->generator);
    return {};
}

OwnershipEffects PartitionOwnership::onObjectWritten(
    OperationId operation, const WriteResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->writer.awaits(operation)) {
        this->collect(this->writer.onObjectWritten(result, now, this->generator), now, effects);
    }
    return effects;
}

} // namespace lagoontiller::state
