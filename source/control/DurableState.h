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

/// \brief The records that a call needs before its work may start are durable.
struct StartRecorded {
    CallId call = 0;
};
struct TurnRecorded {
    CallId call = 0;
};
struct IntentRecorded {
    CallId call = 0;
};
struct ResultRecorded {
    CallId call = 0;
};
struct EndRecorded {
    CallId call = 0;
    core::ProgramKey program;
};
/// \brief The record that a call was given up before its intent was durable.
struct AbandonRecorded {
    core::ProgramKey program;
    std::string key;
};
/// \brief Nothing waits for these records.
struct NoContinuation { };
/// \brief What goes on when records are durable, or are known never to be.
using Continuation = std::variant<StartRecorded, TurnRecorded, IntentRecorded, ResultRecorded, EndRecorded,
    AbandonRecorded, NoContinuation>;

struct RecordsSettled {
    Continuation continuation;
    /// \brief Set when the records will never be durable.
    std::optional<core::Error> error;
    /// \brief Start of the first transaction that may have written them.
    core::TimePoint firstSent {};
};
struct PartitionServed {
    core::PartitionId partition = 0;
};
struct PartitionDropped {
    core::PartitionId partition = 0;
    bool handedOver = false;
    std::vector<core::ProgramKey> programs;
};
using DurableEvent = std::variant<RecordsSettled, PartitionServed, PartitionDropped>;
using DurableEvents = std::vector<DurableEvent>;

struct DurableSettings {
    std::string node;
    /// \brief Unique name of this process run.
    std::string commitStreamName;
    core::Duration commitInterval = std::chrono::milliseconds(60);
};

/// \brief Programs of the partitions that this node owns, with the commit stream and the ownership protocol.
///
/// Appended records count in `find` at once; a caller is told that they are durable only by RecordsSettled.
class DurableState {
public:
    DurableState(
        const DurableSettings& settings, const state::Partitions& partitions, std::uint64_t seed, core::TimePoint now);

    [[nodiscard]] core::PartitionId partitionOf(const core::ProgramKey& program) const;
    [[nodiscard]] bool serves(core::PartitionId partition) const;
    [[nodiscard]] bool isAcquiring(core::PartitionId partition) const;
    [[nodiscard]] std::string ownerOf(core::PartitionId partition) const { return this->ownership.ownerOf(partition); }
    [[nodiscard]] bool storeAvailable() const noexcept { return this->commitStream.storeAvailable(); }
    [[nodiscard]] const state::ProgramState* find(const core::ProgramKey& program) const;
    [[nodiscard]] state::RootBudget budgetOf(const core::ProgramKey& program) const;
    /// \brief How the partition came to this node; decides what its reserved tokens count as.
    [[nodiscard]] bool wasHandedOver(core::PartitionId partition) const;
    [[nodiscard]] const state::ProgramStore* programStore(core::PartitionId partition) const;
    [[nodiscard]] std::vector<core::PartitionId> servedPartitions() const;
    /// \brief Whether the turn is stored but not yet durable.
    [[nodiscard]] bool isPending(const core::ProgramKey& program) const;
    /// \brief Whether any appended record is not yet durable.
    [[nodiscard]] bool hasPending() const noexcept { return !this->pendingAppends.empty(); }

    /// \brief Queues records of one program. Errors OwnerChanged and StoreUnavailable mean that nothing was recorded.
    core::Expected<void> append(const core::ProgramKey& program, std::vector<records::Entry> entries,
        Continuation continuation, core::TimePoint now);
    void forget(const core::ProgramKey& root);

    void setNodes(const std::vector<state::LivingNode>& nodes, core::TimePoint now);
    /// \brief Another node handed partitions over to this one.
    void onHandedOver(core::TimePoint now) { this->ownership.onHandedOver(now); }
    void prioritise(core::PartitionId partition) { this->ownership.prioritise(partition); }
    /// \brief Starts to hand over a partition without pending records; false when it has some or is not ours.
    bool handOver(core::PartitionId partition, const std::string& successor);
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
        state::Ticket ticket, std::optional<core::Error> error, core::TimePoint firstSent, DurableEvents& events);
    void dropPartition(
        core::PartitionId partition, bool handedOver, core::TimePoint now, DurableEvents& events, Effects& effects);

    state::Partitions partitions;
    state::CommitStream commitStream;
    state::PartitionOwnership ownership;
    std::map<core::PartitionId, ServedPartition> partitionsById;
    std::map<state::Ticket, PendingAppend> pendingAppends;
    std::map<core::ProgramKey, std::size_t> pendingAppendCounts;
};

} // namespace lagoontiller::control
