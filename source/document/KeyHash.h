#pragma once

#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Salt and hash of a key, as hexadecimal digits. The key itself is stored nowhere.
struct KeyHash {
    std::string salt;
    std::string hash;
    [[nodiscard]] bool operator==(const KeyHash&) const = default;
};

/// \brief BLAKE2b (crypto_generichash, 32 bytes) of the key, keyed with the salt of 16 to 64 bytes.
///
/// Keys are random and long, so a fast hash suffices; a slow password hash would cost more than a request.
/// Returns an empty text when the salt is not valid.
[[nodiscard]] std::string hashKey(std::string_view saltHex, std::string_view key);

/// \brief Compares in constant time. False when salt or hash is not valid.
[[nodiscard]] bool matchesKey(const KeyHash& expected, std::string_view key);

/// \brief Random salt of 16 bytes and the hash of the key.
[[nodiscard]] KeyHash newKeyHash(std::string_view key);

/// \brief Random text of 32 bytes as hexadecimal digits, for the secret part of a key.
[[nodiscard]] std::string newSecret();

} // namespace lagoontiller::document
