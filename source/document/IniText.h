#pragma once

#include "document/Fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief Largest accepted text in bytes. A document of 780 VMs, 2,300 endpoints and 5,700 customers has about 2 MB.
inline constexpr std::size_t maxTextBytes = 8 * 1024 * 1024;

/// \brief Largest accepted line in bytes, without its line break.
inline constexpr std::size_t maxLineBytes = 4096;

/// \brief Largest accepted key in bytes; inih silently truncates longer ones.
inline constexpr std::size_t maxKeyBytes = 48;

/// \brief Largest number of headings in one text.
inline constexpr std::size_t maxSections = 50'000;

/// \brief Reading stops after this many faults, so that a binary file does not yield one fault per line.
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
    /// \brief Rest of the heading; empty in sections without a name.
    std::string name;
    int line = 0;
    int column = 0;
    std::vector<IniEntry> entries;
    [[nodiscard]] std::string heading() const;
    [[nodiscard]] bool operator==(const IniSection&) const = default;
};

/// \brief Sections and keys of an INI text in text order. Duplicates are kept, so that the check can report them.
struct IniText {
    std::vector<IniSection> sections;
    /// \brief Faults of the form of the text: bounds, UTF-8, malformed headings and lines.
    Faults faults;
    [[nodiscard]] bool operator==(const IniText&) const = default;
};

/// \brief Reads any bytes. Lines with a fault are left out of the sections.
[[nodiscard]] IniText readIni(std::string_view text);

/// \brief Heading of a kind and name without brackets.
[[nodiscard]] std::string headingOf(std::string_view kind, std::string_view name);

} // namespace lagoontiller::document
