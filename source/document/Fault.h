#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief One error in an INI text. Lines and columns are 1-based; columns count characters, not bytes.
struct Fault {
    int line = 0;
    int column = 0;
    /// \brief Section heading without brackets, for example `vm reykjavik-1`; empty before the first heading.
    std::string section;
    /// \brief Empty if the fault concerns the whole section or line.
    std::string key;
    std::string problem;
    /// \brief Description of valid input; empty if `problem` already implies it.
    std::string allowed;
    /// \brief Suggested correction: the most similar valid name; empty if no name is similar enough.
    std::string hint;
    [[nodiscard]] bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

/// \brief `<file>:<line>:<column>: [section] key: problem; allowed: …; did you mean "…"?`
[[nodiscard]] std::string format(const Fault& fault, std::string_view file);

/// \brief Sorts faults by line, column and problem text.
void sortByPosition(Faults& faults);

} // namespace lagoontiller::document
