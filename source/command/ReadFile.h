#pragma once

#include "core/Error.h"

#include <string>

namespace lagoontiller::command {

/// \brief Returns the content of a file, or of standard input if the path is `-`.
///
/// Reads at most `maxBytes` + 1 bytes, so that the caller can detect a file that is too large. Error: FileUnreadable.
[[nodiscard]] core::Expected<std::string> readFile(const std::string& path, std::size_t maxBytes);

} // namespace lagoontiller::command
