#pragma once

#include "core/Time.h"
#include "state/ProgramStore.h"
#include "state/StoreEffects.h"

#include <variant>
#include <vector>

namespace lagoontiller::state {

/// \brief Phase of this node's ownership of a partition.
enum class PartitionPhase : int {
    NotOwned,
    /// The takeover transaction is in flight or its result is unknown.
    TakingOver,
    /// Owned, but the state is not rebuilt yet.
    Recovering,
    Owned,
    HandingOver,
};

struct OwnershipSettings {
    std::string node;
    /// \brief Name of the commit stream of this process run.
    std::string stream;
    /// \brief Mean time between two scans of the ownership rows. The actual time varies randomly by up to half of it.
    core::Duration scanInterval = std::chrono::seconds(15);
    std::uint32_t scanPageRows = 256;
    /// \brief Upper bound of the random delay before the first takeover, which spreads the load when many nodes restart
    /// at once.
    core::Duration maxStartDelay = std::chrono::seconds(2);
    /// \brief Upper bound of the random delay before later takeovers, and before the scan after a membership change.
    core::Duration maxChangeDelay = std::chrono::milliseconds(200);
    /// \brief Partitions taken over in one transaction.
    std::size_t maxTakeoverRows = 32;
    core::Duration minTakeoverInterval = std::chrono::milliseconds(250);
    std::uint32_t maxRecoveryReadsPerSecond = 100;
    std::uint32_t logPageRows = 64;
    /// \brief Age at which the snapshot of a partition is renewed, if the log has grown since.
    core::Duration maxSnapshotAge = std::chrono::minutes(5);
    /// \brief Time between two snapshots that this node writes.
    core::Duration minSnapshotInterval = std::chrono::seconds(1);
    /// \brief Log rows deleted in the transaction that records a snapshot.
    std::size_t maxDeletesPerSnapshot = 128;
    core::Duration minBackoff = std::chrono::milliseconds(200);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

/// \brief This node owns the partition and rebuilt its state: pass it to `CommitStream::setPartition` and serve it.
struct PartitionRecovered {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    tables::RowVersion version = 0;
    /// \brief Whether the previous owner handed the partition over; otherwise all reserved tokens count as spent.
    bool handedOver = false;
    ProgramStore store;
};

/// \brief A snapshot write of this node raised the version of the ownership row: pass the version to
/// `CommitStream::setPartition`.
struct RowVersionChanged {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    tables::RowVersion version = 0;
    [[nodiscard]] bool operator==(const RowVersionChanged&) const = default;
};

/// \brief This node no longer owns the partition: drop its state and refuse the calls that wait for it.
struct OwnershipEnded {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    /// \brief Whether this node handed the partition over; otherwise it lost the partition.
    bool handedOver = false;
    [[nodiscard]] bool operator==(const OwnershipEnded&) const = default;
};

/// \brief A snapshot is due: call `PartitionOwnership::snapshot` with the entries that rebuild the partition's state.
struct SnapshotDue {
    core::PartitionId partition = 0;
    core::Epoch epoch = 0;
    [[nodiscard]] bool operator==(const SnapshotDue&) const = default;
};

/// \brief The log rows of this node's stream before `sequence` are deleted: delete the objects of their batches.
struct LogDeleted {
    std::uint64_t sequence = 0;
    [[nodiscard]] bool operator==(const LogDeleted&) const = default;
};

using OwnershipEffect = std::variant<WriteTransaction, WriteObject, ReadRow, ScanRows, ReadObject, DeleteObject,
    PartitionRecovered, RowVersionChanged, OwnershipEnded, SnapshotDue, LogDeleted>;
using OwnershipEffects = std::vector<OwnershipEffect>;

} // namespace lagoontiller::state
