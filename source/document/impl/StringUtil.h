#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Whitespace within a line, which separates words and may surround values.
inline constexpr std::string_view blanks = " \t";

/// \brief Returns the text without leading and trailing blanks.
[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept;

/// \brief Splits the text at each separator and trims the parts. Returns no parts if the text is empty or blank.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

[[nodiscard]] std::string joined(const std::vector<std::string_view>& words, std::string_view separator);
[[nodiscard]] std::string joined(const std::vector<std::string>& words, std::string_view separator);

} // namespace lagoontiller::document
