#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief The candidate with the smallest edit distance to `name`; empty when even that one differs in more than a
/// third of its characters (at least 2). Only the first 1,000 candidates are compared.
[[nodiscard]] std::string nearestName(std::string_view name, const std::vector<std::string_view>& candidates);

} // namespace lagoontiller::document
