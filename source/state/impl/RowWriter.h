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

/// \brief A change of an ownership row by its owner: a new snapshot or a hand-over.
struct RowWrite {
    core::PartitionId partition = 0;
    tables::RowVersion version = 0;
    records::OwnerRow row;
    /// \brief Written before the row; empty for a hand-over.
    std::string objectKey;
    std::string object;
    std::vector<std::string> deletes;
    /// \brief Own stream's rows before this sequence are among `deletes`; 0 when none is.
    std::uint64_t deletedBefore = 0;
    /// \brief Snapshot object that the new row no longer names.
    std::string replacedObject;
};

/// \brief Result of a row write: the new version, or the row that other owners wrote.
struct RowWriteOutcome {
    RowWrite write;
    bool written = false;
    tables::RowVersion version = 0;
    std::optional<tables::Row> found;
};

using RowWriterEffect = std::variant<WriteTransaction, WriteObject, ReadRow, RowWriteOutcome>;
using RowWriterEffects = std::vector<RowWriterEffect>;

/// \brief Writes ownership rows one at a time, so that own writes never race with each other.
class RowWriter {
public:
    explicit RowWriter(Backoff backoff)
        : backoff(backoff)
    {
    }

    [[nodiscard]] bool isIdle() const noexcept { return !this->currentWrite; }
    [[nodiscard]] std::optional<core::PartitionId> partition() const;
    /// \brief Starts a write; only when idle.
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
