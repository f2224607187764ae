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
    Recovery(std::uint32_t readsPerSecond, std::uint32_t pageRows);

    /// \brief Starts one partition. `row` is its ownership row after the takeover.
    void begin(core::PartitionId partition, const records::OwnerRow& row);
    void cancel(core::PartitionId partition);
    void prioritise(core::PartitionId partition);

    [[nodiscard]] RecoveryEffects tick(core::TimePoint now, Generator& generator, OperationId& lastOperation);
    [[nodiscard]] bool awaits(OperationId operation) const;
    void onRows(OperationId operation, const RowsResult& result, core::TimePoint now, Generator& generator);
    void onObject(OperationId operation, const ObjectResult& result, core::TimePoint now, Generator& generator);

    [[nodiscard]] std::uint64_t reads() const noexcept { return this->readCount; }
    /// \brief Keys of all log rows read so far, by stream, since the last call.
    [[nodiscard]] std::map<std::string, std::set<std::string>> takeSeenLogKeys();

private:
    static constexpr core::Duration firstBackoff = std::chrono::milliseconds(200);
    static constexpr core::Duration mostBackoff = std::chrono::seconds(5);

    // Entries are applied in the order of their range and sequence once everything is read.
    using Position = std::pair<std::size_t, std::uint64_t>;
    struct Work {
        records::OwnerRow row;
        bool snapshotRead = false;
        bool snapshotAssigned = false;
        std::set<std::size_t> rangesOpen;
        std::set<std::size_t> rangesUnassigned;
        std::vector<records::Entry> image;
        std::map<Position, std::vector<records::Entry>> log;
    };
    /// \brief One pass over a stream, or the read of one snapshot.
    struct Job {
        std::string stream;
        std::string after;
        /// \brief Inclusive end of the longest range.
        std::uint64_t last = 0;
        /// \brief Range index by the partition and epoch of its entries.
        std::map<std::pair<core::PartitionId, core::Epoch>, std::size_t> members;
        std::deque<std::pair<std::uint64_t, std::string>> objects;
        bool atEnd = false;
        std::string snapshot;
        OperationId operation = 0;
        core::TimePoint resumeAt;
        Backoff backoff { firstBackoff, mostBackoff };
    };

    void assign();
    [[nodiscard]] bool assignNext(core::PartitionId partition, Work& work);
    void assignStream(const std::string& stream);
    [[nodiscard]] bool takeRead(core::TimePoint now);
    void issue(Job& job, OperationId& lastOperation, RecoveryEffects& effects);
    [[nodiscard]] Job* findJob(OperationId operation);
    [[nodiscard]] bool readPage(Job& job, const std::vector<tables::Row>& rows);
    [[nodiscard]] bool addBatch(const Job& job, std::uint64_t sequence, const std::string& bytes);
    [[nodiscard]] bool addSnapshot(const Job& job, const std::string& bytes);
    [[nodiscard]] static bool isDone(const Job& job);
    void finishJobs();
    void takeFinished(RecoveryEffects& effects);

    std::uint32_t readsPerSecond;
    std::uint32_t pageRows;
    std::map<core::PartitionId, Work> works;
    std::deque<core::PartitionId> order;
    std::deque<Job> jobs;
    std::map<std::string, std::set<std::string>> seen;
    double allowance = 0;
    std::optional<core::TimePoint> lastRefill;
    std::uint64_t readCount = 0;
};

} // namespace lagoontiller::state::impl
