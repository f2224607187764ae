#pragma once

#include "core/Time.h"
#include "state/ProgramStore.h"
#include "state/StoreEffects.h"

#include <variant>
#include <vector>

namespace lagoontiller::state {

enum class PartitionPhase : int {
    NotOwned,
    TakingOver,
    Recovering,
    Owned,
    HandingOver,
};

struct OwnershipSettings {
    std::string node;
    /// \brief Commit stream of this process run.
    std::string stream;
    core::Duration scanInterval = std::chrono::seconds(15);
    std::uint32_t scanPageRows = 256;
    /// \brief Most jitter before the first takeover after a start, so that a mass restart is spread.
    core::Duration maxStartDelay = std::chrono::seconds(2);
    /// \brief Most jitter before takeovers after a later change of membership.
    core::Duration maxChangeDelay = std::chrono::milliseconds(200);
    std::size_t maxTakeoverRows = 32;
    core::Duration minTakeoverInterval = std::chrono::milliseconds(250);
    std::uint32_t maxRecoveryReadsPerSecond = 100;
    std::uint32_t logPageRows = 64;
    /// \brief A partition's snapshot is renewed after this time when its stream moved on.
    core::Duration maxSnapshotAge = std::chrono::minutes(5);
    /// \brief Shortest time between two snapshots of this node.
    core::Duration minSnapshotInterval = std::chrono::seconds(1);
    /// \brief Log rows deleted together with one snapshot row.
    std::size_t maxDeletesPerSnapshot = 128;
    core::Duration minBackoff = std::chrono::milliseconds(200);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

/// \brief The partition is recovered and ours: declare it to the commit stream and serve it.
struct PartitionRecovered {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    tables::RowVersion version = 0;
    /// \brief Set when the previous owner handed it over; otherwise all reserved tokens count as spent.
    bool handedOver = false;
    ProgramStore store;
};

/// \brief Our own write raised the version of the row: declare it to the commit stream.
struct RowVersionChanged {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    tables::RowVersion version = 0;
    [[nodiscard]] bool operator==(const RowVersionChanged&) const = default;
};

/// \brief Another owner holds the partition, or ours ended: drop its state and refuse what waits for it.
struct OwnershipEnded {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    /// \brief Set when a hand-over by this node is complete.
    bool handedOver = false;
    [[nodiscard]] bool operator==(const OwnershipEnded&) const = default;
};

/// \brief A snapshot is due: call `PartitionOwnership::snapshot` with the image of the committed state.
struct SnapshotDue {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    [[nodiscard]] bool operator==(const SnapshotDue&) const = default;
};

/// \brief Rows of our stream before `sequence` are deleted; their objects may be deleted as well.
struct LogDeleted {
    std::uint64_t sequence = 0;
    [[nodiscard]] bool operator==(const LogDeleted&) const = default;
};

using OwnershipEffect = std::variant<WriteTransaction, WriteObject, ReadRow, ScanRows, ReadObject, DeleteObject,
    PartitionRecovered, RowVersionChanged, OwnershipEnded, SnapshotDue, LogDeleted>;
using OwnershipEffects = std::vector<OwnershipEffect>;

} // namespace lagoontiller::state
