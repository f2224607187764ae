#include "nodes/DocumentSections.h"

namespace lagoontiller::nodes {

namespace {

std::string parseHeader(std::string_view line)
{
    const auto end = line.find(']');
    return std::string(line.substr(1, end == std::string_view::npos ? end : end - 1));
}

} // namespace

DocumentSections::DocumentSections(std::string_view text)
{
    std::string header;
    while (!text.empty()) {
        const auto lineEnd = text.find('\n');
        const auto line = text.substr(0, lineEnd);
        if (line.starts_with('['))
            header = parseHeader(line);
        auto& section = this->sections[header];
        section.append(line);
        section.push_back('\n');
        text.remove_prefix(lineEnd == std::string_view::npos ? text.size() : lineEnd + 1);
    }
}

std::string DocumentSections::canonicalText() const
{
    std::string text;
    for (const auto& [header, section] : this->sections)
        text += section;
    return text;
}

const std::string* DocumentSections::find(const std::string& header) const
{
    const auto found = this->sections.find(header);
    return found == this->sections.end() ? nullptr : &found->second;
}

void DocumentSections::replace(const std::string& header, std::string text)
{
    this->sections.insert_or_assign(header, std::move(text));
}

void DocumentSections::remove(const std::string& header)
{
    this->sections.erase(header);
}

std::set<std::string> DocumentSections::changedHeadersSince(const DocumentSections& earlier) const
{
    std::set<std::string> changed;
    for (const auto& [header, text] : this->sections) {
        const auto* before = earlier.find(header);
        if (before == nullptr || *before != text)
            changed.insert(header);
    }
    for (const auto& [header, text] : earlier.sections) {
        if (this->find(header) == nullptr)
            changed.insert(header);
    }
    return changed;
}

} // namespace lagoontiller::nodes
