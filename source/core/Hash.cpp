#include "core/Hash.h"

#include <cstdio>
#include <xxhash.h>

namespace lagoontiller::core {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digestHex(std::string_view bytes)
{
    const auto digest = XXH3_128bits(bytes.data(), bytes.size());
    char text[33];
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(digest.high64),
        static_cast<unsigned long long>(digest.low64));
    return text;
}

std::uint64_t combine(std::uint64_t left, std::uint64_t right) noexcept
{
    const std::uint64_t words[2] { left, right };
    return XXH3_64bits(words, sizeof(words));
}

} // namespace lagoontiller::core
