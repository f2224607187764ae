#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::core {

/// \brief Standard base64 with padding.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// \brief Decodes standard base64 with padding; nothing when the text is malformed.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

/// \brief Percent-encodes everything but unreserved URL characters.
[[nodiscard]] std::string encodeUrl(std::string_view text);

/// \brief Decodes percent escapes; nothing when one is malformed.
[[nodiscard]] std::optional<std::string> decodeUrl(std::string_view text);

/// \brief True when the bytes are well-formed UTF-8 (no overlong forms, no surrogates).
[[nodiscard]] bool isUtf8(std::string_view bytes) noexcept;

/// \brief A random id of `bytes` random bytes in hexadecimal, from the system's secure generator.
[[nodiscard]] std::string randomHex(std::size_t bytes);

} // namespace lagoontiller::core
