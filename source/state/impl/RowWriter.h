#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"
#include "proto/records.pb.h"
#include "state/Backoff.h"
#include "state/StoreEffects.h"

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoontiller::state::impl {

/// \brief A write to an ownership row by the owner of the partition: a new snapshot or a hand-over.
struct RowWrite {
    core::PartitionId partition = 0;
    /// \brief Version that the row must have for the write to take effect.
    tables::RowVersion version = 0;
    records::OwnerRow row;
    /// \brief Key of the snapshot object, which is written before the row; empty for a hand-over.
    std::string objectKey;
    std::string object;
    /// \brief Keys of log rows that the same transaction deletes.
    std::vector<std::string> deletes;
    /// \brief After the write, all log rows of this node's stream before this sequence are deleted; 0 for a hand-over.
    std::uint64_t deletedBefore = 0;
    /// \brief Key of the previous snapshot object, to which the new row no longer refers.
    std::string replacedObject;
};

/// \brief Result of a row write: the new version, or the row that was found instead.
struct RowWriteOutcome {
    RowWrite write;
    bool written = false;
    /// \brief Version of the written row; 0 when it was not written.
    tables::RowVersion version = 0;
    /// \brief Row that was read when the write did not take effect; empty otherwise, or when there is no row.
    std::optional<tables::Row> found;
};

using RowWriterEffect = std::variant<WriteTransaction, WriteObject, ReadRow, RowWriteOutcome>;
using RowWriterEffects = std::vector<RowWriterEffect>;

/// \brief Writes ownership rows one at a time, so that this node's writes do not conflict with each other. Retries
/// until the result is known.
class RowWriter {
public:
    explicit RowWriter(Backoff backoff)
        : backoff(backoff)
    {
    }

    [[nodiscard]] bool isIdle() const noexcept { return !this->currentWrite; }
    [[nodiscard]] std::optional<core::PartitionId> partition() const;
    /// \brief Starts a write. The writer must be idle.
    void start(RowWrite write);

    [[nodiscard]] RowWriterEffects tick(core::TimePoint now, OperationId& lastOperation);
    [[nodiscard]] bool awaits(OperationId operation) const { return operation != 0 && this->operation == operation; }
    [[nodiscard]] RowWriterEffects onObjectWritten(
        const WriteResult& result, core::TimePoint now, Generator& generator);
    [[nodiscard]] RowWriterEffects onTransaction(
        const TransactionResult& result, core::TimePoint now, Generator& generator);
    [[nodiscard]] RowWriterEffects onRow(const RowResult& result, core::TimePoint now, Generator& generator);

private:
    enum class Step : int {
        WriteSnapshot,
        WriteRow,
        ReadBack,
    };
    void setStep(Step step, core::TimePoint at);
    [[nodiscard]] RowWriterEffects finish(bool written, tables::RowVersion version, std::optional<tables::Row> found);

    std::optional<RowWrite> currentWrite;
    Step step = Step::WriteRow;
    OperationId operation = 0;
    core::TimePoint resumeAt;
    Backoff backoff;
};

} // namespace lagoontiller::state::impl
