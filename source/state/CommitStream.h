#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"
#include "proto/records.pb.h"
#include "state/Backoff.h"
#include "state/StoreEffects.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace lagoontiller::state {

/// \brief Identifies the entries of one `append`; ids rise from 1.
using AppendId = std::uint64_t;

struct CommitSettings {
    /// \brief Shortest time between two writes: 12 streams that share 200 writes/s may each write every 60 ms.
    core::Duration minWriteInterval = std::chrono::milliseconds(60);
    /// \brief Larger batches are written as an object, and the log row holds the key of the object.
    std::size_t maxInlineBatchBytes = 64 * 1024;
    /// \brief A batch of several appends is at most this large; a single larger append is a batch of its own.
    std::size_t maxBatchBytes = 8 * 1024 * 1024;
    /// \brief `append` is refused when it would raise the bytes of uncommitted entries above this limit.
    std::size_t maxPendingBytes = 64 * 1024 * 1024;
    /// \brief `append` is refused while the oldest uncommitted append is older than this.
    core::Duration maxPendingAge = std::chrono::seconds(60);
    core::Duration minBackoff = std::chrono::milliseconds(100);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

/// \brief The entries of an append are durable.
struct AppendCommitted {
    AppendId id = 0;
    /// \brief Start of the first transaction that may have written the entries: they were not committed before it.
    core::TimePoint firstSent;
    [[nodiscard]] bool operator==(const AppendCommitted&) const = default;
};

/// \brief The entries of an append are not durable and never will be.
struct AppendRejected {
    AppendId id = 0;
    core::Error error;
    [[nodiscard]] bool operator==(const AppendRejected&) const = default;
};

/// \brief The ownership row no longer shows the epoch that this node owned the partition with: the partition has
/// another owner.
struct PartitionLost {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    [[nodiscard]] bool operator==(const PartitionLost&) const = default;
};

using CommitEffect
    = std::variant<WriteTransaction, WriteObject, ReadRow, AppendCommitted, AppendRejected, PartitionLost>;
using CommitEffects = std::vector<CommitEffect>;

/// \brief Group commit to one log stream: at most one batch is in flight, and the next one takes the entries that were
/// queued meanwhile.
///
/// Each transaction is conditional on the versions of the ownership rows of its partitions, so that a node which lost a
/// partition cannot commit to it.
class CommitStream {
public:
    /// \brief `stream` is the unique name of this process run; no other run may use it. Sequences start at 1.
    CommitStream(std::string stream, CommitSettings settings, Generator generator);

    /// \brief Declares that this node owns `partition` with `epoch`, and the last known version of its ownership row.
    /// Rejects queued appends of another epoch.
    [[nodiscard]] CommitEffects setPartition(
        core::PartitionId partition, core::Epoch epoch, tables::RowVersion version);
    /// \brief Ends the ownership of a partition and rejects its queued appends. Appends in flight still get the result
    /// of their batch.
    [[nodiscard]] CommitEffects dropPartition(core::PartitionId partition);

    /// \brief Queues entries of one partition, which are committed together, and sets their epoch.
    /// \return the id that AppendCommitted or AppendRejected will name; OwnerChanged when this node does not own the
    /// partition; StoreUnavailable beyond `maxPendingBytes` or `maxPendingAge`; Internal when there are no entries or
    /// they are of several partitions. After an error nothing is queued, so the work that needs the entries
    /// has not run.
    [[nodiscard]] core::Expected<AppendId> append(std::vector<records::Entry> entries, core::TimePoint now);

    /// \brief Starts the next batch or step that is due.
    [[nodiscard]] CommitEffects tick(core::TimePoint now);
    [[nodiscard]] CommitEffects onTransaction(
        OperationId operation, const TransactionResult& result, core::TimePoint now);
    [[nodiscard]] CommitEffects onObjectWritten(OperationId operation, const WriteResult& result, core::TimePoint now);
    [[nodiscard]] CommitEffects onRow(OperationId operation, const RowResult& result, core::TimePoint now);

    /// \brief Time at which `tick` has work next; empty while a reply is outstanding or nothing is queued.
    [[nodiscard]] std::optional<core::TimePoint> nextTick() const;
    /// \brief False from the first failed operation until the next one that succeeds.
    [[nodiscard]] bool storeAvailable() const noexcept { return !this->backoff.failing(); }
    /// \brief Lowest sequence at which entries that are not yet committed may be written.
    [[nodiscard]] std::uint64_t nextSequence() const noexcept { return this->sequence; }
    [[nodiscard]] const std::string& name() const noexcept { return this->stream; }
    /// \brief Whether appends of the partition are queued or in flight.
    [[nodiscard]] bool hasPending(core::PartitionId partition) const;
    /// \brief Bytes of the entries that are queued or in flight.
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return this->totalPendingBytes; }
    /// \brief Keys of the objects that hold batches before `sequence`, for deletion together with the log rows. Each
    /// key is returned once.
    [[nodiscard]] std::vector<std::string> takeObjectsBefore(std::uint64_t sequence);
    /// \brief Number of transactions and objects sent, including retries.
    [[nodiscard]] std::uint64_t storeWrites() const noexcept { return this->writeCount; }

private:
    struct OwnedPartition {
        core::Epoch epoch = 0;
        tables::RowVersion version = 0;
    };
    struct PendingAppend {
        AppendId id = 0;
        core::PartitionId partition = 0;
        core::Epoch epoch = 0;
        core::TimePoint appended;
        std::size_t size = 0;
        std::vector<records::Entry> entries;
    };
    enum class Step : int {
        WriteBatchObject,
        WriteLogRow,
        ReadBack,
        CheckOwner,
    };
    // A batch keeps its id and content until its result is known: every attempt writes the same row, so at most one
    // takes effect, and it does not matter which one.
    struct InFlightBatch {
        std::string batchId;
        std::string serialised;
        std::string object;
        std::vector<PendingAppend> appends;
        std::map<core::PartitionId, OwnedPartition> owned;
        /// \brief Partitions whose ownership rows are still to be read after a failed condition.
        std::set<core::PartitionId> ownersToCheck;
        Step step = Step::WriteLogRow;
        std::optional<core::TimePoint> firstSent;
        /// \brief Operation whose reply is outstanding; 0 while the batch waits for `resumeAt`.
        OperationId operation = 0;
        core::TimePoint resumeAt;
    };

    void startBatch(core::TimePoint now);
    void serialise();
    void startStep(core::TimePoint now, CommitEffects& effects);
    void writeLogRow(core::TimePoint now, CommitEffects& effects);
    void retryLater(Step step, core::TimePoint now);
    void continueWith(Step step, core::TimePoint now, CommitEffects& effects);
    void onFailedConditions(const std::vector<std::string>& failed, core::TimePoint now, CommitEffects& effects);
    void onReadBack(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects);
    void onOwnerRow(const std::optional<tables::Row>& row, core::TimePoint now, CommitEffects& effects);
    void finishCommitted(CommitEffects& effects);
    void requeue(CommitEffects& effects);
    void reject(const PendingAppend& pending, CommitEffects& effects);
    void refreshVersions();
    [[nodiscard]] bool isOwned(core::PartitionId partition, core::Epoch epoch) const;
    [[nodiscard]] bool awaits(OperationId operation, std::initializer_list<Step> steps) const;

    std::string stream;
    CommitSettings settings;
    Generator generator;
    Backoff backoff;
    std::map<core::PartitionId, OwnedPartition> partitions;
    std::deque<PendingAppend> queue;
    std::optional<InFlightBatch> inFlight;
    /// \brief Keys of the objects of committed batches, by sequence.
    std::map<std::uint64_t, std::string> batchObjects;
    std::uint64_t sequence = 1;
    AppendId lastAppendId = 0;
    OperationId lastOperation = 0;
    core::TimePoint nextWriteAt;
    std::size_t totalPendingBytes = 0;
    std::uint64_t writeCount = 0;
};

} // namespace lagoontiller::state
