#pragma once

#include "document/Schema.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace lagoontiller::document {

/// \brief Why a value is refused, and the byte offset of the refused part in the value.
struct ValueFault {
    std::string problem;
    std::size_t offset = 0;
    std::string hint;
};

/// \brief Canonical form of a value that the field accepts: equal values have equal texts.
[[nodiscard]] tl::expected<std::string, ValueFault> canonicalValue(const Field& field, std::string_view text);

/// \brief Whether a text may be the name of a section or be listed in a `Name` value.
[[nodiscard]] bool isName(std::string_view text) noexcept;

} // namespace lagoontiller::document
