#pragma once

#include "document/Fault.h"
#include "document/IniText.h"
#include "document/Record.h"

#include <vector>

namespace lagoontiller::document {

/// \brief Checks sections, keys, values and the names they refer to, for documents and settings alike.
///
/// Returns a record for every section of a known kind, also for faulty ones, so that the checks that compare sections
/// can run in the same pass. Appends to `faults`.
[[nodiscard]] std::vector<Record> checkSchema(const Schema& schema, const IniText& text, Faults& faults);

} // namespace lagoontiller::document
