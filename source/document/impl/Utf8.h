#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace lagoontiller::document {

/// \brief Returns the byte offset of the first invalid UTF-8 sequence or control character other than a tab, or nothing
/// if there is none.
[[nodiscard]] std::optional<std::size_t> firstInvalidCharacter(std::string_view bytes);

/// \brief Returns the 1-based column, in characters, of the byte at `offset`. Precondition: the preceding bytes are
/// valid UTF-8.
[[nodiscard]] int columnAt(std::string_view line, std::size_t offset) noexcept;

} // namespace lagoontiller::document
