#pragma once

#include "document/Fault.h"
#include "document/IniText.h"
#include "document/Record.h"

#include <vector>

namespace lagoontiller::document {

/// \brief Validates sections, keys, values and references against a schema. Used for documents and settings.
///
/// Appends violations to `faults`. Returns a record for every section of a known kind, including invalid ones, so that
/// checks between sections can run in the same pass.
[[nodiscard]] std::vector<Record> checkSchema(const Schema& schema, const IniText& text, Faults& faults);

} // namespace lagoontiller::document
