#pragma once

#include "proto/records.pb.h"
#include "state/ProgramState.h"

#include <utility>
#include <vector>

namespace lagoontiller::state::impl {

/// \brief Converts program states to the log entries that rebuild them.
class SnapshotEncoder {
public:
    SnapshotEncoder(core::PartitionId partition, core::Epoch epoch)
        : partition(partition)
        , epoch(epoch)
    {
    }

    void add(const core::ProgramKey& key, const ProgramState& program);
    void addBudget(const core::ProgramKey& root, const RootBudget& budget);
    [[nodiscard]] std::vector<records::Entry> takeEntries() { return std::move(this->entries); }

private:
    /// \brief Appends an entry without a body. The reference is valid until the next call.
    records::Entry& addEntry(const core::ProgramKey& key);
    void addTurn(const core::ProgramKey& key, const StoredTurn& turn);
    void addCall(const core::ProgramKey& key, const StoredCall& call);

    core::PartitionId partition;
    core::Epoch epoch;
    std::vector<records::Entry> entries;
};

} // namespace lagoontiller::state::impl
