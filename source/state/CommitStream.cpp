#include "state/CommitStream.h"

#include "state/StoreKeys.h"

#include <algorithm>
#include <fmt/format.h>

namespace lagoontiller::state {

CommitStream::CommitStream(std::string stream, CommitSettings settings, Generator generator)
    : stream(std::move(stream))
    , settings(settings)
    , generator(generator)
    , backoff(settings.firstBackoff, settings.mostBackoff)
{
}

CommitEffects CommitStream::setPartition(core::PartitionId partition, core::Epoch epoch, tables::RowVersion version)
{
    CommitEffects effects;
    if (!this->isHeld(partition, epoch)) {
        effects = this->dropPartition(partition);
    }
    this->partitions[partition] = { epoch, version };
    return effects;
}

CommitEffects CommitStream::dropPartition(core::PartitionId partition)
{
    CommitEffects effects;
    this->partitions.erase(partition);
    std::deque<Pending> kept;
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

core::Expected<Ticket> CommitStream::append(std::vector<records::Entry> entries, core::TimePoint now)
{
    if (entries.empty()) {
        return core::failure(core::ResultCode::Internal, "no entry to append");
    }
    const core::PartitionId partition = entries.front().partition();
    const auto held = this->partitions.find(partition);
    if (held == this->partitions.end()) {
        return core::failure(core::ResultCode::OwnerChanged, "this node does not own the partition");
    }
    std::size_t size = 0;
    for (auto& entry : entries) {
        if (entry.partition() != partition) {
            return core::failure(core::ResultCode::Internal, "entries of one ticket must share a partition");
        }
        entry.set_epoch(held->second.epoch);
        size += entry.ByteSizeLong();
    }
    const auto* oldest = this->flight ? &this->flight->tickets.front() : nullptr;
    if (oldest == nullptr && !this->queue.empty()) {
        oldest = &this->queue.front();
    }
    const bool tooOld = oldest != nullptr && now - oldest->appended > this->settings.pendingAge;
    if (tooOld || this->bytes + size > this->settings.pendingBytes) {
        return core::failure(core::ResultCode::StoreUnavailable, "too many records wait for the store");
    }
    this->bytes += size;
    this->lastTicket += 1;
    this->queue.push_back({ this->lastTicket, partition, held->second.epoch, now, size, std::move(entries) });
    return this->lastTicket;
}

CommitEffects CommitStream::tick(core::TimePoint now)
{
    CommitEffects effects;
    if (!this->flight && !this->queue.empty() && now >= this->earliestStart) {
        this->startBatch(now);
    }
    if (this->flight && this->flight->operation == 0 && now >= this->flight->resumeAt) {
        this->perform(now, effects);
    }
    return effects;
}

std::optional<core::TimePoint> CommitStream::nextTick() const
{
    if (this->flight) {
        return this->flight->operation == 0 ? std::optional(this->flight->resumeAt) : std::nullopt;
    }
    return this->queue.empty() ? std::nullopt : std::optional(this->earliestStart);
}

bool CommitStream::hasPending(core::PartitionId partition) const
{
    const auto matches = [partition](const Pending& pending) { return pending.partition == partition; };
    const bool flying = this->flight && std::ranges::any_of(this->flight->tickets, matches);
    return flying || std::ranges::any_of(this->queue, matches);
}

void CommitStream::startBatch(core::TimePoint now)
{
    this->flight = Flight();
    this->flight->resumeAt = now;
    this->flight->batchId = fmt::format("{:016x}{:016x}", this->generator(), this->generator());
    std::size_t size = 0;
    while (!this->queue.empty() && (size == 0 || size + this->queue.front().size <= this->settings.batchBytes)) {
        auto& next = this->queue.front();
        size += next.size;
        this->flight->held[next.partition] = this->partitions.at(next.partition);
        this->flight->tickets.push_back(std::move(next));
        this->queue.pop_front();
    }
    this->serialise();
}

void CommitStream::serialise()
{
    auto& current = *this->flight;
    records::Batch batch;
    batch.set_batch_id(current.batchId);
    batch.set_sequence(this->sequence);
    for (const auto& pending : current.tickets) {
        for (const auto& entry : pending.entries) {
            *batch.add_entries() = entry;
        }
    }
    current.serialised = batch.SerializeAsString();
    current.object.clear();
    current.step = Step::WriteLogRow;
    if (current.serialised.size() > this->settings.objectThresholdBytes) {
        current.object = logObjectKey(this->stream, this->sequence, current.batchId);
        current.step = Step::WriteBatchObject;
    }
}

void CommitStream::perform(core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->flight;
    this->lastOperation += 1;
    current.operation = this->lastOperation;
    switch (current.step) {
    case Step::WriteBatchObject:
        this->writes += 1;
        this->earliestStart = now + this->settings.minimumInterval;
        effects.push_back(WriteObject { current.operation, current.object, current.serialised });
        break;
    case Step::WriteLogRow:
        this->writeLogRow(now, effects);
        break;
    case Step::ReadBack:
        effects.push_back(ReadRow { current.operation, logKey(this->stream, this->sequence) });
        break;
    case Step::CheckOwner:
        effects.push_back(ReadRow { current.operation, ownerKey(*current.toCheck.begin()) });
        break;
    }
}

void CommitStream::writeLogRow(core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->flight;
    this->writes += 1;
    this->earliestStart = now + this->settings.minimumInterval;
    if (!current.firstSent) {
        current.firstSent = now;
    }
    this->refreshVersions();
    const auto key = logKey(this->stream, this->sequence);
    tables::Transaction transaction;
    transaction.token = current.batchId;
    transaction.conditions.push_back({ key, 0 });
    for (const auto& [partition, held] : current.held) {
        transaction.conditions.push_back({ ownerKey(partition), held.version });
    }
    const LogRow row { current.batchId, current.object.empty() ? current.serialised : std::string(), current.object };
    transaction.puts.push_back({ key, encodeLogRow(row) });
    effects.push_back(WriteTransaction { current.operation, std::move(transaction) });
}

void CommitStream::refreshVersions()
{
    // Own writes to the ownership row, such as a new snapshot, raise its version between attempts.
    for (auto& [partition, held] : this->flight->held) {
        if (this->isHeld(partition, held.epoch)) {
            held.version = this->partitions.at(partition).version;
        }
    }
}

void CommitStream::retryLater(Step step, core::TimePoint now)
{
    this->flight->step = step;
    this->flight->operation = 0;
    this->flight->resumeAt = now + this->backoff.next(this->generator);
}

void CommitStream::proceed(Step step, core::TimePoint now, CommitEffects& effects)
{
    this->flight->step = step;
    this->perform(now, effects);
}

CommitEffects CommitStream::onObjectWritten(OperationId operation, const WriteResult& result, core::TimePoint now)
{
    CommitEffects effects;
    if (!this->awaits(operation, { Step::WriteBatchObject })) {
        return effects;
    }
    if (!result) {
        this->retryLater(Step::WriteBatchObject, now); // Writing the same object again is harmless.
        return effects;
    }
    this->backoff.reset();
    this->proceed(Step::WriteLogRow, now, effects);
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
    auto& current = *this->flight;
    // The row exists already: an earlier attempt of this batch may have written it.
    if (std::ranges::find(failed, logKey(this->stream, this->sequence)) != failed.end()) {
        this->proceed(Step::ReadBack, now, effects);
        return;
    }
    current.toCheck.clear();
    for (const auto& key : failed) {
        const auto partition = partitionOfOwnerKey(key);
        if (partition && current.held.contains(*partition)) {
            current.toCheck.insert(*partition);
        }
    }
    if (current.toCheck.empty()) {
        for (const auto& [partition, held] : current.held) {
            current.toCheck.insert(partition);
        }
    }
    this->proceed(Step::CheckOwner, now, effects);
}

CommitEffects CommitStream::onRow(OperationId operation, const RowResult& result, core::TimePoint now)
{
    CommitEffects effects;
    if (!this->awaits(operation, { Step::ReadBack, Step::CheckOwner })) {
        return effects;
    }
    if (!result) {
        this->retryLater(this->flight->step, now);
        return effects;
    }
    this->backoff.reset();
    if (this->flight->step == Step::ReadBack) {
        this->onReadBack(*result, now, effects);
    } else {
        this->onOwnerRow(*result, now, effects);
    }
    return effects;
}

void CommitStream::onReadBack(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->flight;
    current.operation = 0;
    current.resumeAt = std::max(now, this->earliestStart);
    if (!row) {
        current.step = Step::WriteLogRow;
        return;
    }
    const auto decoded = decodeLogRow(row->value);
    if (decoded && decoded->batchId == current.batchId) {
        this->finishCommitted(effects);
        return;
    }
    this->sequence += 1; // Another batch holds this sequence, so no attempt of ours can still take it.
    this->serialise();
}

void CommitStream::onOwnerRow(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects)
{
    auto& current = *this->flight;
    const auto partition = *current.toCheck.begin();
    const auto epoch = current.held.at(partition).epoch;
    current.toCheck.erase(current.toCheck.begin());
    records::OwnerRow owner;
    const bool ours
        = row && owner.ParseFromString(row->value) && owner.epoch() == epoch && owner.stream() == this->stream;
    if (ours && this->isHeld(partition, epoch)) {
        auto& version = this->partitions.at(partition).version;
        version = std::max(version, row->version);
    } else if (!ours && this->isHeld(partition, epoch)) {
        effects.push_back(PartitionLost { partition, epoch });
        auto rejected = this->dropPartition(partition);
        std::ranges::move(rejected, std::back_inserter(effects));
    }
    if (!current.toCheck.empty()) {
        this->proceed(Step::CheckOwner, now, effects);
        return;
    }
    this->requeue(effects);
}

void CommitStream::requeue(CommitEffects& effects)
{
    // A failed condition on a row version fails for ever, because versions only rise. No earlier attempt of this batch
    // can take effect any more, and its tickets may go into a new batch.
    auto tickets = std::move(this->flight->tickets);
    this->flight.reset();
    for (auto position = tickets.rbegin(); position != tickets.rend(); ++position) {
        if (this->isHeld(position->partition, position->epoch)) {
            this->queue.push_front(std::move(*position));
        } else {
            this->reject(*position, effects);
        }
    }
}

void CommitStream::finishCommitted(CommitEffects& effects)
{
    for (const auto& pending : this->flight->tickets) {
        this->bytes -= pending.size;
        effects.push_back(TicketCommitted { pending.ticket, *this->flight->firstSent });
    }
    if (!this->flight->object.empty()) {
        this->objects.emplace(this->sequence, this->flight->object);
    }
    this->flight.reset();
    this->sequence += 1;
}

std::vector<std::string> CommitStream::takeObjectsBefore(std::uint64_t sequence)
{
    std::vector<std::string> keys;
    const auto end = this->objects.lower_bound(sequence);
    for (auto position = this->objects.begin(); position != end; ++position) {
        keys.push_back(position->second);
    }
    this->objects.erase(this->objects.begin(), end);
    return keys;
}

void CommitStream::reject(const Pending& pending, CommitEffects& effects)
{
    this->bytes -= pending.size;
    effects.push_back(TicketRejected {
        pending.ticket, core::Error(core::ResultCode::OwnerChanged, "the partition has another owner") });
}

bool CommitStream::isHeld(core::PartitionId partition, core::Epoch epoch) const
{
    const auto held = this->partitions.find(partition);
    return held != this->partitions.end() && held->second.epoch == epoch;
}

bool CommitStream::awaits(OperationId operation, std::initializer_list<Step> steps) const
{
    return this->flight && operation != 0 && this->flight->operation == operation
        && std::ranges::find(steps, this->flight->step) != steps.end();
}

} // namespace lagoontiller::state
