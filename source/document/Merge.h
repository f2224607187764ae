#pragma once

#include "document/Difference.h"

#include <vector>

namespace lagoontiller::document {

/// \brief Two changes that cannot both be applied.
struct MergeConflict {
    Change mine;
    Change theirs;
    [[nodiscard]] bool operator==(const MergeConflict&) const = default;
};

/// \brief Result of merging one editor's changes (`mine`) into a concurrently accepted document (`theirs`).
struct Merge {
    /// \brief Changes of `mine` that do not conflict and are not already in `theirs`.
    Changes kept;
    std::vector<MergeConflict> conflicts;
    /// \brief Values of `theirs` with the kept changes applied. They have to be validated again before acceptance.
    std::vector<DocumentValue> values;
    [[nodiscard]] bool operator==(const Merge&) const = default;
};

/// \brief Three-way merge. Two changes conflict if they give the same key different values, or if one removes a section
/// in which the other adds, changes or removes a key. A change made by both sides is neither kept nor a conflict.
[[nodiscard]] Merge merge(const std::vector<DocumentValue>& base, const std::vector<DocumentValue>& mine,
    const std::vector<DocumentValue>& theirs);

} // namespace lagoontiller::document
