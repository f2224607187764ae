#pragma once

#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Salt and hash of a key in hexadecimal. The key itself is never stored.
struct KeyHash {
    std::string salt;
    std::string hash;
    [[nodiscard]] bool operator==(const KeyHash&) const = default;
};

/// \brief Returns the BLAKE2b hash (crypto_generichash, 32 bytes) of the key in hexadecimal, keyed with a salt of 16 to
/// 64 bytes.
///
/// Keys are long and random, so a fast hash is sufficient; a slow password hash would cost more than handling a
/// request. Returns an empty string if the salt is invalid. Throws `std::runtime_error` if libsodium cannot be
/// initialised.
[[nodiscard]] std::string hashKey(std::string_view saltHex, std::string_view key);

/// \brief Whether the key has the expected hash. Hashes are compared in constant time. Returns false if the salt or the
/// hash is malformed.
[[nodiscard]] bool matchesKey(const KeyHash& expected, std::string_view key);

/// \brief Hashes the key with a new random salt of 16 bytes.
[[nodiscard]] KeyHash newKeyHash(std::string_view key);

/// \brief Returns 32 random bytes in hexadecimal, for the secret part of a key.
[[nodiscard]] std::string newSecret();

} // namespace lagoontiller::document
