#pragma once

#include "core/Log.h"

namespace lagoontiller::settings {

/// \brief Level of a checked word of the settings.
[[nodiscard]] core::LogLevel parseLogLevel(const std::string& text);

} // namespace lagoontiller::settings
