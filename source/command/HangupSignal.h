#pragma once

namespace lagoontiller::command {

/// \brief Keeps SIGHUP pending until `unblockHangup`. Its default action would end a process that has not yet installed
/// its handler, although the signal only asks to read the settings again. Must be called before the first thread
/// starts.
void blockHangup() noexcept;
/// \brief Delivers a pending SIGHUP; call it once the handler is installed. Also undoes a block by the parent process.
void unblockHangup() noexcept;

} // namespace lagoontiller::command
