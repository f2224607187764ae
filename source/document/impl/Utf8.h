#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace lagoontiller::document {

/// \brief Byte offset of the first invalid UTF-8 sequence or of a control character other than the tab.
[[nodiscard]] std::optional<std::size_t> firstInvalidCharacter(std::string_view bytes);

/// \brief 1-based column, in characters, of the byte at `offset`. The bytes before it must be valid UTF-8.
[[nodiscard]] int columnAt(std::string_view line, std::size_t offset) noexcept;

} // namespace lagoontiller::document
