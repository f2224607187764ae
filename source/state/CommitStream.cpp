#include "state/CommitStream.h"

#include "state/StoreKeys.h"

#include <algorithm>
#include <fmt/format.h>

namespace lagoontiller::state {

CommitStream::CommitStream(std::string stream, CommitSettings settings, Generator generator)
    : stream(std::move(stream))
    , settings(settings)
    , generator(generator)
    , backoff(settings.minBackoff, settings.maxBackoff)
{
}

CommitEffects CommitStream::setPartition(core::PartitionId partition, core::Epoch epoch, tables::RowVersion version)
{
    CommitEffects effects;
    if (!this->isOwned(partition, epoch)) {
        effects = this->dropPartition(partition);
    }
    this->partitions[partition] = { epoch, version };
    return effects;
}

CommitEffects CommitStream::dropPartition(core::PartitionId partition)
{
    CommitEffects effects;
    this->partitions.erase(partition);
    std::deque<PendingAppend> kept;
    for (auto& pending : this->queue) {
        if (pending.partition == partition) {
            this->reject(pending, effects);
        } else {
            kept.push_back(std::move(pending));
        }
    }
    this->queue = std::move(kept);
    return effects;
}

core::Expected<AppendId> CommitStream::append(std::vector<records::Entry> entries, core::TimePoint now)
{
    if (entries.empty()) {
        return core::failure(core::ResultCode::Internal, "no entry to append");
    }
    const core::PartitionId partition = entries.front().partition();
    const auto owned = this->partitions.find(partition);
    if (owned == this->partitions.end()) {
        return core::failure(core::ResultCode::OwnerChanged, "this node does not own the partition");
    }
    std::size_t size = 0;
    for (auto& entry : entries) {
        if (entry.partition() != partition) {
            return core::failure(core::ResultCode::Internal, "the entries of one append must belong to one partition");
        }
        entry.set_epoch(owned->second.epoch);
        size += entry.ByteSizeLong();
    }
    const auto* oldest = this->inFlight ? &this->inFlight->appends.front() : nullptr;
    if (oldest == nullptr && !this->queue.empty()) {
        oldest = &this->queue.front();
    }
    const bool tooOld = oldest != nullptr && now - oldest->appended > this->settings.maxPendingAge;
    if (tooOld || this->totalPendingBytes + size > this->settings.maxPendingBytes) {
        return core::failure(core::ResultCode::StoreUnavailable, "too many records wait for the store");
    }
    this->totalPendingBytes += size;
    this->lastAppendId += 1;
    this->queue.push_back({ this->lastAppendId, partition, owned->second.epoch, now, size, std::move(entries) });
    return this->lastAppendId;
}

CommitEffects CommitStream::tick(core::TimePoint now)
{
    CommitEffects effects;
    if (!this->inFlight && !this->queue.empty() && now >= this->nextWriteAt) {
        this->startBatch(now);
    }
    if (this->inFlight && this->inFlight->operation == 0 && now >= this->inFlight->resumeAt) {
        this->startStep(now, effects);
    }
    return effects;
}

std::optional<core::TimePoint> CommitStream::nextTick() const
{
    if (this->inFlight) {
        return this->inFlight->operation == 0 ? std::optional(this->inFlight->resumeAt) : std::nullopt;
    }
    return this->queue.empty() ? std::nullopt : std::optional(this->nextWriteAt);
}

bool CommitStream::hasPending(core::PartitionId partition) const
{
    const auto matches = [partition](const PendingAppend& pending) { return pending.partition == partition; };
    const bool inFlightMatches = this->inFlight && std::ranges::any_of(this->inFlight->appends, matches);
    return inFlightMatches || std::ranges::any_of(this->queue, matches);
}

void CommitStream::startBatch(core::TimePoint now)
{
    this->inFlight = InFlightBatch();
    this->inFlight->resumeAt = now;
    this->inFlight->batchId = fmt::format("{:016x}{:016x}", this->generator(), this->generator());
    std::size_t size = 0;
    while (!this->queue.empty() && (size == 0 || size + this->queue.front().size <= this->settings.maxBatchBytes)) {
        auto& next = this->queue.front();
        size += next.size;
        this->inFlight->owned[next.partition] = this->partitions.at(next.partition);
        this->inFlight->appends.push_back(std::move(next));
        this->queue.pop_front();
    }
    this->serialise();
}

void CommitStream::serialise()
{
    auto& current = *this->inFlight;
    records::Batch batch;
    batch.set_batch_id(current.batchId);
    batch.set_sequence(this->sequence);
    for (const auto& pending : current.appends) {
        for (const auto& entry : pending.entries) {
            *batch.add_entries() = entry;
        }
    }
    current.serialised = batch.SerializeAsString();
    current.object.clear();
    current.step = Step::WriteLogRow;
    if (current.serialised.size() > this->settings.maxInlineBatchBytes) {
        current.object = logObjectKey(this->stream, this->sequence, current.batchId);
        current.step = Step::WriteBatchObject;
    }
}

void CommitStream::startStep(core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->inFlight;
    this->lastOperation += 1;
    current.operation = this->lastOperation;
    switch (current.step) {
    case Step::WriteBatchObject:
        this->writeCount += 1;
        this->nextWriteAt = now + this->settings.minWriteInterval;
        effects.push_back(WriteObject { current.operation, current.object, current.serialised });
        break;
    case Step::WriteLogRow:
        this->writeLogRow(now, effects);
        break;
    case Step::ReadBack:
        effects.push_back(ReadRow { current.operation, logKey(this->stream, this->sequence) });
        break;
    case Step::CheckOwner:
        effects.push_back(ReadRow { current.operation, ownerKey(*current.ownersToCheck.begin()) });
        break;
    }
}

void CommitStream::writeLogRow(core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->inFlight;
    this->writeCount += 1;
    this->nextWriteAt = now + this->settings.minWriteInterval;
    if (!current.firstSent) {
        current.firstSent = now;
    }
    this->refreshVersions();
    const auto key = logKey(this->stream, this->sequence);
    tables::Transaction transaction;
    transaction.token = current.batchId;
    transaction.conditions.push_back({ key, 0 });
    for (const auto& [partition, owned] : current.owned) {
        transaction.conditions.push_back({ ownerKey(partition), owned.version });
    }
    const LogRow row { current.batchId, current.object.empty() ? current.serialised : std::string(), current.object };
    transaction.puts.push_back({ key, encodeLogRow(row) });
    effects.push_back(WriteTransaction { current.operation, std::move(transaction) });
}

void CommitStream::refreshVersions()
{
    // This node's own writes to the ownership row, such as a new snapshot, raise its version between attempts.
    for (auto& [partition, owned] : this->inFlight->owned) {
        if (this->isOwned(partition, owned.epoch)) {
            owned.version = this->partitions.at(partition).version;
        }
    }
}

void CommitStream::retryLater(Step step, core::TimePoint now)
{
    this->inFlight->step = step;
    this->inFlight->operation = 0;
    this->inFlight->resumeAt = now + this->backoff.nextDelay(this->generator);
}

void CommitStream::continueWith(Step step, core::TimePoint now, CommitEffects& effects)
{
    this->inFlight->step = step;
    this->startStep(now, effects);
}

CommitEffects CommitStream::onObjectWritten(OperationId operation, const WriteResult& result, core::TimePoint now)
{
    CommitEffects effects;
    if (!this->awaits(operation, { Step::WriteBatchObject })) {
        return effects;
    }
    if (!result) {
        this->retryLater(Step::WriteBatchObject, now); // A repeated write stores the same bytes.
        return effects;
    }
    this->backoff.reset();
    this->continueWith(Step::WriteLogRow, now, effects);
    return effects;
}

CommitEffects CommitStream::onTransaction(OperationId operation, const TransactionResult& result, core::TimePoint now)
{
    CommitEffects effects;
    if (!this->awaits(operation, { Step::WriteLogRow })) {
        return effects;
    }
    if (!result) {
        const bool notSent = result.error().code == core::ResultCode::StoreUnavailable;
        this->retryLater(notSent ? Step::WriteLogRow : Step::ReadBack, now);
        return effects;
    }
    this->backoff.reset();
    if (result->committed) {
        this->finishCommitted(effects);
    } else {
        this->onFailedConditions(result->failed, now, effects);
    }
    return effects;
}

void CommitStream::onFailedConditions(
    const std::vector<std::string>& failed, core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->inFlight;
    // The row exists already: an earlier attempt of this batch may have written it.
    if (std::ranges::find(failed, logKey(this->stream, this->sequence)) != failed.end()) {
        this->continueWith(Step::ReadBack, now, effects);
        return;
    }
    current.ownersToCheck.clear();
    for (const auto& key : failed) {
        const auto partition = partitionOfOwnerKey(key);
        if (partition && current.owned.contains(*partition)) {
            current.ownersToCheck.insert(*partition);
        }
    }
    if (current.ownersToCheck.empty()) {
        for (const auto& [partition, owned] : current.owned) {
            current.ownersToCheck.insert(partition);
        }
    }
    this->continueWith(Step::CheckOwner, now, effects);
}

CommitEffects CommitStream::onRow(OperationId operation, const RowResult& result, core::TimePoint now)
{
    CommitEffects effects;
    if (!this->awaits(operation, { Step::ReadBack, Step::CheckOwner })) {
        return effects;
    }
    if (!result) {
        this->retryLater(this->inFlight->step, now);
        return effects;
    }
    this->backoff.reset();
    if (this->inFlight->step == Step::ReadBack) {
        this->onReadBack(*result, now, effects);
    } else {
        this->onOwnerRow(*result, now, effects);
    }
    return effects;
}

void CommitStream::onReadBack(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->inFlight;
    current.operation = 0;
    current.resumeAt = std::max(now, this->nextWriteAt);
    if (!row) {
        current.step = Step::WriteLogRow;
        return;
    }
    const auto decoded = decodeLogRow(row->value);
    if (decoded && decoded->batchId == current.batchId) {
        this->finishCommitted(effects);
        return;
    }
    this->sequence += 1; // The row holds another batch, so no attempt of this batch with this sequence can succeed.
    this->serialise();
}

void CommitStream::onOwnerRow(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->inFlight;
    const auto partition = *current.ownersToCheck.begin();
    const auto epoch = current.owned.at(partition).epoch;
    current.ownersToCheck.erase(current.ownersToCheck.begin());
    records::OwnerRow owner;
    const bool ownedByUs
        = row && owner.ParseFromString(row->value) && owner.epoch() == epoch && owner.stream() == this->stream;
    if (ownedByUs && this->isOwned(partition, epoch)) {
        auto& version = this->partitions.at(partition).version;
        version = std::max(version, row->version);
    } else if (!ownedByUs && this->isOwned(partition, epoch)) {
        effects.push_back(PartitionLost { partition, epoch });
        auto rejected = this->dropPartition(partition);
        std::ranges::move(rejected, std::back_inserter(effects));
    }
    if (!current.ownersToCheck.empty()) {
        this->continueWith(Step::CheckOwner, now, effects);
        return;
    }
    this->requeue(effects);
}

void CommitStream::requeue(CommitEffects& effects)
{
    // Row versions only rise, so a condition on a version that failed once fails in every attempt of this batch. No
    // attempt can take effect any more, and the appends may go into a new batch.
    auto appends = std::move(this->inFlight->appends);
    this->inFlight.reset();
    for (auto position = appends.rbegin(); position != appends.rend(); ++position) {
        if (this->isOwned(position->partition, position->epoch)) {
            this->queue.push_front(std::move(*position));
        } else {
            this->reject(*position, effects);
        }
    }
}

void CommitStream::finishCommitted(CommitEffects& effects)
{
    for (const auto& pending : this->inFlight->appends) {
        this->totalPendingBytes -= pending.size;
        effects.push_back(AppendCommitted { pending.id, *this->inFlight->firstSent });
    }
    if (!this->inFlight->object.empty()) {
        this->batchObjects.emplace(this->sequence, this->inFlight->object);
    }
    this->inFlight.reset();
    this->sequence += 1;
}

std::vector<std::string> CommitStream::takeObjectsBefore(std::uint64_t sequence)
{
    std::vector<std::string> keys;
    const auto end = this->batchObjects.lower_bound(sequence);
    for (auto position = this->batchObjects.begin(); position != end; ++position) {
        keys.push_back(position->second);
    }
    this->batchObjects.erase(this->batchObjects.begin(), end);
    return keys;
}

void CommitStream::reject(const PendingAppend& pending, CommitEffects& effects)
{
    this->totalPendingBytes -= pending.size;
    effects.push_back(
        AppendRejected { pending.id, core::Error(core::ResultCode::OwnerChanged, "the partition has another owner") });
}

bool CommitStream::isOwned(core::PartitionId partition, core::Epoch epoch) const
{
    const auto owned = this->partitions.find(partition);
    return owned != this->partitions.end() && owned->second.epoch == epoch;
}

bool CommitStream::awaits(OperationId operation, std::initializer_list<Step> steps) const
{
    return this->inFlight && operation != 0 && this->inFlight->operation == operation
        && std::ranges::find(steps, this->inFlight->step) != steps.end();
}

} // namespace lagoontiller::state
