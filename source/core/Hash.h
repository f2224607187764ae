#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoontiller::core {

/// \brief 64-bit XXH3 hash. The same on every node: partitions and rendezvous scores depend on it.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// \brief 128-bit XXH3 hash as 32 lower-case hexadecimal digits, for content digests.
[[nodiscard]] std::string digestHex(std::string_view bytes);

/// \brief Mixes two 64-bit values into one, for scores of (node, partition) pairs.
[[nodiscard]] std::uint64_t combine(std::uint64_t left, std::uint64_t right) noexcept;

} // namespace lagoontiller::core
