#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Reads a whole text as a number; nothing when characters remain, or for infinities and NaN.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text) noexcept;
[[nodiscard]] std::optional<double> parseDecimal(std::string_view text) noexcept;

/// \brief Shortest text without an exponent that `parseDecimal` reads back as the same number.
[[nodiscard]] std::string printNumber(double number);

} // namespace lagoontiller::document
