#pragma once

#include "proto/records.pb.h"
#include "state/ProgramState.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lagoontiller::state {

/// \brief Programs of one partition: the fold of the partition's records in commit order.
///
/// Applying a record again changes nothing. The first record of a turn wins; so does the first result of a call.
class ProgramStore {
public:
    void apply(const records::Entry& entry);

    /// \brief The program's state, or nullptr. Valid until the next apply or removeTree.
    [[nodiscard]] const ProgramState* find(const core::ProgramKey& program) const;
    /// \brief Budget of the root of `program`; all zero when nothing is recorded.
    [[nodiscard]] RootBudget budgetOf(const core::ProgramKey& program) const;
    [[nodiscard]] const std::map<core::ProgramKey, ProgramState>& all() const noexcept { return this->programs; }

    /// \brief Entries that rebuild this state, with programs that have not ended first.
    [[nodiscard]] std::vector<records::Entry> snapshotEntries(core::PartitionId partition, core::Epoch epoch) const;
    /// \brief Removes an ended tree of programs without open releases; the next image omits it.
    /// \return false when the root or a sub-agent is active or has an open release.
    bool removeTree(const core::ProgramKey& root);

    /// \brief Approximate bytes held by all programs, for memory limits and snapshot pacing.
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
