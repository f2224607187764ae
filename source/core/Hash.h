#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoontiller::core {

/// \brief 64-bit XXH3 hash. Must be equal on all nodes, because partitions and rendezvous scores are computed from it.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// \brief 128-bit XXH3 hash as 32 lower-case hexadecimal digits, used as content digest.
[[nodiscard]] std::string digestHex(std::string_view bytes);

/// \brief Hashes two 64-bit values into one, for rendezvous scores such as those of (node, partition) pairs.
[[nodiscard]] std::uint64_t combine(std::uint64_t left, std::uint64_t right) noexcept;

} // namespace lagoontiller::core
