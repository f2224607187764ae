#pragma once

#include "operators/Html.h"

#include <nlohmann/json_fwd.hpp>

namespace lagoontiller::operators {

/// \brief The status of a node (`control::nodeStatus`) as a page. Absent parts are shown as empty.
[[nodiscard]] Html statusPage(const nlohmann::json& status);

} // namespace lagoontiller::operators
