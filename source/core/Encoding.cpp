#include "core/Encoding.h"

#include <sodium.h>
#include <vector>

namespace lagoontiller::core {

namespace {

int hexDigit(char character) noexcept
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return -1;
}

bool isUnreserved(unsigned char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_'
        || character == '~';
}

/// \brief Length of a UTF-8 sequence and the valid range of its second byte; the length is 0 for an invalid lead byte.
struct Utf8Sequence {
    std::size_t length = 0;
    unsigned char minSecondByte = 0x80;
    unsigned char maxSecondByte = 0xBF;
};

Utf8Sequence utf8Sequence(unsigned char lead) noexcept
{
    if (lead < 0x80)
        return { 1 };
    if (lead >= 0xC2 && lead <= 0xDF)
        return { 2 };
    if (lead == 0xE0)
        return { 3, 0xA0, 0xBF };
    if (lead == 0xED)
        return { 3, 0x80, 0x9F };
    if (lead >= 0xE1 && lead <= 0xEF)
        return { 3 };
    if (lead == 0xF0)
        return { 4, 0x90, 0xBF };
    if (lead >= 0xF1 && lead <= 0xF3)
        return { 4 };
    if (lead == 0xF4)
        return { 4, 0x80, 0x8F };
    return {};
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string result(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(result.data(), result.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    result.pop_back();
    return result;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    std::string result(text.size() / 4 * 3 + 3, '\0');
    std::size_t length = 0;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(result.data()), result.size(), text.data(),
        text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0)
        return std::nullopt;
    result.resize(length);
    return result;
}

std::string encodeUrl(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (isUnreserved(byte)) {
            result += character;
        } else {
            result += '%';
            result += digits[byte >> 4];
            result += digits[byte & 0xF];
        }
    }
    return result;
}

std::optional<std::string> decodeUrl(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            result += text[index];
            continue;
        }
        if (index + 2 >= text.size())
            return std::nullopt;
        const int high = hexDigit(text[index + 1]);
        const int low = hexDigit(text[index + 2]);
        if (high < 0 || low < 0)
            return std::nullopt;
        result += static_cast<char>(high * 16 + low);
        index += 2;
    }
    return result;
}

bool isUtf8(std::string_view bytes) noexcept
{
    for (std::size_t index = 0; index < bytes.size();) {
        const auto sequence = utf8Sequence(static_cast<unsigned char>(bytes[index]));
        if (sequence.length == 0 || index + sequence.length > bytes.size())
            return false;
        for (std::size_t offset = 1; offset < sequence.length; ++offset) {
            const auto byte = static_cast<unsigned char>(bytes[index + offset]);
            const auto minimum = offset == 1 ? sequence.minSecondByte : 0x80;
            const auto maximum = offset == 1 ? sequence.maxSecondByte : 0xBF;
            if (byte < minimum || byte > maximum)
                return false;
        }
        index += sequence.length;
    }
    return true;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    randombytes_buf(random.data(), random.size());
    std::string result(bytes * 2 + 1, '\0');
    sodium_bin2hex(result.data(), result.size(), random.data(), random.size());
    result.pop_back();
    return result;
}

} // namespace lagoontiller::core
