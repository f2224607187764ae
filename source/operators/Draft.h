#pragma once

#include "core/Error.h"
#include "document/Document.h"
#include "document/Schema.h"
#include "document/VersionRow.h"
#include "operators/FormData.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::operators {

struct DraftSection {
    std::string kind;
    std::string name;
    /// \brief Values as entered, including invalid ones. A missing key has its default value.
    std::map<std::string, std::string, std::less<>> values;

    /// \brief Value of the key; empty when the key is missing.
    [[nodiscard]] const std::string& value(std::string_view key) const;
    [[nodiscard]] std::string heading() const;
    [[nodiscard]] bool operator==(const DraftSection&) const = default;
};

/// \brief A document that is being edited. It may have faults. Hidden form fields pass it from page to page.
struct Draft {
    /// \brief Version that the operator started from, 0 for none. The draft can only be accepted while this version is
    /// the newest.
    document::DocumentVersion baseVersion = 0;
    std::vector<DraftSection> sections;
    [[nodiscard]] bool operator==(const Draft&) const = default;
};

/// \brief Parses a document text into a draft with its sections in schema order. Comments are dropped. Syntax errors
/// and duplicate keys are appended to `faults`; the draft does not contain the lines concerned.
[[nodiscard]] Draft parseDraft(std::string_view text, document::DocumentVersion baseVersion, document::Faults& faults);

/// \brief Draft for the first document: one empty section of each required kind.
[[nodiscard]] Draft initialDraft();

/// \brief Prints the draft as document text, without empty values.
[[nodiscard]] std::string formatDraft(const Draft& draft);

/// \brief Encodes the draft as JSON for a hidden form field.
[[nodiscard]] std::string encodeDraft(const Draft& draft);
/// \brief Decodes the output of `encodeDraft`. Returns InvalidField for any other text.
[[nodiscard]] core::Expected<Draft> decodeDraft(std::string_view text);

/// \brief Copies the form fields `<index>:name` and `<index>.<key>` into the draft. An empty field removes the key,
/// except for keys that the form shows shortened: there it keeps the value. Unknown indexes and keys are ignored.
void applyFields(Draft& draft, const FormData& form);

/// \brief Inserts an empty section after the existing ones of its kind and returns its index.
std::size_t addSection(Draft& draft, std::string_view kind);

/// \brief Faults of a draft, grouped by section index.
struct DraftFaults {
    std::map<std::size_t, document::Faults> bySection;
    /// \brief Faults that belong to no section of the draft, such as a missing section.
    document::Faults general;

    [[nodiscard]] bool isEmpty() const noexcept { return this->bySection.empty() && this->general.empty(); }
    [[nodiscard]] std::size_t count() const noexcept;
};

/// \brief Checks the draft against the document rules, and for values that the document syntax would truncate.
[[nodiscard]] DraftFaults checkDraft(const Draft& draft);

/// \brief Whether sections of this kind have a name.
[[nodiscard]] bool isNamed(const document::SectionRule& rule) noexcept;

} // namespace lagoontiller::operators
