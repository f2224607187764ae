#pragma once

#include "document/VersionRow.h"
#include "operators/Html.h"

#include <vector>

namespace lagoontiller::operators {

/// \brief Number of versions on one page of the history.
inline constexpr document::DocumentVersion versionsPerPage = 20;

/// \brief Renders a list of versions, newest first. `rows` is ordered oldest first; `current` is the version in force
/// on this node.
[[nodiscard]] Html historyPage(const std::vector<document::VersionRow>& rows, document::DocumentVersion current);

/// \brief Renders author, time and differences of one version.
[[nodiscard]] Html versionPage(const document::VersionRow& row, document::DocumentVersion current);

} // namespace lagoontiller::operators
