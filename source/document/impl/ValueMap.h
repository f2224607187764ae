#pragma once

#include "document/Document.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lagoontiller::document {

/// \brief Sort key of a value: index of the section kind in the schema, heading, and index of the key in the section
/// plus one. The last element is 0 for the section itself.
using ValueSortKey = std::tuple<std::size_t, std::string, std::size_t>;

/// \brief Values by sort key; iteration order is the order of `Document::values`.
using ValueMap = std::map<ValueSortKey, DocumentValue>;

[[nodiscard]] ValueSortKey sortKeyOf(const std::string& section, std::string_view key);
[[nodiscard]] ValueMap valueMap(const std::vector<DocumentValue>& values);

/// \brief Returns the rule for the section with this heading, or null if its kind is unknown.
[[nodiscard]] const SectionRule* ruleOf(std::string_view section) noexcept;

} // namespace lagoontiller::document
