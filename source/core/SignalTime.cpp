#include "core/SignalTime.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>

namespace lagoontiller::core {

namespace {

using Handler = void (*)(int);

struct RecordedSignal {
    /// \brief Microseconds of the monotonic clock; 0 before the first delivery.
    std::atomic<std::int64_t> deliveredAtUs { 0 };
    std::atomic<Handler> handler { nullptr };
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free && std::atomic<Handler>::is_always_lock_free,
    "a signal handler must not wait for a lock");

std::array<RecordedSignal, NSIG> recordedSignals;

void recordDelivery(int signal)
{
    const int savedError = errno;
    auto& recorded = recordedSignals.at(static_cast<std::size_t>(signal));
    std::int64_t none = 0;
    recorded.deliveredAtUs.compare_exchange_strong(none, monotonicNow().time_since_epoch().count());
    if (const auto handler = recorded.handler.load())
        handler(signal);
    errno = savedError;
}

} // namespace

void recordSignalTime(int signal) noexcept
{
    auto& recorded = recordedSignals.at(static_cast<std::size_t>(signal));
    struct sigaction action { };
    if (sigaction(signal, nullptr, &action) != 0 || (action.sa_flags & SA_SIGINFO) != 0
        || action.sa_handler == &recordDelivery)
        return;
    const auto handler = action.sa_handler;
    recorded.handler.store(handler == SIG_DFL || handler == SIG_IGN ? nullptr : handler);
    recorded.deliveredAtUs.store(0);
    action.sa_handler = &recordDelivery;
    sigaction(signal, &action, nullptr);
}

std::optional<TimePoint> signalTime(int signal) noexcept
{
    const auto at = recordedSignals.at(static_cast<std::size_t>(signal)).deliveredAtUs.load();
    return at == 0 ? std::nullopt : std::optional(TimePoint(Duration(at)));
}

} // namespace lagoontiller::core
