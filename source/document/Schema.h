#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

enum class ValueType : int {
    /// \brief UTF-8 text of up to 200 bytes.
    Text,
    /// \brief Up to 40 letters, digits, `-`, `_` and `.`.
    Name,
    /// \brief Comma-separated names.
    NameList,
    /// \brief Comma-separated paths that start with `/`.
    PathList,
    Integer,
    Decimal,
    Boolean,
    /// \brief One of the values in `Field::choices`.
    Choice,
    /// \brief `IP:port`, with an IPv6 address in brackets.
    Address,
    /// \brief Comma-separated addresses.
    AddressList,
    /// \brief Bytes in hexadecimal; `Field::minimum` and `Field::maximum` limit the number of bytes.
    Hex,
    /// \brief CURVE key: 40 characters in Z85 encoding (ZeroMQ RFC 32).
    Z85Key,
};

/// \brief How a value is displayed in differences and forms.
enum class Visibility : int {
    Full,
    /// \brief Only a prefix of the value is displayed.
    Redacted,
};

/// \brief Whether a key must be present.
enum class Presence : int {
    Required,
    Optional,
};

/// \brief Definition of one key of a section, used by validation, printing and the forms of the console.
struct Field {
    std::string_view key {};
    ValueType type = ValueType::Text;
    Presence presence = Presence::Optional;
    /// \brief Value of an absent optional key; empty if the key has no default.
    std::string_view defaultValue {};
    /// \brief Inclusive bounds of numbers and of the byte count of `Hex`; ignored for other types.
    double minimum = 0;
    double maximum = 0;
    /// \brief Valid values of a `Choice`, separated by `|`.
    std::string_view choices {};
    /// \brief Section kind that the names must refer to; empty if the names are not references.
    std::string_view refersTo {};
    std::string_view help {};
    Visibility visibility = Visibility::Full;
};

/// \brief How often a section kind may occur, and whether its heading has a name.
enum class Occurrence : int {
    /// \brief `[KIND]`, exactly once.
    Once,
    /// \brief `[KIND]`, at most once; defaults apply when it is absent.
    AtMostOnce,
    /// \brief `[KIND NAME]`, at least once.
    NamedAtLeastOnce,
    /// \brief `[KIND NAME]`, any number.
    NamedAnyNumber,
};

/// \brief Definition of one section kind.
struct SectionRule {
    std::string_view kind;
    Occurrence occurrence = Occurrence::Once;
    /// \brief Whether section names may contain a dot. False where program ids or customer keys use the first dot as
    /// the delimiter after the name.
    bool allowDotInName = true;
    std::string_view help {};
    std::span<const Field> fields {};

    /// \brief The field with this key, or null.
    [[nodiscard]] const Field* find(std::string_view key) const noexcept;
};

class Schema {
public:
    explicit constexpr Schema(std::span<const SectionRule> rules) noexcept
        : rules(rules)
    {
    }

    [[nodiscard]] std::span<const SectionRule> sections() const noexcept { return this->rules; }
    /// \brief The rule of this section kind, or null.
    [[nodiscard]] const SectionRule* find(std::string_view kind) const noexcept;

private:
    std::span<const SectionRule> rules;
};

/// \brief Schema of the operator document (docs/design.md, section 8).
[[nodiscard]] const Schema& documentSchema() noexcept;

/// \brief Whether the text is a valid customer name: a name without a dot.
[[nodiscard]] bool isCustomerName(std::string_view text) noexcept;

/// \brief Describes the valid values of a field for faults and forms.
[[nodiscard]] std::string allowedValues(const Field& field);

/// \brief The valid values of a `Choice`.
[[nodiscard]] std::vector<std::string_view> choicesOf(const Field& field);

} // namespace lagoontiller::document
