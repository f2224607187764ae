#pragma once

#include "document/Document.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lagoontiller::document {

/// \brief Place of a value: index of the section's kind in the schema, heading, and index of the key plus one.
using ValueSortKey = std::tuple<std::size_t, std::string, std::size_t>;

/// \brief Values by place; iteration gives the order of `Document::values`.
using ValueMap = std::map<ValueSortKey, DocumentValue>;

[[nodiscard]] ValueSortKey sortKeyOf(const std::string& section, std::string_view key);
[[nodiscard]] ValueMap valueMap(const std::vector<DocumentValue>& values);

/// \brief Rule of the section with this heading, or null.
[[nodiscard]] const SectionRule* ruleOf(std::string_view section) noexcept;

} // namespace lagoontiller::document
