#pragma once

#include "document/VersionRow.h"
#include "operators/Html.h"

#include <vector>

namespace lagoontiller::operators {

/// \brief Versions on one page of the history.
inline constexpr document::DocumentVersion versionsPerPage = 20;

/// \brief The given versions, oldest first, as a list with the newest on top.
[[nodiscard]] Html historyPage(const std::vector<document::VersionRow>& rows, document::DocumentVersion current);

/// \brief Author, time and differences of one version.
[[nodiscard]] Html versionPage(const document::VersionRow& row, document::DocumentVersion current);

} // namespace lagoontiller::operators
