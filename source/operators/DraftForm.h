#pragma once

#include "operators/Draft.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoontiller::operators {

/// \brief Sections that a page of the draft form shows.
struct DraftView {
    /// \brief Kind of the shown sections; empty for all sections with faults.
    std::string kind;
    /// \brief Number of sections of the view before the first shown one.
    std::size_t offset = 0;
    /// \brief Section that gets the focus; it was just added.
    std::optional<std::size_t> focusedSection {};
};

/// \brief Most sections on one page of the form.
inline constexpr std::size_t sectionsPerPage = 50;

/// \brief Fields of one section: help, allowed values, and the faults beside them.
[[nodiscard]] Html sectionFields(const Draft& draft, std::size_t index, const document::Faults& faults, bool isFocused);

/// \brief The form of a draft. `faults` is null when the draft was not checked yet.
[[nodiscard]] Html draftForm(
    const Draft& draft, const DraftFaults* faults, const DraftView& view, const Session& session);

/// \brief Hidden fields that carry a draft to the next page.
[[nodiscard]] Html draftFields(const Draft& draft, const Session& session);

} // namespace lagoontiller::operators
