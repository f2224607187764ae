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

/// \brief Ownership of partitions by this node: scans of the ownership rows, takeovers, recovery, snapshots, hand-over.
///
/// Operation ids of its effects are its own: replies to a commit stream's operations must not be passed here.
class PartitionOwnership {
public:
    PartitionOwnership(OwnershipSettings settings, Partitions partitions, Generator generator, core::TimePoint now);

    /// \brief Living nodes by membership, this node included.
    void setNodes(std::vector<LiveNode> nodes, core::TimePoint now);
    /// \brief A call waits for this partition: its recovery comes first.
    void prioritise(core::PartitionId partition);
    /// \brief `nextSequence` is the commit stream's position after all of its effects so far were handled.
    [[nodiscard]] OwnershipEffects tick(core::TimePoint now, std::uint64_t nextSequence);

    [[nodiscard]] OwnershipEffects onTransaction(
        OperationId operation, const TransactionResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onRow(OperationId operation, const RowResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onRows(OperationId operation, const RowsResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onObject(OperationId operation, const ObjectResult& result, core::TimePoint now);
    [[nodiscard]] OwnershipEffects onObjectWritten(
        OperationId operation, const WriteResult& result, core::TimePoint now);

    /// \brief Answers SnapshotDue with the image of all entries committed before `nextSequence` of the stream.
    void snapshot(core::PartitionId partition, core::Epoch epoch, const std::vector<records::Entry>& image,
        std::uint64_t nextSequence);
    /// \brief Starts the hand-over of an owned partition without pending records. Drop it from the commit stream first.
    /// \return false when it is not owned.
    [[nodiscard]] bool handOver(core::PartitionId partition, const std::string& successor);
    /// \brief Another node says that it handed partitions over to this one: the rows are read again at once.
    void onHandedOver(core::TimePoint now);
    /// \brief The commit stream saw another epoch in the partition's row.
    [[nodiscard]] OwnershipEffects onPartitionLost(core::PartitionId partition, core::Epoch epoch);

    [[nodiscard]] PartitionPhase phase(core::PartitionId partition) const;
    /// \brief Node that owns the partition by the latest rows; empty when unknown.
    [[nodiscard]] std::string ownerOf(core::PartitionId partition) const;
    /// \brief Owned partitions that another living node is preferred for, with that node.
    [[nodiscard]] std::vector<std::pair<core::PartitionId, std::string>> misplaced() const;
    /// \brief False until the first complete scan of the ownership rows.
    [[nodiscard]] bool isScanned() const noexcept { return this->scanned; }
    /// \brief Transactions and objects sent.
    [[nodiscard]] std::uint64_t storeWrites() const noexcept { return this->writeCount; }
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
    void updateRow(core::PartitionId partition, const VersionedRow& versionedRow, OwnershipEffects& effects);
    void endOwnership(core::PartitionId partition, bool handedOver, OwnershipEffects& effects);
    void handleWriterEffects(impl::RowWriterEffects writerEffects, core::TimePoint now, OwnershipEffects& effects);
    void tickRecovery(core::TimePoint now, OwnershipEffects& effects);
    [[nodiscard]] std::vector<std::string> ownLogKeys(std::uint64_t before) const;
    [[nodiscard]] core::Duration jitter(core::Duration maxDelay);

    OwnershipSettings settings;
    Partitions partitions;
    Generator generator;
    std::vector<LiveNode> nodes;
    std::map<core::PartitionId, VersionedRow> rows;
    std::map<core::PartitionId, OwnedPartition> ownedPartitions;
    bool scanned = false;
    /// \brief Rows may have changed behind a scan that is under way: the next one follows at once.
    bool rescanPending = false;
    Scan scan;
    Backoff scanBackoff;
    std::optional<Takeover> takeover;
    Backoff takeoverBackoff;
    /// \brief Set after a takeover that failed or has an unknown result: no other starts before a complete scan.
    bool scanRequired = false;
    bool firstTakeover = true;
    bool candidatesStale = true;
    std::vector<core::PartitionId> candidates;
    std::optional<core::TimePoint> nextTakeoverAt;
    core::TimePoint nextSnapshotAt;
    std::optional<core::PartitionId> requestedSnapshot;
    std::deque<PendingHandOver> pendingHandOvers;
    /// \brief Rows of the own stream before this sequence are deleted.
    std::uint64_t deletedBefore = 1;
    impl::Recovery recovery;
    impl::RowWriter writer;
    impl::LogReferences references;
    std::uint64_t nextSequence = 1;
    OperationId lastOperation = 0;
    std::uint64_t writeCount = 0;
    std::uint64_t readCount = 0;
};

} // namespace lagoontiller::state
