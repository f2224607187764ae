#pragma once

#include "core/Log.h"

namespace lagoontiller::settings {

/// \brief Returns the level with this name. Throws `std::out_of_range` if the name was not validated.
[[nodiscard]] core::LogLevel parseLogLevel(const std::string& text);

} // namespace lagoontiller::settings
