#pragma once

#include "document/Schema.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lagoontiller::document {

/// \brief Why a value is invalid, and the byte offset of the invalid part within the value.
struct ValueFault {
    std::string problem;
    std::size_t offset = 0;
    std::string hint;
};

/// \brief Validates a value and returns its canonical form: equal values have the same canonical text.
[[nodiscard]] tl::expected<std::string, ValueFault> canonicalValue(const Field& field, std::string_view text);

/// \brief Whether a text is a valid section name or `Name` value.
[[nodiscard]] bool isName(std::string_view text) noexcept;

} // namespace lagoontiller::document
