#pragma once

#include "document/Document.h"
#include "document/Record.h"

#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Records of one kind in ascending order of names.
[[nodiscard]] std::vector<const Record*> sortedOfKind(const std::vector<Record>& records, std::string_view kind);

/// \brief Canonical values of all records in the order of the schema. Keys without a value are left out.
[[nodiscard]] std::vector<DocumentValue> valuesOf(const Schema& schema, const std::vector<Record>& records);

} // namespace lagoontiller::document
