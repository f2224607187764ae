#pragma once

#include "operators/Html.h"

#include <nlohmann/json_fwd.hpp>

namespace lagoontiller::operators {

/// \brief Renders the status of a node (`control::nodeStatus`). Missing members are shown as empty.
[[nodiscard]] Html statusPage(const nlohmann::json& status);

} // namespace lagoontiller::operators
