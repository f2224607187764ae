#pragma once

#include "document/Document.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

enum class ChangeKind : int {
    Added,
    Removed,
    Changed,
};

/// \brief One changed value. An empty key represents the section itself.
///
/// Holds the full values for `applyChanges`; everything that is shown or stored uses `redactedBefore` and
/// `redactedAfter`.
class Change {
public:
    Change(ChangeKind kind, std::string section, std::string key, std::string before, std::string after)
        : changeKind(kind)
        , changedSection(std::move(section))
        , changedKey(std::move(key))
        , before(std::move(before))
        , after(std::move(after))
    {
    }

    [[nodiscard]] bool operator==(const Change&) const = default;

    [[nodiscard]] ChangeKind kind() const noexcept { return this->changeKind; }
    [[nodiscard]] const std::string& section() const noexcept { return this->changedSection; }
    [[nodiscard]] const std::string& key() const noexcept { return this->changedKey; }
    /// \brief The old value; key salts and hashes are truncated to a prefix. Empty for an added value.
    [[nodiscard]] std::string redactedBefore() const;
    /// \brief The new value; key salts and hashes are truncated to a prefix. Empty for a removed value.
    [[nodiscard]] std::string redactedAfter() const;
    /// \brief The complete new value, for `applyChanges` only; it must not be displayed or stored.
    [[nodiscard]] const std::string& unredactedAfter() const noexcept { return this->after; }

private:
    ChangeKind changeKind;
    std::string changedSection;
    std::string changedKey;
    std::string before;
    std::string after;
};

using Changes = std::vector<Change>;

/// \brief Returns the changes that turn `from` into `to`, ordered by schema and name.
[[nodiscard]] Changes difference(const std::vector<DocumentValue>& from, const std::vector<DocumentValue>& to);
[[nodiscard]] Changes difference(const Document& from, const Document& to);

/// \brief Applies the changes without checking the old values: added and changed values are set, removed values are
/// erased if present.
[[nodiscard]] std::vector<DocumentValue> applyChanges(const std::vector<DocumentValue>& values, const Changes& changes);

/// \brief Returns the canonical values of a text. Unknown sections and keys are omitted and invalid values count as
/// absent, so that a text accepted by an earlier release can still be compared.
[[nodiscard]] std::vector<DocumentValue> canonicalValues(std::string_view text);

/// \brief `added`, `removed` or `changed`.
[[nodiscard]] std::string_view name(ChangeKind kind) noexcept;

/// \brief One line: `added [section] key = new`, `removed [section] key = old` or `changed [section] key: old -> new`.
[[nodiscard]] std::string format(const Change& change);

/// \brief `[{"change","section","key","old","new"}]` with redacted values.
[[nodiscard]] nlohmann::ordered_json toJson(const Changes& changes);

} // namespace lagoontiller::document
