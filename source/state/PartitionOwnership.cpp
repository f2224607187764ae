#include "state/PartitionOwnership.h"

#include "state/StoreKeys.h"

#include <algorithm>

namespace lagoontiller::state {

PartitionOwnership::PartitionOwnership(
    OwnershipSettings settings, Partitions partitions, Generator generator, core::TimePoint now)
    : settings(std::move(settings))
    , partitions(std::move(partitions))
    , generator(generator)
    , scanBackoff(this->settings.minBackoff, this->settings.maxBackoff)
    , takeoverBackoff(this->settings.minBackoff, this->settings.maxBackoff)
    , recovery(this->settings.maxRecoveryReadsPerSecond, this->settings.logPageRows)
    , writer(Backoff(this->settings.minBackoff, this->settings.maxBackoff))
{
    this->scan.resumeAt = now;
}

void PartitionOwnership::setNodes(std::vector<LiveNode> nodes, core::TimePoint now)
{
    if (nodes == this->nodes) {
        return;
    }
    this->nodes = std::move(nodes);
    this->candidatesStale = true;
    // Partitions may have been handed over or taken since the rows were read.
    if (this->scanned && this->scan.operation == 0 && this->scan.after.empty()) {
        this->scan.resumeAt = std::min(this->scan.resumeAt, now + this->jitter(this->settings.maxChangeDelay));
    }
}

void PartitionOwnership::prioritise(core::PartitionId partition)
{
    this->recovery.prioritise(partition);
}

OwnershipEffects PartitionOwnership::tick(core::TimePoint now, std::uint64_t nextSequence)
{
    OwnershipEffects effects;
    this->nextSequence = nextSequence;
    this->tickScan(now, effects);
    this->tickTakeover(now, effects);
    this->tickRecovery(now, effects);
    this->tickRows(now, effects);
    return effects;
}

core::Duration PartitionOwnership::jitter(core::Duration maxDelay)
{
    std::uniform_int_distribution<std::int64_t> delay(0, maxDelay.count());
    return core::Duration(delay(this->generator));
}

void PartitionOwnership::tickScan(core::TimePoint now, OwnershipEffects& effects)
{
    if (this->scan.operation != 0 || now < this->scan.resumeAt) {
        return;
    }
    if (this->scan.after.empty()) {
        this->references.onScanStarted();
    }
    this->lastOperation += 1;
    this->scan.operation = this->lastOperation;
    this->readCount += 1;
    effects.emplace_back(
        ScanRows { this->scan.operation, std::string(ownerPrefix), this->scan.after, this->settings.scanPageRows });
}

void PartitionOwnership::restartScan(core::TimePoint at)
{
    this->scan = { 0, at, {} };
}

void PartitionOwnership::onHandedOver(core::TimePoint now)
{
    if (this->scan.operation == 0 && this->scan.after.empty()) {
        this->scan.resumeAt = std::min(this->scan.resumeAt, now);
    } else {
        this->rescanPending = true;
    }
}

OwnershipEffects PartitionOwnership::onRows(OperationId operation, const RowsResult& result, core::TimePoint now)
{
    OwnershipEffects effects;
    if (this->recovery.awaits(operation)) {
        this->recovery.onRows(operation, result, now, this->generator);
        return effects;
    }
    if (operation == 0 || this->scan.operation != operation) {
        return effects;
    }
    this->scan.operation = 0;
    if (!result) {
        this->scan.resumeAt = now + this->scanBackoff.nextDelay(this->generator);
        return effects;
    }
    this->scanBackoff.reset();
    for (const auto& row : *result) {
        const auto partition = partitionOfOwnerKey(row.key);
        VersionedRow versionedRow { row.version, {} };
        if (partition && *partition < this->partitions.size() && versionedRow.row.ParseFromString(row.value)) {
            this->updateRow(*partition, versionedRow, effects);
        }
    }
    if (result->size() < this->settings.scanPageRows) {
        this->finishScan(now);
    } else {
        this->scan.after = result->back().key;
    }
    return effects;
}

void PartitionOwnership::finishScan(core::TimePoint now)
{
    this->scanned = true;
    this->references.onScanCompleted();
    const auto delay = this->settings.scanInterval / 2 + this->jitter(this->settings.scanInterval);
    this->restartScan(std::exchange(this->rescanPending, false) ? now : now + delay);
    if (this->scanRequired) {
        this->abandonTakeover();
        this->scanRequired = false;
    }
    this->candidatesStale = true;
}

bool PartitionOwnership::isLive(const std::string& node) const
{
    return std::ranges::any_of(this->nodes, [&node](const LiveNode& live) { return live.name == node; });
}

bool PartitionOwnership::isCandidate(core::PartitionId partition) const
{
    if (this->ownedPartitions.contains(partition)) {
        return false;
    }
    const auto found = this->rows.find(partition);
    if (found != this->rows.end()) {
        const auto& row = found->second.row;
        const auto& holder = row.successor().empty() ? row.node() : row.successor();
        if (holder == this->settings.node) {
            return true; // Handed over to this node, owned by its earlier run, or taken with an unknown result.
        }
        if (this->isLive(holder)) {
            return false;
        }
    }
    return preferredOwner(this->partitions, partition, this->nodes) == this->settings.node;
}

void PartitionOwnership::refreshCandidates()
{
    if (!this->candidatesStale) {
        return;
    }
    this->candidatesStale = false;
    this->candidates.clear();
    const auto self = std::ranges::find(this->nodes, this->settings.node, &LiveNode::name);
    if (self == this->nodes.end() || self->leaving) {
        return;
    }
    for (core::PartitionId partition = 0; partition < this->partitions.size(); ++partition) {
        if (this->isCandidate(partition)) {
            this->candidates.push_back(partition);
        }
    }
}

void PartitionOwnership::tickTakeover(core::TimePoint now, OwnershipEffects& effects)
{
    if (!this->scanned || this->takeover || this->scanRequired) {
        return;
    }
    this->refreshCandidates();
    if (this->candidates.empty()) {
        this->nextTakeoverAt.reset();
        return;
    }
    if (!this->nextTakeoverAt) {
        const auto maxDelay = this->firstTakeover ? this->settings.maxStartDelay : this->settings.maxChangeDelay;
        this->nextTakeoverAt = now + this->jitter(maxDelay);
    }
    if (now >= *this->nextTakeoverAt) {
        this->startTakeover(now, effects);
    }
}

records::OwnerRow PartitionOwnership::rowAfterTakeover(core::PartitionId partition) const
{
    records::OwnerRow row;
    row.set_node(this->settings.node);
    row.set_epoch(1);
    row.set_stream(this->settings.stream);
    row.set_first_sequence(this->nextSequence);
    const auto found = this->rows.find(partition);
    if (found == this->rows.end()) {
        return row;
    }
    const auto& previous = found->second.row;
    row.set_epoch(previous.epoch() + 1);
    row.set_snapshot_object(previous.snapshot_object());
    *row.mutable_earlier() = previous.earlier();
    auto* range = row.add_earlier();
    range->set_stream(previous.stream());
    range->set_first_sequence(previous.first_sequence());
    range->set_last_sequence(impl::LogReferences::noReference);
    range->set_epoch(previous.epoch());
    return row;
}

void PartitionOwnership::startTakeover(core::TimePoint now, OwnershipEffects& effects)
{
    this->firstTakeover = false;
    this->nextTakeoverAt = now + this->settings.minTakeoverInterval;
    this->lastOperation += 1;
    this->takeover = Takeover();
    this->takeover->operation = this->lastOperation;
    tables::Transaction transaction;
    transaction.token = "takeover-" + this->settings.stream + "-" + std::to_string(this->lastOperation);
    const auto count = std::min(this->candidates.size(), this->settings.maxTakeoverRows);
    for (std::size_t index = 0; index < count; ++index) {
        const auto partition = this->candidates[index];
        const auto found = this->rows.find(partition);
        const auto previous = found == this->rows.end() ? VersionedRow {} : found->second;
        const auto proposed = this->rowAfterTakeover(partition);
        const auto key = ownerKey(partition);
        transaction.conditions.push_back({ key, previous.version });
        transaction.puts.push_back({ key, proposed.SerializeAsString() });
        this->takeover->rows[partition] = { previous, proposed };
        this->ownedPartitions[partition]
            = { PartitionPhase::TakingOver, proposed.epoch(), now, !previous.row.successor().empty() };
    }
    this->candidatesStale = true;
    this->writeCount += 1;
    effects.emplace_back(WriteTransaction { this->lastOperation, std::move(transaction) });
}

void PartitionOwnership::onTakeover(const TransactionResult& result, core::TimePoint now)
{
    this->candidatesStale = true;
    if (!result) {
        const auto retryAt = now + this->takeoverBackoff.nextDelay(this->generator);
        this->nextTakeoverAt = retryAt;
        if (result.error().code == core::ResultCode::StoreUnavailable) {
            this->abandonTakeover();
            return;
        }
        this->takeover->operation = 0;
        this->scanRequired = true;
        this->restartScan(retryAt);
        return;
    }
    this->takeoverBackoff.reset();
    if (!result->committed) {
        this->abandonTakeover();
        this->scanRequired = true;
        this->restartScan(now);
        return;
    }
    const auto completed = std::move(*this->takeover);
    this->takeover.reset();
    for (const auto& [partition, row] : completed.rows) {
        if (this->phase(partition) != PartitionPhase::TakingOver) {
            continue; // A scan read the new row before this reply arrived.
        }
        const auto version = result->versions.find(ownerKey(partition));
        if (version == result->versions.end()) {
            // The next scan finds this node in the row, and the partition is taken again.
            this->ownedPartitions.erase(partition);
            this->restartScan(now);
            continue;
        }
        this->startRecovery(partition, { version->second, row.proposed });
    }
}

void PartitionOwnership::abandonTakeover()
{
    if (this->takeover) {
        for (const auto& [partition, row] : this->takeover->rows) {
            const auto found = this->ownedPartitions.find(partition);
            if (found != this->ownedPartitions.end() && found->second.phase == PartitionPhase::TakingOver) {
                this->ownedPartitions.erase(found);
            }
        }
    }
    this->takeover.reset();
    this->candidatesStale = true;
}

void PartitionOwnership::startRecovery(core::PartitionId partition, const VersionedRow& versionedRow)
{
    this->ownedPartitions.at(partition).phase = PartitionPhase::Recovering;
    this->rows[partition] = versionedRow;
    this->references.setRow(partition, versionedRow.row);
    this->recovery.start(partition, versionedRow.row);
}

void PartitionOwnership::tickRecovery(core::TimePoint now, OwnershipEffects& effects)
{
    for (auto& effect : this->recovery.tick(now, this->generator, this->lastOperation)) {
        if (auto* recovered = std::get_if<impl::RecoveredPartition>(&effect)) {
            this->onRecovered(*recovered, now, effects);
        } else if (auto* page = std::get_if<ScanRows>(&effect)) {
            effects.emplace_back(std::move(*page));
        } else if (auto* object = std::get_if<ReadObject>(&effect)) {
            effects.emplace_back(std::move(*object));
        }
    }
}

void PartitionOwnership::onRecovered(
    impl::RecoveredPartition& recovered, core::TimePoint now, OwnershipEffects& effects)
{
    const auto partition = recovered.partition;
    auto& owned = this->ownedPartitions.at(partition);
    const auto& versionedRow = this->rows.at(partition);
    owned.phase = PartitionPhase::Owned;
    // Every takeover reads the earlier ranges again until a snapshot covers them, so a snapshot is due at once.
    owned.snapshotAt = versionedRow.row.earlier().empty() ? now : now - this->settings.maxSnapshotAge;
    this->references.addReadKeys(this->recovery.takeReadLogKeys());
    effects.emplace_back(PartitionRecovered {
        partition, owned.epoch, versionedRow.version, owned.handedOver, std::move(recovered.store) });
}

void PartitionOwnership::updateRow(
    core::PartitionId partition, const VersionedRow& versionedRow, OwnershipEffects& effects)
{
    const auto found = this->rows.find(partition);
    if (found != this->rows.end() && found->second.version >= versionedRow.version) {
        return;
    }
    this->candidatesStale = true;
    const auto owned = this->ownedPartitions.find(partition);
    const bool sameStream = versionedRow.row.stream() == this->settings.stream;
    if (owned != this->ownedPartitions.end() && owned->second.phase == PartitionPhase::TakingOver) {
        if (sameStream && versionedRow.row.epoch() == owned->second.epoch && versionedRow.row.successor().empty()) {
            this->startRecovery(partition, versionedRow);
            return;
        }
    } else if (owned != this->ownedPartitions.end()
        && (!sameStream || versionedRow.row.epoch() != owned->second.epoch)) {
        this->endOwnership(partition, false, effects);
    }
    this->rows[partition] = versionedRow;
    this->references.setRow(partition, versionedRow.row);
}

void PartitionOwnership::endOwnership(core::PartitionId partition, bool handedOver, OwnershipEffects& effects)
{
    const auto found = this->ownedPartitions.find(partition);
    if (found == this->ownedPartitions.end()) {
        return;
    }
    effects.emplace_back(OwnershipEnded { partition, found->second.epoch, handedOver });
    this->ownedPartitions.erase(found);
    this->recovery.cancel(partition);
    std::erase_if(
        this->pendingHandOvers, [partition](const PendingHandOver& item) { return item.partition == partition; });
    if (this->requestedSnapshot == partition) {
        this->requestedSnapshot.reset();
    }
    this->candidatesStale = true;
}

OwnershipEffects PartitionOwnership::onPartitionLost(core::PartitionId partition, core::Epoch epoch)
{
    OwnershipEffects effects;
    const auto found = this->ownedPartitions.find(partition);
    if (found != this->ownedPartitions.end() && found->second.epoch == epoch) {
        this->endOwnership(partition, false, effects);
        this->scan.resumeAt = {}; // Reads the row of the new owner.
    }
    return effects;
}

PartitionPhase PartitionOwnership::phase(core::PartitionId partition) const
{
    const auto found = this->ownedPartitions.find(partition);
    return found == this->ownedPartitions.end() ? PartitionPhase::NotOwned : found->second.phase;
}

std::string PartitionOwnership::ownerOf(core::PartitionId partition) const
{
    const auto found = this->rows.find(partition);
    if (found == this->rows.end()) {
        return {};
    }
    const auto& row = found->second.row;
    return row.successor().empty() ? row.node() : row.successor();
}

std::vector<std::pair<core::PartitionId, std::string>> PartitionOwnership::misplaced() const
{
    std::vector<std::pair<core::PartitionId, std::string>> result;
    for (const auto& [partition, owned] : this->ownedPartitions) {
        const auto preferred = preferredOwner(this->partitions, partition, this->nodes);
        if (owned.phase == PartitionPhase::Owned && preferred && *preferred != this->settings.node) {
            result.emplace_back(partition, *preferred);
        }
    }
    return result;
}

} // namespace lagoontiller::state
