#pragma once

#include "proto/records.pb.h"
#include "state/ProgramState.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lagoontiller::state {

/// \brief State of the programs of one partition, built by applying its records in commit order.
///
/// Applying a record again changes nothing. The first record of a turn and the first result of a call are kept; later
/// ones are ignored.
class ProgramStore {
public:
    void apply(const records::Entry& entry);

    /// \brief State of the program; nullptr when nothing is recorded. The pointer is valid until the next `apply` or
    /// `removeTree`.
    [[nodiscard]] const ProgramState* find(const core::ProgramKey& program) const;
    /// \brief Recorded budget use of the root of `program`; all zero when nothing is recorded.
    [[nodiscard]] RootBudget budgetOf(const core::ProgramKey& program) const;
    [[nodiscard]] const std::map<core::ProgramKey, ProgramState>& all() const noexcept { return this->programs; }

    /// \brief Entries that rebuild this state, with `partition` and `epoch` set. Programs that have not ended are
    /// first.
    [[nodiscard]] std::vector<records::Entry> snapshotEntries(core::PartitionId partition, core::Epoch epoch) const;
    /// \brief Removes a root and its sub-agents, so that later snapshots omit them.
    /// \return false, without a change, when the root or a sub-agent has not ended or has an open release.
    bool removeTree(const core::ProgramKey& root);

    /// \brief Approximate memory of all programs in bytes, for memory limits and snapshot pacing.
    [[nodiscard]] std::size_t memoryBytes() const noexcept { return this->totalBytes; }
    [[nodiscard]] bool operator==(const ProgramStore&) const = default;

private:
    void applyTurnFinished(const core::ProgramKey& key, ProgramState& program, const records::TurnFinished& record);
    void applyCallIntent(const core::ProgramKey& key, ProgramState& program, const records::CallIntent& record);
    void applyCallFinished(const core::ProgramKey& key, ProgramState& program, const records::CallFinished& record);
    void applyEndpointUsed(ProgramState& program, const std::string& endpoint);
    void applyProgramEnded(ProgramState& program, const records::ProgramEnded& record);

    std::map<core::ProgramKey, ProgramState> programs;
    std::map<core::ProgramKey, RootBudget> budgets;
    std::size_t totalBytes = 0;
};

} // namespace lagoontiller::state
