#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace lagoontiller::nodes {

/// \brief A document split at its INI headers.
///
/// A section starts at a line whose first character is `[`; its text includes that line and ends before the next such
/// line, so a comment above a header belongs to the section before it. Text before the first header is the section with
/// an empty header. Sections with the same header are joined in their order. The canonical text is all sections in
/// ascending byte order of their headers, each ended by a line break; digests are taken over it.
class DocumentSections {
public:
    DocumentSections() = default;
    explicit DocumentSections(std::string_view text);

    [[nodiscard]] bool operator==(const DocumentSections&) const = default;

    [[nodiscard]] std::string canonicalText() const;
    /// \brief Text of a section; nullptr when there is none.
    [[nodiscard]] const std::string* find(const std::string& header) const;
    void replace(const std::string& header, std::string text);
    void remove(const std::string& header);

    /// \brief Headers of sections that differ from `earlier`, those removed included.
    [[nodiscard]] std::set<std::string> changedHeadersSince(const DocumentSections& earlier) const;

private:
    std::map<std::string, std::string> sections;
};

} // namespace lagoontiller::nodes
