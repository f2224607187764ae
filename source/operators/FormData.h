#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoontiller::operators {

/// \brief Fields of a submitted form or of a query string, in the order received.
class FormData {
public:
    using Field = std::pair<std::string, std::string>;

    FormData() = default;
    explicit FormData(std::vector<Field> fields)
        : allFields(std::move(fields))
    {
    }

    /// \brief First value of the field; empty when the field is missing.
    [[nodiscard]] const std::string& value(std::string_view name) const;
    [[nodiscard]] const std::vector<Field>& fields() const noexcept { return this->allFields; }

private:
    std::vector<Field> allFields;
};

/// \brief Parses `application/x-www-form-urlencoded` text. Returns InvalidField for an invalid percent escape, for
/// bytes that are not UTF-8, and for more than 100,000 fields.
[[nodiscard]] core::Expected<FormData> parseForm(std::string_view text);

/// \brief The part of a request target after the question mark; empty without one.
[[nodiscard]] std::string_view queryString(std::string_view target) noexcept;

/// \brief Parses an unsigned decimal integer. Returns 0 when the text is not one or does not fit.
[[nodiscard]] std::uint64_t parseUnsigned(std::string_view text) noexcept;

} // namespace lagoontiller::operators
