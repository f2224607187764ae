#pragma once

#include "control/Effects.h"
#include "state/CommitStream.h"
#include "state/PartitionOwnership.h"
#include "state/Partitions.h"
#include "state/ProgramStore.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace lagoontiller::control {

/// \brief Continues a model call when the records that must precede it are durable.
struct StartRecorded {
    CallId call = 0;
};
/// \brief Continues a model call when its finished turn is durable.
struct TurnRecorded {
    CallId call = 0;
};
/// \brief Continues a non-repeatable service call when its intent is durable.
struct IntentRecorded {
    CallId call = 0;
};
/// \brief Continues a service call when its result is durable.
struct ResultRecorded {
    CallId call = 0;
};
/// \brief Continues the end of a program when it is durable; `call` is 0 if no caller waits for it.
struct EndRecorded {
    CallId call = 0;
    core::ProgramKey program;
};
/// \brief Frees the idempotency key of a call that was abandoned before its intent was durable, when the record of the
/// abandonment is settled.
struct AbandonRecorded {
    core::ProgramKey program;
    std::string key;
};
/// \brief Nothing waits for the records.
struct NoContinuation { };
/// \brief What to continue when records are durable, or when it is known that they never will be.
using Continuation = std::variant<StartRecorded, TurnRecorded, IntentRecorded, ResultRecorded, EndRecorded,
    AbandonRecorded, NoContinuation>;

/// \brief Appended records are durable or have been rejected.
struct RecordsSettled {
    Continuation continuation;
    /// \brief Set if the records will never be durable.
    std::optional<core::Error> error;
    /// \brief When the first transaction that may have written the records was sent.
    core::TimePoint firstSent {};
};
/// \brief This node has taken over and recovered the partition.
struct PartitionServed {
    core::PartitionId partition = 0;
};
/// \brief This node no longer owns the partition. `programs` are those it had in memory.
struct PartitionDropped {
    core::PartitionId partition = 0;
    bool handedOver = false;
    std::vector<core::ProgramKey> programs;
};
using DurableEvent = std::variant<RecordsSettled, PartitionServed, PartitionDropped>;
using DurableEvents = std::vector<DurableEvent>;

struct DurableSettings {
    std::string node;
    /// \brief Unique in the deployment; the id of this process run.
    std::string commitStreamName;
    core::Duration commitInterval = std::chrono::milliseconds(60);
};

/// \brief State of the programs in the partitions that this node owns, with the commit stream and the ownership
/// protocol.
///
/// `find` includes appended records immediately, before they are durable. RecordsSettled reports when they are durable.
class DurableState {
public:
    DurableState(
        const DurableSettings& settings, const state::Partitions& partitions, std::uint64_t seed, core::TimePoint now);

    [[nodiscard]] core::PartitionId partitionOf(const core::ProgramKey& program) const;
    /// \brief Whether this node owns the partition and has recovered it.
    [[nodiscard]] bool serves(core::PartitionId partition) const;
    /// \brief Whether this node is taking the partition over or recovering it.
    [[nodiscard]] bool isAcquiring(core::PartitionId partition) const;
    /// \brief Node that owns the partition by the latest ownership rows; empty if unknown.
    [[nodiscard]] std::string ownerOf(core::PartitionId partition) const { return this->ownership.ownerOf(partition); }
    [[nodiscard]] bool storeAvailable() const noexcept { return this->commitStream.storeAvailable(); }
    /// \brief nullptr if the program is unknown or its partition is not owned.
    [[nodiscard]] const state::ProgramState* find(const core::ProgramKey& program) const;
    /// \brief Recorded budget of the program's root; zero if the partition is not owned.
    [[nodiscard]] state::RootBudget budgetOf(const core::ProgramKey& program) const;
    /// \brief Whether the previous owner handed the partition over, rather than died. Determines how the reserved
    /// tokens of its programs are counted.
    [[nodiscard]] bool wasHandedOver(core::PartitionId partition) const;
    /// \brief nullptr if the partition is not owned.
    [[nodiscard]] const state::ProgramStore* programStore(core::PartitionId partition) const;
    [[nodiscard]] std::vector<core::PartitionId> servedPartitions() const;
    /// \brief Whether any appended record of the program is not durable yet.
    [[nodiscard]] bool isPending(const core::ProgramKey& program) const;
    /// \brief Whether any appended record of any program is not durable yet.
    [[nodiscard]] bool hasPending() const noexcept { return !this->pendingAppends.empty(); }

    /// \brief Queues records of one program for the next commit and applies them to its state. RecordsSettled returns
    /// the continuation. Nothing is recorded on error: OwnerChanged or StoreUnavailable.
    core::Expected<void> append(const core::ProgramKey& program, std::vector<records::Entry> entries,
        Continuation continuation, core::TimePoint now);
    /// \brief Removes an ended root program and its sub-agents from memory, unless one of them has an open cache
    /// release.
    void forget(const core::ProgramKey& root);

    void setNodes(const std::vector<state::LiveNode>& nodes, core::TimePoint now);
    /// \brief Reads the ownership rows at once, because another node has handed partitions over to this one.
    void onHandedOver(core::TimePoint now) { this->ownership.onHandedOver(now); }
    /// \brief Recovers this partition before others, because a call waits for it.
    void prioritise(core::PartitionId partition) { this->ownership.prioritise(partition); }
    /// \brief Starts the hand-over of a partition. Returns false if it has pending records or is not owned.
    bool handOver(core::PartitionId partition, const std::string& successor);
    /// \brief Owned partitions whose preferred owner is another living node, with that node.
    [[nodiscard]] std::vector<std::pair<core::PartitionId, std::string>> misplaced() const;

    [[nodiscard]] DurableEvents tick(core::TimePoint now, Effects& effects);
    [[nodiscard]] DurableEvents onTransaction(StoreClient client, state::OperationId operation,
        const state::TransactionResult& result, core::TimePoint now, Effects& effects);
    [[nodiscard]] DurableEvents onObjectWritten(StoreClient client, state::OperationId operation,
        const state::WriteResult& result, core::TimePoint now, Effects& effects);
    [[nodiscard]] DurableEvents onRow(StoreClient client, state::OperationId operation, const state::RowResult& result,
        core::TimePoint now, Effects& effects);
    [[nodiscard]] DurableEvents onRows(
        state::OperationId operation, const state::RowsResult& result, core::TimePoint now, Effects& effects);
    [[nodiscard]] DurableEvents onObject(
        state::OperationId operation, const state::ObjectResult& result, core::TimePoint now, Effects& effects);

    [[nodiscard]] std::uint64_t storeWrites() const
    {
        return this->commitStream.storeWrites() + this->ownership.storeWrites();
    }
    [[nodiscard]] std::uint64_t storeReads() const { return this->ownership.storeReads(); }
    /// \brief Approximate memory of the programs and of pending records.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct ServedPartition {
        state::ProgramStore store;
        bool handedOver = false;
    };
    struct PendingAppend {
        Continuation continuation;
        core::ProgramKey program;
    };

    void handle(state::CommitEffects commitEffects, core::TimePoint now, DurableEvents& events, Effects& effects);
    void handle(state::OwnershipEffects ownershipEffects, core::TimePoint now, DurableEvents& events, Effects& effects);
    void settle(
        state::AppendId ticket, std::optional<core::Error> error, core::TimePoint firstSent, DurableEvents& events);
    void dropPartition(
        core::PartitionId partition, bool handedOver, core::TimePoint now, DurableEvents& events, Effects& effects);

    state::Partitions partitions;
    state::CommitStream commitStream;
    state::PartitionOwnership ownership;
    std::map<core::PartitionId, ServedPartition> partitionsById;
    std::map<state::AppendId, PendingAppend> pendingAppends;
    std::map<core::ProgramKey, std::size_t> pendingAppendCounts;
};

} // namespace lagoontiller::control
