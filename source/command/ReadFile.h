#pragma once

#include "core/Error.h"

#include <string>

namespace lagoontiller::command {

/// \brief The bytes of a file; `-` stands for standard input. Reads at most one byte more than `maximumBytes`.
[[nodiscard]] core::Expected<std::string> readFile(const std::string& path, std::size_t maxBytes);

} // namespace lagoontiller::command
