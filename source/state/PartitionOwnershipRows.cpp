// Writes to the ownership rows of this node's partitions: snapshots and hand-overs.
#include "state/PartitionOwnership.h"
#include "state/StoreKeys.h"

#include <algorithm>
#include <fmt/format.h>

namespace lagoontiller::state {

void PartitionOwnership::tickRows(core::TimePoint now, OwnershipEffects& effects)
{
    if (this->writer.isIdle() && !this->pendingHandOvers.empty()) {
        const auto next = this->pendingHandOvers.front();
        this->pendingHandOvers.pop_front();
        const auto& versionedRow = this->rows.at(next.partition);
        impl::RowWrite write;
        write.partition = next.partition;
        write.version = versionedRow.version;
        write.row = versionedRow.row;
        write.row.set_successor(next.successor);
        this->writer.start(std::move(write));
    }
    if (this->writer.isIdle() && !this->requestedSnapshot && now >= this->nextSnapshotAt) {
        std::optional<core::PartitionId> due;
        for (const auto& [partition, owned] : this->ownedPartitions) {
            if (owned.phase != PartitionPhase::Owned || now - owned.snapshotAt < this->settings.maxSnapshotAge) {
                continue;
            }
            const auto& row = this->rows.at(partition).row;
            if (row.earlier().empty() && row.first_sequence() >= this->nextSequence) {
                continue;
            }
            if (!due || owned.snapshotAt < this->ownedPartitions.at(*due).snapshotAt) {
                due = partition;
            }
        }
        if (due) {
            this->requestedSnapshot = due;
            effects.emplace_back(SnapshotDue { *due, this->ownedPartitions.at(*due).epoch });
        }
    }
    this->handleWriterEffects(this->writer.tick(now, this->lastOperation), now, effects);
}

void PartitionOwnership::snapshot(core::PartitionId partition, core::Epoch epoch,
    const std::vector<records::Entry>& entries, std::uint64_t nextSequence)
{
    const bool requested = this->requestedSnapshot == partition;
    this->requestedSnapshot.reset();
    const auto found = this->ownedPartitions.find(partition);
    const bool owned = found != this->ownedPartitions.end() && found->second.phase == PartitionPhase::Owned
        && found->second.epoch == epoch;
    if (!requested || !owned || !this->writer.isIdle()) {
        return;
    }
    const auto& versionedRow = this->rows.at(partition);
    impl::RowWrite write;
    write.partition = partition;
    write.version = versionedRow.version;
    write.row = versionedRow.row;
    write.replacedObject = versionedRow.row.snapshot_object();
    write.objectKey = snapshotObjectKey(partition, epoch, nextSequence, fmt::format("{:016x}", this->generator()));
    write.row.set_snapshot_object(write.objectKey);
    write.row.set_first_sequence(nextSequence);
    write.row.clear_earlier();
    records::Snapshot record;
    record.set_partition(partition);
    record.set_epoch(epoch);
    record.mutable_entries()->Assign(entries.begin(), entries.end());
    write.object = record.SerializeAsString();
    // The references are computed as of the new row, because one transaction writes it and deletes the log rows that
    // only the old row refers to. The old row counts again until that transaction is committed.
    this->references.setRow(partition, write.row);
    write.deletes = this->ownLogKeys(std::min(this->references.lowestSequence(this->settings.stream), nextSequence));
    write.deletedBefore = this->deletedBefore + write.deletes.size();
    const auto others = this->references.deletableKeys(this->settings.maxDeletesPerSnapshot - write.deletes.size());
    write.deletes.insert(write.deletes.end(), others.begin(), others.end());
    this->references.setRow(partition, versionedRow.row);
    this->writer.start(std::move(write));
}

std::vector<std::string> PartitionOwnership::ownLogKeys(std::uint64_t before) const
{
    std::vector<std::string> keys;
    for (auto next = this->deletedBefore; next < before && keys.size() < this->settings.maxDeletesPerSnapshot; ++next) {
        keys.push_back(logKey(this->settings.stream, next));
    }
    return keys;
}

bool PartitionOwnership::handOver(core::PartitionId partition, const std::string& successor)
{
    const auto found = this->ownedPartitions.find(partition);
    if (found == this->ownedPartitions.end() || found->second.phase != PartitionPhase::Owned) {
        return false;
    }
    found->second.phase = PartitionPhase::HandingOver;
    this->pendingHandOvers.push_back({ partition, successor });
    return true;
}

void PartitionOwnership::onRowWritten(
    const impl::RowWriteOutcome& outcome, core::TimePoint now, OwnershipEffects& effects)
{
    const auto& write = outcome.write;
    // This node may have lost the partition and taken it again since the write started: that epoch is not affected.
    const auto found = this->ownedPartitions.find(write.partition);
    const bool sameEpoch = found != this->ownedPartitions.end() && found->second.epoch == write.row.epoch();
    if (!outcome.written) {
        VersionedRow versionedRow;
        if (outcome.found && versionedRow.row.ParseFromString(outcome.found->value)) {
            versionedRow.version = outcome.found->version;
            // Ends the ownership when the row shows another epoch.
            this->updateRow(write.partition, versionedRow, effects);
        }
        if (!write.objectKey.empty() && versionedRow.row.snapshot_object() != write.objectKey) {
            effects.emplace_back(DeleteObject { write.objectKey });
        }
        if (sameEpoch) {
            this->endOwnership(write.partition, false, effects);
        }
        return;
    }
    if (this->rows.at(write.partition).version < outcome.version) {
        this->rows[write.partition] = { outcome.version, write.row };
        this->references.setRow(write.partition, write.row);
    }
    if (!write.row.successor().empty()) {
        if (sameEpoch) {
            this->endOwnership(write.partition, true, effects);
        }
        return;
    }
    this->nextSnapshotAt = now + this->settings.minSnapshotInterval;
    this->references.onDeleted(write.deletes);
    if (write.deletedBefore > this->deletedBefore) {
        this->deletedBefore = write.deletedBefore;
        effects.emplace_back(LogDeleted { write.deletedBefore });
    }
    if (!write.replacedObject.empty()) {
        effects.emplace_back(DeleteObject { write.replacedObject });
    }
    if (sameEpoch) {
        found->second.snapshotAt = now;
        effects.emplace_back(RowVersionChanged { write.partition, write.row.epoch(), outcome.version });
    }
}

void PartitionOwnership::handleWriterEffects(
    impl::RowWriterEffects writerEffects, core::TimePoint now, OwnershipEffects& effects)
{
    for (auto& effect : writerEffects) {
        if (const auto* outcome = std::get_if<impl::RowWriteOutcome>(&effect)) {
            this->onRowWritten(*outcome, now, effects);
        } else if (auto* transaction = std::get_if<WriteTransaction>(&effect)) {
            this->writeCount += 1;
            effects.emplace_back(std::move(*transaction));
        } else if (auto* object = std::get_if<WriteObject>(&effect)) {
            this->writeCount += 1;
            effects.emplace_back(std::move(*object));
        } else if (auto* read = std::get_if<ReadRow>(&effect)) {
            this->readCount += 1;
            effects.emplace_back(std::move(*read));
        }
    }
}

OwnershipEffects PartitionOwnership::onTransaction(
    OperationId operation, const TransactionResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->writer.awaits(operation)) {
        this->handleWriterEffects(this->writer.onTransaction(result, now, this->generator), now, effects);
    } else if (operation != 0 && this->takeover && this->takeover->operation == operation) {
        this->onTakeover(result, now);
    }
    return effects;
}

OwnershipEffects PartitionOwnership::onRow(OperationId operation, const RowResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->writer.awaits(operation)) {
        this->handleWriterEffects(this->writer.onRow(result, now, this->generator), now, effects);
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
        this->handleWriterEffects(this->writer.onObjectWritten(result, now, this->generator), now, effects);
    }
    return effects;
}

} // namespace lagoontiller::state
