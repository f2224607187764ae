#pragma once

#include "document/Fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Maximum size of a text in bytes. A document of 780 VMs, 2,300 endpoints and 5,700 customers has about 2 MB.
inline constexpr std::size_t maxTextBytes = 8 * 1024 * 1024;

/// \brief Maximum length of a line in bytes, excluding the line break.
inline constexpr std::size_t maxLineBytes = 4096;

/// \brief Maximum length of a key in bytes; inih silently truncates longer keys.
inline constexpr std::size_t maxKeyBytes = 48;

/// \brief Maximum number of section headings in one text.
inline constexpr std::size_t maxSections = 50'000;

/// \brief Number of faults at which parsing stops, so that a binary file does not produce one fault per line.
inline constexpr std::size_t maxFaults = 1000;

struct IniEntry {
    std::string key;
    std::string value;
    int line = 0;
    int keyColumn = 0;
    int valueColumn = 0;
    [[nodiscard]] bool operator==(const IniEntry&) const = default;
};

struct IniSection {
    /// \brief First word of the heading, for example `vm`.
    std::string kind;
    /// \brief Rest of the heading; empty if the section has no name.
    std::string name;
    int line = 0;
    int column = 0;
    std::vector<IniEntry> entries;
    [[nodiscard]] std::string heading() const;
    [[nodiscard]] bool operator==(const IniSection&) const = default;
};

/// \brief Sections and entries of an INI text in source order. Duplicates are kept, so that `checkSchema` can report
/// them.
struct IniText {
    std::vector<IniSection> sections;
    /// \brief Syntax errors: exceeded size limits, invalid UTF-8, control characters, malformed headings and entries.
    Faults faults;
    [[nodiscard]] bool operator==(const IniText&) const = default;
};

/// \brief Parses INI text. Accepts arbitrary bytes; malformed entries are reported in `faults` and omitted.
[[nodiscard]] IniText readIni(std::string_view text);

/// \brief Returns the heading without brackets: the kind, followed by the name unless it is empty.
[[nodiscard]] std::string headingOf(std::string_view kind, std::string_view name);

} // namespace lagoontiller::document
