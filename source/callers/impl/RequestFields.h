#pragma once

#include "callers/HttpServer.h"
#include "core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::callers::impl {

/// \brief Whether the text has 1 to 200 characters of printable ASCII without space, slash, double quote or backslash.
[[nodiscard]] bool isIdentifier(std::string_view text) noexcept;

/// \brief Parses a whole number from 1 to 100,000; empty if the text is anything else.
[[nodiscard]] std::optional<std::uint32_t> parseTurn(std::string_view text) noexcept;

/// \brief Value of an optional header that contains an identifier; empty if absent. Error: InvalidField.
[[nodiscard]] core::Expected<std::string> identifierHeader(const IncomingRequest& request, std::string_view name);

/// \brief Value of the X-Turn header; empty if absent. Error: InvalidField.
[[nodiscard]] core::Expected<std::optional<std::uint32_t>> turnHeader(const IncomingRequest& request);

/// \brief Value of a header that is `true` or `false`; `defaultValue` if absent. Error: InvalidField.
[[nodiscard]] core::Expected<bool> booleanHeader(
    const IncomingRequest& request, std::string_view name, bool defaultValue);

} // namespace lagoontiller::callers::impl
