#pragma once

#include "document/Difference.h"

#include <vector>

namespace lagoontiller::document {

/// \brief Two changes that cannot both take effect.
struct MergeConflict {
    Change mine;
    Change theirs;
    [[nodiscard]] bool operator==(const MergeConflict&) const = default;
};

/// \brief What becomes of the changes of an editor who lost the race for a version.
struct Merge {
    /// \brief The editor's changes that fit the winner's document.
    Changes kept;
    std::vector<MergeConflict> conflicts;
    /// \brief The winner's values with the kept changes. They must be checked again before they are accepted.
    std::vector<DocumentValue> values;
    [[nodiscard]] bool operator==(const Merge&) const = default;
};

/// \brief Three-way merge. Two changes conflict when they set one key differently, or when one removes a section in
/// which the other one adds or changes a key. A change that both made is neither kept nor a conflict.
[[nodiscard]] Merge merge(const std::vector<DocumentValue>& base, const std::vector<DocumentValue>& mine,
    const std::vector<DocumentValue>& theirs);

} // namespace lagoontiller::document
