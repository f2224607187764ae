#include "document/impl/NearestName.h"

#include <algorithm>
#include <numeric>

namespace lagoontiller::document {

namespace {

constexpr std::size_t maxCandidates = 1000;
constexpr std::size_t maxComparedBytes = 64;

// Levenshtein distance in bytes, computed with a single row of the matrix.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ substituted, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view name, const std::vector<std::string_view>& candidates)
{
    if (name.size() > maxComparedBytes)
        return {};
    auto smallest = std::max<std::size_t>(2, name.size() / 3) + 1;
    std::string_view nearest;
    const auto count = std::min(candidates.size(), maxCandidates);
    for (std::size_t i = 0; i < count; ++i) {
        const auto distance = editDistance(name, candidates[i]);
        if (distance < smallest && distance < std::max(name.size(), candidates[i].size())) {
            smallest = distance;
            nearest = candidates[i];
        }
    }
    return std::string(nearest);
}

} // namespace lagoontiller::document
