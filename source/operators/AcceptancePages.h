#pragma once

#include "document/Acceptance.h"
#include "operators/Draft.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lagoontiller::operators {

/// \brief Changes as a table; key hashes are cut short.
[[nodiscard]] Html changesTable(const document::Changes& changes);
/// \brief The same for the stored difference of a version.
[[nodiscard]] Html changesTable(const nlohmann::json& changes);

struct Preview {
    const Draft& draft;
    document::Changes changes;
    /// \brief Version in force on this node; above the base when another operator was faster.
    document::DocumentVersion current = 0;
    /// \brief Identifies this acceptance, so that sending the form twice accepts it once.
    std::string acceptanceId;
};

[[nodiscard]] Html previewPage(const Preview& preview, const Session& session);

[[nodiscard]] Html acceptedPage(document::DocumentVersion version, const Html& changes);

/// \brief Another version was accepted first: who won, what it changed, and which own changes still fit.
[[nodiscard]] Html conflictPage(const document::LostRace& race, const Draft& draft, const Session& session);

/// \brief The store did not say whether the version was accepted.
[[nodiscard]] Html outcomeUnknownPage(
    const Draft& draft, const std::string& acceptanceId, const core::Error& error, const Session& session);

/// \brief Nothing was accepted, for a reason outside the draft; the draft may be sent again.
[[nodiscard]] Html notAcceptedPage(
    const Draft& draft, const std::string& acceptanceId, const std::string& reason, const Session& session);

} // namespace lagoontiller::operators
