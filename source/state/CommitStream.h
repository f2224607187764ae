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

using AppendId = std::uint64_t;

struct CommitSettings {
    /// \brief Streams / write budget: 12 streams at 200 writes/s give 60 ms.
    core::Duration minWriteInterval = std::chrono::milliseconds(60);
    /// \brief Larger batches are written as an object that the log row names.
    std::size_t maxInlineBatchBytes = 64 * 1024;
    /// \brief A batch takes no further ticket above this size.
    std::size_t maxBatchBytes = 8 * 1024 * 1024;
    std::size_t maxPendingBytes = 64 * 1024 * 1024;
    core::Duration maxPendingAge = std::chrono::seconds(60);
    core::Duration minBackoff = std::chrono::milliseconds(100);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

/// \brief The entries of a ticket are durable.
struct AppendCommitted {
    AppendId id = 0;
    /// \brief Start of the first transaction that may have written it. The commit is not earlier.
    core::TimePoint firstSent;
    [[nodiscard]] bool operator==(const AppendCommitted&) const = default;
};

/// \brief The entries of a ticket are not durable and never will be.
struct AppendRejected {
    AppendId id = 0;
    core::Error error;
    [[nodiscard]] bool operator==(const AppendRejected&) const = default;
};

/// \brief The ownership row shows an epoch other than ours: the partition belongs to another owner.
struct PartitionLost {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    [[nodiscard]] bool operator==(const PartitionLost&) const = default;
};

using CommitEffect
    = std::variant<WriteTransaction, WriteObject, ReadRow, AppendCommitted, AppendRejected, PartitionLost>;
using CommitEffects = std::vector<CommitEffect>;

/// \brief Group commit of one stream: at most one transaction in flight, each holding all records queued before it.
class CommitStream {
public:
    /// \brief `stream` names this process run and is never used again by another; sequences start at 1.
    CommitStream(std::string stream, CommitSettings settings, Generator generator);

    /// \brief Declares that this node owns `partition` with `epoch`, and the version of its row as last known. Queued
    /// tickets of another epoch are rejected.
    [[nodiscard]] CommitEffects setPartition(
        core::PartitionId partition, core::Epoch epoch, tables::RowVersion version);
    /// \brief Rejects the partition's queued tickets. Those in flight still get the result of their batch.
    [[nodiscard]] CommitEffects dropPartition(core::PartitionId partition);

    /// \brief Queues entries of one partition, committed together; sets their epoch.
    /// \return OwnerChanged when the partition is not ours; StoreUnavailable beyond the bounds. Both mean "not
    /// run".
    [[nodiscard]] core::Expected<AppendId> append(std::vector<records::Entry> entries, core::TimePoint now);

    [[nodiscard]] CommitEffects tick(core::TimePoint now);
    [[nodiscard]] CommitEffects onTransaction(
        OperationId operation, const TransactionResult& result, core::TimePoint now);
    [[nodiscard]] CommitEffects onObjectWritten(OperationId operation, const WriteResult& result, core::TimePoint now);
    [[nodiscard]] CommitEffects onRow(OperationId operation, const RowResult& result, core::TimePoint now);

    /// \brief Time at which `tick` has work, or empty when it waits for a reply or has nothing to do.
    [[nodiscard]] std::optional<core::TimePoint> nextTick() const;
    /// \brief False from the first failed operation until the next one that succeeds.
    [[nodiscard]] bool storeAvailable() const noexcept { return !this->backoff.failing(); }
    /// \brief Lowest sequence that may still hold entries appended from now on.
    [[nodiscard]] std::uint64_t nextSequence() const noexcept { return this->sequence; }
    [[nodiscard]] const std::string& name() const noexcept { return this->stream; }
    [[nodiscard]] bool hasPending(core::PartitionId partition) const;
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return this->totalPendingBytes; }
    /// \brief Keys of the objects that hold batches before `sequence`; each is returned once, for deletion together
    /// with the log rows.
    [[nodiscard]] std::vector<std::string> takeObjectsBefore(std::uint64_t sequence);
    /// \brief Transactions and objects sent, retries included.
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
    // A batch keeps its id and content until its result is known: a delayed first attempt and a repeated one write the
    // same row, so at most one of them takes effect and either counts.
    struct InFlightBatch {
        std::string batchId;
        std::string serialised;
        std::string object;
        std::vector<PendingAppend> appends;
        std::map<core::PartitionId, OwnedPartition> owned;
        std::set<core::PartitionId> ownersToCheck;
        Step step = Step::WriteLogRow;
        std::optional<core::TimePoint> firstSent;
        /// \brief Operation awaiting its reply; 0 while waiting for `resumeAt`.
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
    std::map<std::uint64_t, std::string> batchObjects;
    std::uint64_t sequence = 1;
    AppendId lastAppendId = 0;
    OperationId lastOperation = 0;
    core::TimePoint nextWriteAt;
    std::size_t totalPendingBytes = 0;
    std::uint64_t writeCount = 0;
};

} // namespace lagoontiller::state
