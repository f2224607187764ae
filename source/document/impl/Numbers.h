#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::document {

/// \brief Parses the entire text as a number. Returns nothing if it is malformed or out of range, if characters remain,
/// or for infinities and NaN.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text) noexcept;
[[nodiscard]] std::optional<double> parseDecimal(std::string_view text) noexcept;

/// \brief Returns the shortest text without an exponent that `parseDecimal` converts back to the same number.
[[nodiscard]] std::string printNumber(double number);

} // namespace lagoontiller::document
