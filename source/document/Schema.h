#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

enum class ValueType : int {
    /// \brief Any UTF-8 text up to 200 bytes.
    Text,
    /// \brief Letters, digits, `-`, `_` and `.`, up to 40.
    Name,
    /// \brief Names separated by commas.
    NameList,
    /// \brief Paths that start with `/`, separated by commas.
    PathList,
    Integer,
    Decimal,
    Boolean,
    /// \brief One of the words in `Field::choices`.
    Choice,
    /// \brief `IP:port`, with an IPv6 address in brackets.
    Address,
    /// \brief Addresses separated by commas.
    AddressList,
    /// \brief An even number of hexadecimal digits; minimum and maximum count bytes.
    Hex,
    /// \brief 40 characters of Z85 text (ZeroMQ RFC 32), the form of a CURVE key.
    Z85Key,
};

/// \brief Whether a value is shown in differences and forms.
enum class Visibility : int {
    Full,
    /// \brief Only the first characters are shown.
    Redacted,
};

/// \brief Whether a key must be present.
enum class Presence : int {
    Required,
    Optional,
};

/// \brief One key of a section. The check, the printer and the forms of the console read this table.
struct Field {
    std::string_view key {};
    ValueType type = ValueType::Text;
    Presence presence = Presence::Optional;
    /// \brief Value of an absent optional key; empty stands for no value.
    std::string_view defaultValue {};
    /// \brief Bounds of numbers and of the byte count of `Hex`; ignored for other types.
    double minimum = 0;
    double maximum = 0;
    /// \brief Accepted words of a `Choice`, separated by `|`.
    std::string_view choices {};
    /// \brief Kind of the sections that the names refer to; empty when the names are free.
    std::string_view refersTo {};
    std::string_view help {};
    Visibility visibility = Visibility::Full;
};

/// \brief How often a kind of section may occur.
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

struct SectionRule {
    std::string_view kind;
    Occurrence occurrence = Occurrence::Once;
    /// \brief Whether the name may contain a dot. Program ids and customer keys end a name at their first dot.
    bool allowDotInName = true;
    std::string_view help {};
    std::span<const Field> fields {};

    [[nodiscard]] const Field* find(std::string_view key) const noexcept;
};

class Schema {
public:
    explicit constexpr Schema(std::span<const SectionRule> rules) noexcept
        : rules(rules)
    {
    }

    [[nodiscard]] std::span<const SectionRule> sections() const noexcept { return this->rules; }
    [[nodiscard]] const SectionRule* find(std::string_view kind) const noexcept;

private:
    std::span<const SectionRule> rules;
};

/// \brief Rules of the operator document (docs/design.md, section 8).
[[nodiscard]] const Schema& documentSchema() noexcept;

/// \brief Whether a customer may have this name.
[[nodiscard]] bool isCustomerName(std::string_view text) noexcept;

/// \brief What a field accepts, in words, for faults and forms.
[[nodiscard]] std::string allowedValues(const Field& field);

/// \brief The accepted words of a `Choice`.
[[nodiscard]] std::vector<std::string_view> choicesOf(const Field& field);

} // namespace lagoontiller::document
