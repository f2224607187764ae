#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoontiller::operators {

/// \brief Fields of a submitted form or of a query string, in their order.
class FormData {
public:
    using Field = std::pair<std::string, std::string>;

    FormData() = default;
    explicit FormData(std::vector<Field> fields)
        : allFields(std::move(fields))
    {
    }

    /// \brief First value of the field; empty when it is absent.
    [[nodiscard]] const std::string& value(std::string_view name) const;
    [[nodiscard]] const std::vector<Field>& fields() const noexcept { return this->allFields; }

private:
    std::vector<Field> allFields;
};

/// \brief Reads `application/x-www-form-urlencoded` text. Error: InvalidField for a malformed escape, bytes that are
/// not UTF-8, or more than 100,000 fields.
[[nodiscard]] core::Expected<FormData> parseForm(std::string_view text);

/// \brief The part of a request target after the question mark.
[[nodiscard]] std::string_view queryString(std::string_view target) noexcept;

/// \brief Reads a whole number; 0 when the text is none.
[[nodiscard]] std::uint64_t parseUnsigned(std::string_view text) noexcept;

} // namespace lagoontiller::operators
