#pragma once

#include "operators/Html.h"

#include <string>
#include <vector>

namespace lagoontiller::operators {

/// \brief One table cell. The caller builds its content as escaped HTML.
struct Cell {
    Html content;
    /// \brief CSS class; empty for none.
    std::string cssClass {};
};

[[nodiscard]] Cell textCell(std::string_view text, std::string cssClass = {});
[[nodiscard]] Cell numberCell(double number);

/// \brief Renders a table. On narrow screens the style sheet shows each row as a block of lines labelled with the
/// column headers.
[[nodiscard]] Html table(const std::vector<std::string>& headers, const std::vector<std::vector<Cell>>& rows);

/// \brief Formats an integer without decimals and any other number with at most two.
[[nodiscard]] std::string formatNumber(double number);

} // namespace lagoontiller::operators
