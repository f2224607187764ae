#include "document/KeyHash.h"

#include <array>
#include <optional>
#include <sodium.h>
#include <stdexcept>
#include <vector>

namespace lagoontiller::document {

namespace {

constexpr std::size_t hashBytes = 32;
constexpr std::size_t saltBytes = 16;
constexpr std::size_t secretBytes = 32;

void initialiseSodium()
{
    if (sodium_init() < 0)
        throw std::runtime_error("libsodium cannot be initialised");
}

std::string toHex(const unsigned char* bytes, std::size_t size)
{
    std::string hex(size * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes, size);
    hex.pop_back();
    return hex;
}

std::optional<std::vector<unsigned char>> fromHex(std::string_view hex)
{
    std::vector<unsigned char> bytes(hex.size() / 2);
    std::size_t length = 0;
    const int status = sodium_hex2bin(bytes.data(), bytes.size(), hex.data(), hex.size(), nullptr, &length, nullptr);
    if (status != 0 || length * 2 != hex.size())
        return std::nullopt;
    return bytes;
}

template <std::size_t Size> std::string randomHex()
{
    initialiseSodium();
    std::array<unsigned char, Size> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes.data(), bytes.size());
}

} // namespace

std::string hashKey(std::string_view saltHex, std::string_view key)
{
    initialiseSodium();
    const auto salt = fromHex(saltHex);
    if (!salt || salt->size() < crypto_generichash_KEYBYTES_MIN || salt->size() > crypto_generichash_KEYBYTES_MAX)
        return {};
    std::array<unsigned char, hashBytes> hash {};
    const auto* const bytes = reinterpret_cast<const unsigned char*>(key.data());
    crypto_generichash(hash.data(), hash.size(), bytes, key.size(), salt->data(), salt->size());
    return toHex(hash.data(), hash.size());
}

bool matchesKey(const KeyHash& expected, std::string_view key)
{
    const auto hash = hashKey(expected.salt, key);
    if (hash.empty() || hash.size() != expected.hash.size())
        return false;
    return sodium_memcmp(hash.data(), expected.hash.data(), hash.size()) == 0;
}

KeyHash newKeyHash(std::string_view key)
{
    auto salt = randomHex<saltBytes>();
    auto hash = hashKey(salt, key);
    return { std::move(salt), std::move(hash) };
}

std::string newSecret()
{
    return randomHex<secretBytes>();
}

} // namespace lagoontiller::document
