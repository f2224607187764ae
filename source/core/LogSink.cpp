#include "core/LogSink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace lagoontiller::core {

namespace {

/// \brief Holds the log lines of a busy node for some seconds; lines are dropped if the reader falls further behind.
constexpr std::size_t maxPendingBytes = 512 * 1'024;

/// \brief A pipe that `poll` reports as writable accepts a block of this size without blocking (POSIX).
constexpr std::size_t writeBlockBytes = PIPE_BUF;

} // namespace

void LogSink::consume(const boost::log::record_view&, const std::string& line)
{
    if (this->pending.size() + line.size() + 1 > maxPendingBytes) {
        ++this->dropped;
        return;
    }
    if (this->dropped > 0) {
        this->pending += "event=log_lines_dropped count=" + std::to_string(this->dropped) + "\n";
        this->dropped = 0;
    }
    this->pending.append(line).append("\n");
    if (!this->buffered || this->pending.size() >= writeBlockBytes)
        this->flush();
}

void LogSink::flush()
{
    std::size_t used = 0;
    while (used < this->pending.size()) {
        pollfd pollRequest { this->descriptor, POLLOUT, 0 };
        if (::poll(&pollRequest, 1, 0) != 1 || (pollRequest.revents & POLLOUT) == 0)
            break;
        const auto size = std::min(writeBlockBytes, this->pending.size() - used);
        const auto written = ::write(this->descriptor, this->pending.data() + used, size);
        if (written <= 0)
            break;
        used += static_cast<std::size_t>(written);
    }
    this->pending.erase(0, used);
}

} // namespace lagoontiller::core
