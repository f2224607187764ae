#pragma once

#include "state/Backoff.h"
#include "state/OwnershipTypes.h"
#include "state/Partitions.h"
#include "state/Rendezvous.h"
#include "state/impl/LogReferences.h"
#include "state/impl/Recovery.h"
#include "state/impl/RowWriter.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lagoontiller::state {

/// \brief Manages the partitions that this node owns: scans of the ownership rows, takeovers, recovery, snapshots and
/// hand-overs.
///
/// A takeover writes a higher epoch to the ownership row. Commits of the previous owner are conditional on the old
/// version of the row, so they fail from then on. Operation ids are unique only among the effects of this object:
/// replies to operations of a commit stream must not be passed here.
class PartitionOwnership {
public:
    PartitionOwnership(OwnershipSettings settings, Partitions partitions, Generator generator, core::TimePoint now);

    /// \brief Sets the nodes that membership reports as alive, including this one.
    void setNodes(std::vector<LiveNode> nodes, core::TimePoint now);
    /// \brief Moves a partition to the head of the recovery queue, because a call waits for it.
    void prioritise(core::PartitionId partition);
    /// \brief Starts the operations that are due. `nextSequence` is `CommitStream::nextSequence` after all effects of
    /// that stream have been handled.
    [[nodiscard]] OwnershipEffects tick(core::TimePoint now, std::uint64_t nextSequence);

    [[nodiscard]] OwnershipEffects onTransaction(
        OperationId operation, const TransactionResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onRow(OperationId operation, const RowResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onRows(OperationId operation, const RowsResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onObject(OperationId operation, const ObjectResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onObjectWritten(
        OperationId operation, const WriteResult& result, core::TimePoint now);

    /// \brief Writes the snapshot that SnapshotDue asked for. `entries` rebuild a state that includes all entries
    /// committed before `nextSequence` of this node's stream. Ignored when the snapshot is no longer wanted.
    void snapshot(core::PartitionId partition, core::Epoch epoch, const std::vector<records::Entry>& entries,
        std::uint64_t nextSequence);
    /// \brief Starts the hand-over of an owned partition that has no pending appends. The caller must have dropped it
    /// from the commit stream.
    /// \return false when the partition is not in phase Owned.
    [[nodiscard]] bool handOver(core::PartitionId partition, const std::string& successor);
    /// \brief Scans the ownership rows at once, or right after a running scan, because another node reports that it
    /// handed partitions over to this one.
    void onHandedOver(core::TimePoint now);
    /// \brief Ends the ownership that the commit stream reported as lost. Ignored when its epoch is not the current
    /// one.
    [[nodiscard]] OwnershipEffects onPartitionLost(core::PartitionId partition, core::Epoch epoch);

    [[nodiscard]] PartitionPhase phase(core::PartitionId partition) const;
    /// \brief Owner in the latest known ownership row, or its successor in a hand-over; empty when no row is known.
    [[nodiscard]] std::string ownerOf(core::PartitionId partition) const;
    /// \brief Owned partitions whose preferred owner is another live node, with that node.
    [[nodiscard]] std::vector<std::pair<core::PartitionId, std::string>> misplaced() const;
    /// \brief False until the first complete scan of the ownership rows.
    [[nodiscard]] bool isScanned() const noexcept { return this->scanned; }
    /// \brief Number of transactions and objects sent, including retries.
    [[nodiscard]] std::uint64_t storeWrites() const noexcept { return this->writeCount; }
    /// \brief Number of reads and scan pages sent, including those of recovery.
    [[nodiscard]] std::uint64_t storeReads() const noexcept { return this->readCount + this->recovery.reads(); }

private:
    struct VersionedRow {
        tables::RowVersion version = 0;
        records::OwnerRow row;
    };
    struct OwnedPartition {
        PartitionPhase phase = PartitionPhase::TakingOver;
        core::Epoch epoch = 0;
        core::TimePoint snapshotAt;
        bool handedOver = false;
    };
    struct TakeoverRow {
        VersionedRow previous;
        records::OwnerRow proposed;
    };
    struct Takeover {
        OperationId operation = 0;
        std::map<core::PartitionId, TakeoverRow> rows;
    };
    struct PendingHandOver {
        core::PartitionId partition = 0;
        std::string successor;
    };
    struct Scan {
        OperationId operation = 0;
        core::TimePoint resumeAt;
        std::string after;
    };

    /// \brief Whether this node should take the partition over.
    [[nodiscard]] bool isCandidate(core::PartitionId partition) const;
    [[nodiscard]] bool isLive(const std::string& node) const;
    void refreshCandidates();
    [[nodiscard]] records::OwnerRow rowAfterTakeover(core::PartitionId partition) const;
    void tickScan(core::TimePoint now, OwnershipEffects& effects);
    void restartScan(core::TimePoint at);
    void finishScan(core::TimePoint now);
    void tickTakeover(core::TimePoint now, OwnershipEffects& effects);
    void startTakeover(core::TimePoint now, OwnershipEffects& effects);
    void onTakeover(const TransactionResult& result, core::TimePoint now);
    void abandonTakeover();
    void startRecovery(core::PartitionId partition, const VersionedRow& versionedRow);
    void onRecovered(impl::RecoveredPartition& recovered, core::TimePoint now, OwnershipEffects& effects);
    void tickRows(core::TimePoint now, OwnershipEffects& effects);
    void onRowWritten(const impl::RowWriteOutcome& outcome, core::TimePoint now, OwnershipEffects& effects);
    /// \brief Stores a newer ownership row, and confirms or ends this node's ownership accordingly.
    void updateRow(core::PartitionId partition, const VersionedRow& versionedRow, OwnershipEffects& effects);
    void endOwnership(core::PartitionId partition, bool handedOver, OwnershipEffects& effects);
    void handleWriterEffects(impl::RowWriterEffects writerEffects, core::TimePoint now, OwnershipEffects& effects);
    void tickRecovery(core::TimePoint now, OwnershipEffects& effects);
    /// \brief Keys of this node's log rows before a sequence that are not deleted yet, up to `maxDeletesPerSnapshot`.
    [[nodiscard]] std::vector<std::string> ownLogKeys(std::uint64_t before) const;
    /// \brief Uniform random delay between 0 and `maxDelay`.
    [[nodiscard]] core::Duration jitter(core::Duration maxDelay);

    OwnershipSettings settings;
    Partitions partitions;
    Generator generator;
    std::vector<LiveNode> nodes;
    std::map<core::PartitionId, VersionedRow> rows;
    std::map<core::PartitionId, OwnedPartition> ownedPartitions;
    bool scanned = false;
    /// \brief A row may have changed after the running scan read it: the next scan follows at once.
    bool rescanPending = false;
    Scan scan;
    Backoff scanBackoff;
    std::optional<Takeover> takeover;
    Backoff takeoverBackoff;
    /// \brief A takeover failed or has an unknown result: no other takeover starts before the next complete scan.
    bool scanRequired = false;
    bool firstTakeover = true;
    bool candidatesStale = true;
    std::vector<core::PartitionId> candidates;
    std::optional<core::TimePoint> nextTakeoverAt;
    core::TimePoint nextSnapshotAt;
    std::optional<core::PartitionId> requestedSnapshot;
    std::deque<PendingHandOver> pendingHandOvers;
    /// \brief Log rows of this node's stream before this sequence are deleted.
    std::uint64_t deletedBefore = 1;
    impl::Recovery recovery;
    impl::RowWriter writer;
    impl::LogReferences references;
    /// \brief Next sequence of the commit stream at the latest `tick`.
    std::uint64_t nextSequence = 1;
    OperationId lastOperation = 0;
    std::uint64_t writeCount = 0;
    std::uint64_t readCount = 0;
};

} // namespace lagoontiller::state
