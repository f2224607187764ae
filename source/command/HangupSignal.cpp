#include "command/HangupSignal.h"

#include <csignal>

namespace lagoontiller::command {

namespace {

/// \brief `operation` is SIG_BLOCK or SIG_UNBLOCK, for which pthread_sigmask cannot fail.
void changeMask(int operation) noexcept
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(operation, &signals, nullptr);
}

} // namespace

void blockHangup() noexcept
{
    changeMask(SIG_BLOCK);
}

void unblockHangup() noexcept
{
    changeMask(SIG_UNBLOCK);
}

} // namespace lagoontiller::command
