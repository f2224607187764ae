#pragma once

#include "core/Error.h"

#include <string>

namespace lagoontiller::command {

/// \brief Returns the content of a file, or of standard input if the path is `-`.
///
/// Reads at most `maxBytes` + 1 bytes, so that the caller can detect a file that is too large. Error: FileUnreadable.
[[nodiscard]] core::Expected<std::string> readFile(const std::string& path, std::size_t maxBytes);

/// \brief Returns the key in a file of at most 4 KiB, or in standard input if the path is `-`, without the blanks
/// around it. Error: FileUnreadable.
[[nodiscard]] core::Expected<std::string> readKeyFile(const std::string& path);

/// \brief Returns the text without the blanks and line breaks around it.
[[nodiscard]] std::string trim(const std::string& text);

} // namespace lagoontiller::command
