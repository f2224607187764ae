#pragma once

#include "core/Time.h"

#include <cstdint>
#include <random>

namespace lagoontiller::policy {

/// \brief Generator passed to randomised decisions; the caller owns and seeds it.
using Random = std::mt19937_64;

/// \brief Index of an endpoint in `EndpointTable`; never reused for another name.
using EndpointId = std::uint32_t;
/// \brief Index of a service in `EndpointTable`.
using ServiceId = std::uint32_t;
/// \brief Local number of one attempt of a call.
using CallId = std::uint64_t;
/// \brief Hash of the program (or shared prompt) whose prefix an engine may hold; 0 means none.
using PrefixKey = std::uint64_t;

enum class EndpointState : int {
    Live,
    Leaving,
    Gone,
};

enum class FailureKind : int {
    ConnectionRefused,
    Crashed,
    Silent,
    TimedOut,
    ServerError,
    Overloaded,
    Cancelled,
};

/// \brief Whether the failure means that the endpoint process, and with it its cache, is lost.
[[nodiscard]] constexpr bool isEndpointLoss(FailureKind kind) noexcept
{
    return kind == FailureKind::ConnectionRefused || kind == FailureKind::Crashed;
}

/// \brief Uniform number in [0, 1).
[[nodiscard]] inline double uniform(Random& random) noexcept
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// \brief Uniform index below `size`; `size` must be above 0 and below 2^32.
[[nodiscard]] inline std::size_t uniformIndex(Random& random, std::size_t size) noexcept
{
    return ((random() >> 32U) * size) >> 32U;
}

[[nodiscard]] constexpr double microseconds(core::Duration duration) noexcept
{
    return static_cast<double>(duration.count());
}

} // namespace lagoontiller::policy
