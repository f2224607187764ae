#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::core {

/// \brief Encodes the bytes as standard base64 with padding.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// \brief Decodes standard base64 with padding; empty when the text is malformed.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

/// \brief Percent-encodes all characters except the unreserved URL characters.
[[nodiscard]] std::string encodeUrl(std::string_view text);

/// \brief Decodes percent-encoded characters; empty when an escape sequence is malformed.
[[nodiscard]] std::optional<std::string> decodeUrl(std::string_view text);

/// \brief Whether the bytes are well-formed UTF-8 (no overlong sequences, no surrogates).
[[nodiscard]] bool isUtf8(std::string_view bytes) noexcept;

/// \brief Returns `bytes` random bytes from the system's secure generator as lower-case hexadecimal digits.
[[nodiscard]] std::string randomHex(std::size_t bytes);

} // namespace lagoontiller::core
