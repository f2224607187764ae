#pragma once

#include "core/Time.h"
#include "state/Backoff.h"
#include "state/ProgramStore.h"
#include "state/StoreEffects.h"

#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace lagoontiller::state::impl {

/// \brief The state of the partition is rebuilt.
struct RecoveredPartition {
    core::PartitionId partition = 0;
    ProgramStore store;
};
using RecoveryEffect = std::variant<ScanRows, ReadObject, RecoveredPartition>;
using RecoveryEffects = std::vector<RecoveryEffect>;

/// \brief Rebuilds the state of partitions after a takeover from their snapshots and log ranges, at a limited read
/// rate.
///
/// Partitions with ranges in the same stream share one pass over that stream. Operation ids are taken from the caller's
/// `lastOperation`.
class Recovery {
public:
    Recovery(std::uint32_t maxReadsPerSecond, std::uint32_t pageRows);

    /// \brief Starts the recovery of a partition from the snapshot and earlier ranges in `row`, its ownership row after
    /// the takeover.
    void start(core::PartitionId partition, const records::OwnerRow& row);
    void cancel(core::PartitionId partition);
    /// \brief Moves a partition to the head of the queue.
    void prioritise(core::PartitionId partition);

    /// \brief Returns the partitions that are complete and the reads that may start now. Raises `lastOperation` by one
    /// for each read.
    [[nodiscard]] RecoveryEffects tick(core::TimePoint now, Generator& generator, OperationId& lastOperation);
    [[nodiscard]] bool awaits(OperationId operation) const;
    void onRows(OperationId operation, const RowsResult& result, core::TimePoint now, Generator& generator);
    void onObject(OperationId operation, const ObjectResult& result, core::TimePoint now, Generator& generator);

    /// \brief Number of reads sent, including retries.
    [[nodiscard]] std::uint64_t reads() const noexcept { return this->readCount; }
    /// \brief Keys of the log rows read since the last call, by stream.
    [[nodiscard]] std::map<std::string, std::set<std::string>> takeReadLogKeys();

private:
    static constexpr core::Duration minBackoff = std::chrono::milliseconds(200);
    static constexpr core::Duration maxBackoff = std::chrono::seconds(5);

    // Index of the range and sequence in its stream. Log entries are applied in this order once all are read.
    using Position = std::pair<std::size_t, std::uint64_t>;
    /// \brief Progress of one partition.
    struct PartitionWork {
        records::OwnerRow row;
        bool snapshotRead = false;
        bool snapshotAssigned = false;
        /// \brief Indexes of the ranges that are not completely read.
        std::set<std::size_t> unfinishedRanges;
        /// \brief Indexes of the ranges that no job reads yet.
        std::set<std::size_t> unassignedRanges;
        std::vector<records::Entry> snapshotEntries;
        std::map<Position, std::vector<records::Entry>> logEntries;
    };
    /// \brief One pass over a stream, or the read of one snapshot.
    struct ReadJob {
        std::string stream;
        /// \brief Key after which the next page starts.
        std::string after;
        /// \brief Last sequence of all ranges, inclusive.
        std::uint64_t lastSequence = 0;
        /// \brief Index of the range that entries belong to, by their partition and epoch. For a snapshot, the only key
        /// names its partition.
        std::map<std::pair<core::PartitionId, core::Epoch>, std::size_t> rangeIndexes;
        /// \brief Sequences and object keys of the batches that are read before the next page.
        std::deque<std::pair<std::uint64_t, std::string>> pendingObjects;
        bool atEnd = false;
        /// \brief Object key of the snapshot; empty for a pass over a stream.
        std::string snapshotKey;
        /// \brief Read whose reply is outstanding; 0 when none is.
        OperationId operation = 0;
        core::TimePoint resumeAt;
        Backoff backoff { minBackoff, maxBackoff };
    };

    /// \brief Creates jobs for the partitions in queue order, up to the limit of concurrent jobs.
    void assignJobs();
    /// \brief Creates one job for the partition; false when all its reads are assigned.
    [[nodiscard]] bool assignNextJob(core::PartitionId partition, PartitionWork& work);
    /// \brief Creates a job that reads all unassigned ranges of the stream, for all partitions.
    void assignStreamJob(const std::string& stream);
    /// \brief Takes a token from the token bucket that limits the read rate; false when it has none.
    [[nodiscard]] bool consumeReadToken(core::TimePoint now);
    void startRead(ReadJob& job, OperationId& lastOperation, RecoveryEffects& effects);
    [[nodiscard]] ReadJob* findJob(OperationId operation);
    /// \brief Adds the rows of a page to the recovered partitions; false when a row is malformed.
    [[nodiscard]] bool addPage(ReadJob& job, const std::vector<tables::Row>& rows);
    [[nodiscard]] bool addBatch(const ReadJob& job, std::uint64_t sequence, const std::string& bytes);
    [[nodiscard]] bool addSnapshot(const ReadJob& job, const std::string& bytes);
    [[nodiscard]] static bool isDone(const ReadJob& job);
    void finishJobs();
    void takeFinished(RecoveryEffects& effects);

    std::uint32_t maxReadsPerSecond;
    std::uint32_t pageRows;
    std::map<core::PartitionId, PartitionWork> partitions;
    /// \brief Partitions in the order in which their jobs are created.
    std::deque<core::PartitionId> queue;
    std::deque<ReadJob> jobs;
    std::map<std::string, std::set<std::string>> readLogKeys;
    double readTokens = 0;
    std::optional<core::TimePoint> lastRefill;
    std::uint64_t readCount = 0;
};

} // namespace lagoontiller::state::impl
