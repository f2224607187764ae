#pragma once

#include "operators/Html.h"

#include <string>
#include <vector>

namespace lagoontiller::operators {

/// \brief One cell; the content is escaped HTML built by the caller.
struct Cell {
    Html content;
    /// \brief CSS class; empty for none.
    std::string cssClass {};
};

[[nodiscard]] Cell textCell(std::string_view text, std::string cssClass = {});
[[nodiscard]] Cell numberCell(double number);

/// \brief A table whose rows become blocks with named lines on narrow screens.
[[nodiscard]] Html table(const std::vector<std::string>& headers, const std::vector<std::vector<Cell>>& rows);

/// \brief A whole number without decimals, otherwise with at most two.
[[nodiscard]] std::string formatNumber(double number);

} // namespace lagoontiller::operators
