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
    /// \brief Values as written, also faulty ones. An absent key has its default.
    std::map<std::string, std::string, std::less<>> values;

    [[nodiscard]] const std::string& value(std::string_view key) const;
    [[nodiscard]] std::string heading() const;
    [[nodiscard]] bool operator==(const DraftSection&) const = default;
};

/// \brief A document being edited. It may have faults, and is carried in the form from page to page.
struct Draft {
    /// \brief Version that the operator started from; acceptance is conditional on it.
    document::DocumentVersion baseVersion = 0;
    std::vector<DraftSection> sections;
    [[nodiscard]] bool operator==(const Draft&) const = default;
};

/// \brief The sections of a document text, in the order of the schema. Comments are left out. Faults of the form of the
/// text and duplicate keys are appended to `faults`; they concern lines that the draft does not hold.
[[nodiscard]] Draft parseDraft(std::string_view text, document::DocumentVersion baseVersion, document::Faults& faults);

/// \brief A draft with one section of each kind that must occur, for the first document.
[[nodiscard]] Draft initialDraft();

/// \brief The draft as document text.
[[nodiscard]] std::string formatDraft(const Draft& draft);

/// \brief Lossless form for the hidden field.
[[nodiscard]] std::string encodeDraft(const Draft& draft);
/// \brief Error: InvalidField when the text is not what `encodeDraft` writes.
[[nodiscard]] core::Expected<Draft> decodeDraft(std::string_view text);

/// \brief Takes over the fields `<index>:name` and `<index>.<key>` of a form. An emptied field removes the key, but an
/// empty field of a shortened key keeps the value, because the form does not show it.
void applyFields(Draft& draft, const FormData& form);

/// \brief Adds an empty section and returns its index.
std::size_t addSection(Draft& draft, std::string_view kind);

/// \brief Faults of a draft by the section that has them.
struct DraftFaults {
    std::map<std::size_t, document::Faults> bySection;
    /// \brief Faults without a section of their own, such as a missing section.
    document::Faults general;

    [[nodiscard]] bool isEmpty() const noexcept { return this->bySection.empty() && this->general.empty(); }
    [[nodiscard]] std::size_t count() const noexcept;
};

[[nodiscard]] DraftFaults checkDraft(const Draft& draft);

/// \brief Whether sections of this kind have a name.
[[nodiscard]] bool isNamed(const document::SectionRule& rule) noexcept;

} // namespace lagoontiller::operators
