#pragma once

#include "document/Document.h"
#include "document/Fault.h"
#include "document/Record.h"

#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Returns all faults of a document text, sorted by position; empty if the text is a valid document.
[[nodiscard]] Faults check(std::string_view text);

/// \brief Checks constraints between sections and appends violations to `faults`. Invalid values are skipped, so that
/// one mistake is not reported twice.
void checkAcrossSections(const std::vector<Record>& records, Faults& faults);

} // namespace lagoontiller::document
