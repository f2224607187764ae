#pragma once

#include "core/Time.h"

#include <asio/io_context.hpp>
#include <functional>
#include <string>

namespace lagoontiller::transport {

enum class ProbeResult : int {
    /// \brief The connection was established and stayed open: a process listens at the address.
    Accepted,
    /// \brief The connection was refused, or closed at once as by a proxy whose target is gone.
    Refused,
    /// \brief Nothing was heard in time, or the connection could not be tried. Says nothing about the process.
    Unanswered,
};

struct ProbeLimits {
    core::Duration connectTimeout {};
    /// \brief Time for which an established connection has to stay open.
    core::Duration openTime {};
    [[nodiscard]] bool operator==(const ProbeLimits&) const = default;
};

/// \brief Opens a connection to `address` (IP:port), sends nothing, and reports the result once. Never calls `done`
/// before it returns.
void probeAddress(asio::io_context& context, const std::string& address, const ProbeLimits& limits,
    std::function<void(ProbeResult)> done);

} // namespace lagoontiller::transport
