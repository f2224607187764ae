#pragma once

#include "document/Acceptance.h"
#include "operators/Draft.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lagoontiller::operators {

/// \brief Table of the changes, with key hashes shortened. A note instead when there are none.
[[nodiscard]] Html changesTable(const document::Changes& changes);
/// \brief Table of the changes in a version's stored difference, a JSON array.
[[nodiscard]] Html changesTable(const nlohmann::json& changes);

struct Preview {
    const Draft& draft;
    document::Changes changes;
    /// \brief Version in force on this node. Greater than the draft's base version when another operator's version was
    /// accepted after the draft was started.
    document::DocumentVersion current = 0;
    /// \brief Random ID of this acceptance. A form that is submitted twice is accepted once.
    std::string acceptanceId;
};

[[nodiscard]] Html previewPage(const Preview& preview, const Session& session);

[[nodiscard]] Html acceptedPage(document::DocumentVersion version, const Html& changes);

/// \brief Page for a draft that another version preceded: the author and changes of that version, the draft's changes
/// that merge with it, and those that conflict.
[[nodiscard]] Html conflictPage(const document::VersionConflict& race, const Draft& draft, const Session& session);

/// \brief Page for an acceptance whose outcome is unknown because the store's reply was lost.
[[nodiscard]] Html outcomeUnknownPage(
    const Draft& draft, const std::string& acceptanceId, const core::Error& error, const Session& session);

/// \brief Page for an acceptance or preview that failed for a reason outside the draft. The draft can be submitted
/// again; with an empty `acceptanceId` it is checked and previewed first.
[[nodiscard]] Html notAcceptedPage(
    const Draft& draft, const std::string& acceptanceId, const std::string& reason, const Session& session);

} // namespace lagoontiller::operators
