#pragma once

#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace lagoontiller::nodes {

using RandomGenerator = std::mt19937_64;

/// \brief Returns a random index below `size`, which must not be 0. Unlike the standard distributions, it gives the
/// same result on every platform.
[[nodiscard]] inline std::size_t randomIndex(RandomGenerator& generator, std::size_t size)
{
    return static_cast<std::size_t>(generator() % size);
}

/// \brief Returns true with the given probability.
[[nodiscard]] inline bool drawBernoulli(RandomGenerator& generator, double probability)
{
    return static_cast<double>(generator() >> 11) * 0x1.0p-53 < probability;
}

/// \brief Reduces `items` to a random sample of at most `count` elements in random order.
template <typename Item> void keepRandomSample(RandomGenerator& generator, std::vector<Item>& items, std::size_t count)
{
    for (std::size_t index = 0; index < items.size() && index < count; ++index)
        std::swap(items[index], items[index + randomIndex(generator, items.size() - index)]);
    if (items.size() > count)
        items.erase(items.begin() + static_cast<std::ptrdiff_t>(count), items.end());
}

} // namespace lagoontiller::nodes
