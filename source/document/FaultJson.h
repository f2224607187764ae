#pragma once

#include "document/Fault.h"

#include <nlohmann/json_fwd.hpp>

namespace lagoontiller::document {

/// \brief `[{"line","column","section","key","problem","allowed","hint"}]`.
[[nodiscard]] nlohmann::ordered_json toJson(const Faults& faults);

} // namespace lagoontiller::document
