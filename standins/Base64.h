#pragma once

#include <optional>
#include <string>

namespace lagoontiller::standins {

/// \brief Base64 with padding (RFC 4648, section 4).
[[nodiscard]] std::string encodeBase64(const std::string& bytes);

/// \brief The encoded bytes; nothing when `text` is not base64.
[[nodiscard]] std::optional<std::string> decodeBase64(const std::string& text);

} // namespace lagoontiller::standins
