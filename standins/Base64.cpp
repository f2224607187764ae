#include "standins/Base64.h"

#include <sodium.h>

namespace lagoontiller::standins {

std::string encodeBase64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    // The length includes the terminating zero.
    text.pop_back();
    return text;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const auto result = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
        text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (result != 0)
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

} // namespace lagoontiller::standins
