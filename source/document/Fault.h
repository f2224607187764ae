#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

/// \brief One fault of an INI text. Lines and columns are 1-based; columns count characters, not bytes.
struct Fault {
    int line = 0;
    int column = 0;
    /// \brief Heading without brackets, for example `vm reykjavik-1`; empty before the first heading.
    std::string section;
    /// \brief Empty when the fault concerns the whole section or line.
    std::string key;
    std::string problem;
    /// \brief What would be accepted; empty when the problem says it.
    std::string allowed;
    /// \brief Nearest accepted name; empty when none is near.
    std::string hint;
    [[nodiscard]] bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

/// \brief `<file>:<line>:<column>: [section] key: problem; allowed: …; did you mean "…"?`
[[nodiscard]] std::string format(const Fault& fault, std::string_view file);

/// \brief Orders faults by position, then by wording.
void sortByPosition(Faults& faults);

} // namespace lagoontiller::document
