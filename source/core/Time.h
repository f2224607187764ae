#pragma once

#include <chrono>
#include <ctime>

namespace lagoontiller::core {

/// \brief Duration with a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// \brief Monotonic time, passed as `now` to every function whose decisions depend on time. Not comparable between
/// processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Reads the monotonic clock. Only the runtime calls this; decision functions receive the time as an argument.
[[nodiscard]] inline TimePoint monotonicNow() noexcept
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// \brief Clock that also counts the time for which the machine was suspended (CLOCK_BOOTTIME), for permissions that
/// must end meanwhile. The steady clock stops then.
struct BootClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, Duration>;

    [[nodiscard]] static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec)
            + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
    }
};

using BootTimePoint = BootClock::time_point;

/// \brief Milliseconds since the Unix epoch, for log lines and records.
[[nodiscard]] inline std::int64_t unixMilliseconds() noexcept
{
    using std::chrono::system_clock;
    return std::chrono::duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace lagoontiller::core
