#pragma once

#include "document/Document.h"
#include "document/Fault.h"
#include "document/Record.h"

#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief All faults of a document text, in the order of their positions.
[[nodiscard]] Faults check(std::string_view text);

/// \brief Checks that compare sections with each other. Values that were refused are left out, so that one mistake
/// does not yield a second fault.
void checkAcrossSections(const std::vector<Record>& records, Faults& faults);

} // namespace lagoontiller::document
