#pragma once

#include "document/Document.h"
#include "document/Record.h"

#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Returns the records of one kind, sorted by name.
[[nodiscard]] std::vector<const Record*> sortedOfKind(const std::vector<Record>& records, std::string_view kind);

/// \brief Returns the canonical values of all records, ordered by schema and name. Keys with neither a value nor a
/// default are omitted.
[[nodiscard]] std::vector<DocumentValue> valuesOf(const Schema& schema, const std::vector<Record>& records);

} // namespace lagoontiller::document
