#pragma once

#include "callers/HttpServer.h"
#include "core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::callers::impl {

/// \brief 1 to 200 characters, printable ASCII without blank, slash, quote or backslash.
[[nodiscard]] bool isIdentifier(std::string_view text) noexcept;

/// \brief A whole number from 1 to 100,000.
[[nodiscard]] std::optional<std::uint32_t> parseTurn(std::string_view text) noexcept;

/// \brief Value of an optional identifier header; empty when absent. Error: InvalidField.
[[nodiscard]] core::Expected<std::string> identifierHeader(const IncomingRequest& request, std::string_view name);

[[nodiscard]] core::Expected<std::optional<std::uint32_t>> turnHeader(const IncomingRequest& request);

[[nodiscard]] core::Expected<bool> booleanHeader(
    const IncomingRequest& request, std::string_view name, bool defaultValue);

} // namespace lagoontiller::callers::impl
