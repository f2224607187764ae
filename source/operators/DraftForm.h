#pragma once

#include "operators/Draft.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoontiller::operators {

/// \brief Selects the sections that one page of the draft form shows.
struct DraftView {
    /// \brief Kind of the shown sections; when empty, the page shows the sections of any kind that have faults.
    std::string kind;
    /// \brief Number of matching sections on the previous pages.
    std::size_t offset = 0;
    /// \brief Index of a newly added section, whose name field gets the focus.
    std::optional<std::size_t> focusedSection {};
};

/// \brief Maximum number of sections on one page of the form.
inline constexpr std::size_t sectionsPerPage = 50;

/// \brief Renders the fields of one section with their help texts, allowed values and faults.
[[nodiscard]] Html sectionFields(const Draft& draft, std::size_t index, const document::Faults& faults, bool isFocused);

/// \brief Renders the form of a draft. `faults` is null when the draft has not been checked.
[[nodiscard]] Html draftForm(
    const Draft& draft, const DraftFaults* faults, const DraftView& view, const Session& session);

/// \brief Hidden fields that pass the draft and the session's CSRF token to the next page.
[[nodiscard]] Html draftFields(const Draft& draft, const Session& session);

} // namespace lagoontiller::operators
