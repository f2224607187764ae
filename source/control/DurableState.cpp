#include "control/DurableState.h"

#include "control/Overloaded.h"
#include "core/Log.h"

namespace lagoontiller::control {

namespace {

state::CommitSettings commitSettings(const DurableSettings& settings)
{
    state::CommitSettings result;
    result.minWriteInterval = settings.commitInterval;
    return result;
}

state::OwnershipSettings ownershipSettings(const DurableSettings& settings)
{
    state::OwnershipSettings result;
    result.node = settings.node;
    result.stream = settings.commitStreamName;
    return result;
}

} // namespace

DurableState::DurableState(
    const DurableSettings& settings, const state::Partitions& partitions, std::uint64_t seed, core::TimePoint now)
    : partitions(partitions)
    , commitStream(settings.commitStreamName, commitSettings(settings), state::Generator(seed))
    , ownership(ownershipSettings(settings), partitions, state::Generator(seed + 1), now)
{
}

core::PartitionId DurableState::partitionOf(const core::ProgramKey& program) const
{
    return this->partitions.partitionOf(program);
}

bool DurableState::serves(core::PartitionId partition) const
{
    return this->partitionsById.contains(partition) && this->ownership.phase(partition) == state::PartitionPhase::Owned;
}

bool DurableState::isAcquiring(core::PartitionId partition) const
{
    const auto phase = this->ownership.phase(partition);
    return phase == state::PartitionPhase::TakingOver || phase == state::PartitionPhase::Recovering;
}

const state::ProgramState* DurableState::find(const core::ProgramKey& program) const
{
    const auto* store = this->programStore(this->partitionOf(program));
    return store == nullptr ? nullptr : store->find(program);
}

state::RootBudget DurableState::budgetOf(const core::ProgramKey& program) const
{
    const auto* store = this->programStore(this->partitionOf(program));
    return store == nullptr ? state::RootBudget {} : store->budgetOf(program);
}

bool DurableState::wasHandedOver(core::PartitionId partition) const
{
    const auto found = this->partitionsById.find(partition);
    return found != this->partitionsById.end() && found->second.handedOver;
}

const state::ProgramStore* DurableState::programStore(core::PartitionId partition) const
{
    const auto found = this->partitionsById.find(partition);
    return found == this->partitionsById.end() ? nullptr : &found->second.store;
}

std::vector<core::PartitionId> DurableState::servedPartitions() const
{
    std::vector<core::PartitionId> result;
    for (const auto& [partition, store] : this->partitionsById)
        result.push_back(partition);
    return result;
}

bool DurableState::isPending(const core::ProgramKey& program) const
{
    return this->pendingAppendCounts.contains(program);
}

core::Expected<void> DurableState::append(const core::ProgramKey& program, std::vector<records::Entry> entries,
    Continuation continuation, core::TimePoint now)
{
    const auto partition = this->partitionOf(program);
    const auto found = this->partitionsById.find(partition);
    if (found == this->partitionsById.end())
        return core::failure(core::ResultCode::OwnerChanged, "this node does not own the program");
    for (auto& entry : entries) {
        entry.set_partition(partition);
        if (entry.program().empty()) {
            entry.set_customer(program.customer);
            entry.set_program(program.program);
        }
    }
    const auto ticket = this->commitStream.append(entries, now);
    if (!ticket)
        return tl::unexpected(ticket.error());
    for (const auto& entry : entries)
        found->second.store.apply(entry);
    this->pendingAppends.emplace(*ticket, PendingAppend { std::move(continuation), program });
    ++this->pendingAppendCounts[program];
    return {};
}

void DurableState::forget(const core::ProgramKey& root)
{
    const auto found = this->partitionsById.find(this->partitionOf(root));
    if (found != this->partitionsById.end())
        found->second.store.removeTree(root);
}

void DurableState::setNodes(const std::vector<state::LiveNode>& nodes, core::TimePoint now)
{
    this->ownership.setNodes(nodes, now);
}

bool DurableState::handOver(core::PartitionId partition, const std::string& successor)
{
    if (!this->serves(partition) || this->commitStream.hasPending(partition))
        return false;
    // The partition has no pending records, so the result contains no rejected ticket.
    static_cast<void>(this->commitStream.dropPartition(partition));
    return this->ownership.handOver(partition, successor);
}

std::vector<std::pair<core::PartitionId, std::string>> DurableState::misplaced() const
{
    return this->ownership.misplaced();
}

DurableEvents DurableState::tick(core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    this->handle(this->commitStream.tick(now), now, events, effects);
    this->handle(this->ownership.tick(now, this->commitStream.nextSequence()), now, events, effects);
    return events;
}

DurableEvents DurableState::onTransaction(StoreClient client, state::OperationId operation,
    const state::TransactionResult& result, core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    if (client == StoreClient::Commit)
        this->handle(this->commitStream.onTransaction(operation, result, now), now, events, effects);
    else
        this->handle(this->ownership.onTransaction(operation, result, now), now, events, effects);
    return events;
}

DurableEvents DurableState::onObjectWritten(StoreClient client, state::OperationId operation,
    const state::WriteResult& result, core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    if (client == StoreClient::Commit)
        this->handle(this->commitStream.onObjectWritten(operation, result, now), now, events, effects);
    else
        this->handle(this->ownership.onObjectWritten(operation, result, now), now, events, effects);
    return events;
}

DurableEvents DurableState::onRow(StoreClient client, state::OperationId operation, const state::RowResult& result,
    core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    if (client == StoreClient::Commit)
        this->handle(this->commitStream.onRow(operation, result, now), now, events, effects);
    else
        this->handle(this->ownership.onRow(operation, result, now), now, events, effects);
    return events;
}

DurableEvents DurableState::onRows(
    state::OperationId operation, const state::RowsResult& result, core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    this->handle(this->ownership.onRows(operation, result, now), now, events, effects);
    return events;
}

DurableEvents DurableState::onObject(
    state::OperationId operation, const state::ObjectResult& result, core::TimePoint now, Effects& effects)
{
    DurableEvents events;
    this->handle(this->ownership.onObject(operation, result, now), now, events, effects);
    return events;
}

std::size_t DurableState::memoryBytes() const
{
    std::size_t bytes = this->commitStream.pendingBytes();
    for (const auto& [partition, served] : this->partitionsById)
        bytes += served.store.memoryBytes();
    return bytes;
}

void DurableState::handle(
    state::CommitEffects commitEffects, core::TimePoint now, DurableEvents& events, Effects& effects)
{
    for (auto& effect : commitEffects) {
        std::visit(Overloaded {
                       [&](state::AppendCommitted& committed) {
                           this->settle(committed.id, std::nullopt, committed.firstSent, events);
                       },
                       [&](state::AppendRejected& rejected) { this->settle(rejected.id, rejected.error, now, events); },
                       [&](state::PartitionLost& lost) {
                           this->handle(
                               this->ownership.onPartitionLost(lost.partition, lost.epoch), now, events, effects);
                       },
                       [&](auto& operation) {
                           effects.push_back(StoreOperation { StoreClient::Commit, std::move(operation) });
                       },
                   },
            effect);
    }
}

void DurableState::handle(
    state::OwnershipEffects ownershipEffects, core::TimePoint now, DurableEvents& events, Effects& effects)
{
    for (auto& effect : ownershipEffects) {
        std::visit(Overloaded {
                       [&](state::PartitionRecovered& recovered) {
                           auto partitionEffects = this->commitStream.setPartition(
                               recovered.partition, recovered.epoch, recovered.version);
                           this->handle(std::move(partitionEffects), now, events, effects);
                           this->partitionsById.insert_or_assign(recovered.partition,
                               ServedPartition { std::move(recovered.store), recovered.handedOver });
                           events.push_back(PartitionServed { recovered.partition });
                       },
                       [&](state::RowVersionChanged& changed) {
                           auto partitionEffects
                               = this->commitStream.setPartition(changed.partition, changed.epoch, changed.version);
                           this->handle(std::move(partitionEffects), now, events, effects);
                       },
                       [&](state::OwnershipEnded& ended) {
                           this->dropPartition(ended.partition, ended.handedOver, now, events, effects);
                       },
                       [&](state::SnapshotDue& due) {
                           if (const auto* store = this->programStore(due.partition)) {
                               this->ownership.snapshot(due.partition, due.epoch,
                                   store->snapshotEntries(due.partition, due.epoch), this->commitStream.nextSequence());
                           }
                       },
                       [&](state::LogDeleted& deleted) {
                           for (auto& key : this->commitStream.takeObjectsBefore(deleted.sequence))
                               effects.push_back(
                                   StoreOperation { StoreClient::Ownership, state::DeleteObject { std::move(key) } });
                       },
                       [&](auto& operation) {
                           effects.push_back(StoreOperation { StoreClient::Ownership, std::move(operation) });
                       },
                   },
            effect);
    }
}

void DurableState::settle(
    state::AppendId ticket, std::optional<core::Error> error, core::TimePoint firstSent, DurableEvents& events)
{
    const auto found = this->pendingAppends.find(ticket);
    if (found == this->pendingAppends.end())
        return;
    const auto pending = this->pendingAppendCounts.find(found->second.program);
    if (pending != this->pendingAppendCounts.end() && --pending->second == 0)
        this->pendingAppendCounts.erase(pending);
    events.push_back(RecordsSettled { std::move(found->second.continuation), std::move(error), firstSent });
    this->pendingAppends.erase(found);
}

void DurableState::dropPartition(
    core::PartitionId partition, bool handedOver, core::TimePoint now, DurableEvents& events, Effects& effects)
{
    PartitionDropped dropped { partition, handedOver, {} };
    if (const auto* store = this->programStore(partition)) {
        for (const auto& [key, program] : store->all())
            dropped.programs.push_back(key);
    }
    this->partitionsById.erase(partition);
    core::logInfo("partition_dropped").with("partition", partition).with("handed_over", handedOver);
    events.push_back(std::move(dropped));
    this->handle(this->commitStream.dropPartition(partition), now, events, effects);
}

} // namespace lagoontiller::control
