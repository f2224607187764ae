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

struct RecoveredPartition {
    core::PartitionId partition = 0;
    ProgramStore store;
};
using RecoveryEffect = std::variant<ScanRows, ReadObject, RecoveredPartition>;
using RecoveryEffects = std::vector<RecoveryEffect>;

/// \brief Rebuilds taken partitions from their snapshots and log ranges, within a read budget.
///
/// Partitions whose ranges lie in one stream share the pages of that stream. Operation ids come from `nextOperation`.
class Recovery {
public:
    Recovery(std::uint32_t maxReadsPerSecond, std::uint32_t pageRows);

    /// \brief Starts one partition. `row` is its ownership row after the takeover.
    void start(core::PartitionId partition, const records::OwnerRow& row);
    void cancel(core::PartitionId partition);
    void prioritise(core::PartitionId partition);

    [[nodiscard]] RecoveryEffects tick(core::TimePoint now, Generator& generator, OperationId& lastOperation);
    [[nodiscard]] bool awaits(OperationId operation) const;
    void onRows(OperationId operation, const RowsResult& result, core::TimePoint now, Generator& generator);
    void onObject(OperationId operation, const ObjectResult& result, core::TimePoint now, Generator& generator);

    [[nodiscard]] std::uint64_t reads() const noexcept { return this->readCount; }
    /// \brief Keys of all log rows read so far, by stream, since the last call.
    [[nodiscard]] std::map<std::string, std::set<std::string>> takeReadLogKeys();

private:
    static constexpr core::Duration minBackoff = std::chrono::milliseconds(200);
    static constexpr core::Duration maxBackoff = std::chrono::seconds(5);

    // Entries are applied in the order of their range and sequence once everything is read.
    using Position = std::pair<std::size_t, std::uint64_t>;
    struct PartitionWork {
        records::OwnerRow row;
        bool snapshotRead = false;
        bool snapshotAssigned = false;
        std::set<std::size_t> unfinishedRanges;
        std::set<std::size_t> unassignedRanges;
        std::vector<records::Entry> snapshotEntries;
        std::map<Position, std::vector<records::Entry>> logEntries;
    };
    /// \brief One pass over a stream, or the read of one snapshot.
    struct ReadJob {
        std::string stream;
        std::string after;
        /// \brief Inclusive end of the longest range.
        std::uint64_t lastSequence = 0;
        /// \brief Range index by the partition and epoch of its entries.
        std::map<std::pair<core::PartitionId, core::Epoch>, std::size_t> rangeIndexes;
        std::deque<std::pair<std::uint64_t, std::string>> pendingObjects;
        bool atEnd = false;
        std::string snapshotKey;
        OperationId operation = 0;
        core::TimePoint resumeAt;
        Backoff backoff { minBackoff, maxBackoff };
    };

    void assignJobs();
    [[nodiscard]] bool assignNextJob(core::PartitionId partition, PartitionWork& work);
    void assignStreamJob(const std::string& stream);
    [[nodiscard]] bool consumeReadToken(core::TimePoint now);
    void startRead(ReadJob& job, OperationId& lastOperation, RecoveryEffects& effects);
    [[nodiscard]] ReadJob* findJob(OperationId operation);
    [[nodiscard]] bool addPage(ReadJob& job, const std::vector<tables::Row>& rows);
    [[nodiscard]] bool addBatch(const ReadJob& job, std::uint64_t sequence, const std::string& bytes);
    [[nodiscard]] bool addSnapshot(const ReadJob& job, const std::string& bytes);
    [[nodiscard]] static bool isDone(const ReadJob& job);
    void finishJobs();
    void takeFinished(RecoveryEffects& effects);

    std::uint32_t maxReadsPerSecond;
    std::uint32_t pageRows;
    std::map<core::PartitionId, PartitionWork> works;
    std::deque<core::PartitionId> queue;
    std::deque<ReadJob> jobs;
    std::map<std::string, std::set<std::string>> readLogKeys;
    double readTokens = 0;
    std::optional<core::TimePoint> lastRefill;
    std::uint64_t readCount = 0;
};

} // namespace lagoontiller::state::impl
