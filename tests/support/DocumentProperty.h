#pragma once

#include "document/Check.h"
#include "settings/Settings.h"

#include <algorithm>
#include <string_view>

namespace lagoontiller::support {

/// \brief Whether any bytes are either refused with faults that lie in the text, or make a document that is equal after
/// printing and parsing. Shared by the fuzzer and the bounded test.
[[nodiscard]] inline bool holdsForBytes(std::string_view bytes)
{
    const auto lines = 1 + static_cast<int>(std::count(bytes.begin(), bytes.end(), '\n'));
    const auto lies = [lines](const document::Fault& fault) {
        return fault.line >= 1 && fault.line <= lines && fault.column >= 1 && !fault.problem.empty();
    };
    const auto parsed = document::parse(bytes);
    const auto settings = settings::parse(bytes);
    const bool placed = std::all_of(parsed.faults.begin(), parsed.faults.end(), lies)
        && std::all_of(settings.faults.begin(), settings.faults.end(), lies);
    const bool decided = parsed.faults.empty() == (parsed.document != nullptr)
        && settings.faults.empty() == (settings.settings != nullptr);
    if (!placed || !decided)
        return false;
    if (parsed.document == nullptr)
        return true;
    const auto again = document::parse(document::print(*parsed.document));
    return again.document != nullptr && *again.document == *parsed.document;
}

} // namespace lagoontiller::support
