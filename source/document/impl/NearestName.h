#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Returns the candidate with the smallest edit distance to `name`. The distance may be at most a third of the
/// length of `name` or 2, whichever is larger, and must be less than the longer of the two lengths. Returns an empty
/// string if no candidate qualifies or `name` is longer than 64 bytes. Only the first 1,000 candidates are compared.
[[nodiscard]] std::string nearestName(std::string_view name, const std::vector<std::string_view>& candidates);

} // namespace lagoontiller::document
