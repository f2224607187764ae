#include "document/Fault.h"

#include <algorithm>
#include <tuple>

namespace lagoontiller::document {

std::string format(const Fault& fault, std::string_view file)
{
    std::string text(file);
    text += ':' + std::to_string(fault.line) + ':' + std::to_string(fault.column) + ": ";
    if (!fault.section.empty())
        text += '[' + fault.section + "] ";
    if (!fault.key.empty())
        text += fault.key + ": ";
    text += fault.problem;
    if (!fault.allowed.empty())
        text += "; allowed: " + fault.allowed;
    if (!fault.hint.empty())
        text += "; did you mean \"" + fault.hint + "\"?";
    return text;
}

void sortByPosition(Faults& faults)
{
    const auto order = [](const Fault& fault) { return std::tie(fault.line, fault.column, fault.problem); };
    std::stable_sort(faults.begin(), faults.end(),
        [&order](const Fault& left, const Fault& right) { return order(left) < order(right); });
}

} // namespace lagoontiller::document
