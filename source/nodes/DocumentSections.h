#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace lagoontiller::nodes {

/// \brief An operator document split into sections at its INI headers.
///
/// A section starts at a line whose first character is `[`. Its text includes that line and ends before the next such
/// line, so a comment above a header belongs to the preceding section. Text before the first header forms the section
/// with an empty header. Sections with the same header are concatenated in their order. The canonical text consists of
/// all sections in ascending byte order of their headers, each terminated by a line break; digests are computed over
/// it.
class DocumentSections {
public:
    DocumentSections() = default;
    explicit DocumentSections(std::string_view text);

    [[nodiscard]] bool operator==(const DocumentSections&) const = default;

    [[nodiscard]] std::string canonicalText() const;
    /// \brief Returns the text of a section, or nullptr if there is no section with this header.
    [[nodiscard]] const std::string* find(const std::string& header) const;
    void replace(const std::string& header, std::string text);
    void remove(const std::string& header);

    /// \brief Returns the headers of the sections that were added, changed or removed since `earlier`.
    [[nodiscard]] std::set<std::string> changedHeadersSince(const DocumentSections& earlier) const;

private:
    std::map<std::string, std::string> sections;
};

} // namespace lagoontiller::nodes
