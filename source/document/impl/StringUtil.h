#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Characters that separate words and surround values.
inline constexpr std::string_view blanks = " \t";

/// \brief The text without surrounding blanks.
[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept;

/// \brief Parts of `text` between separators, without surrounding blanks. An empty text has no parts.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

[[nodiscard]] std::string joined(const std::vector<std::string_view>& words, std::string_view separator);
[[nodiscard]] std::string joined(const std::vector<std::string>& words, std::string_view separator);

} // namespace lagoontiller::document
