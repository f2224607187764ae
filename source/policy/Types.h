#pragma once

#include "core/Time.h"

#include <cstdint>
#include <random>

namespace lagoontiller::policy {

/// \brief Pseudo-random generator for randomised decisions; the caller owns and seeds it.
using Random = std::mt19937_64;

/// \brief Index of an endpoint in `EndpointTable`; never reused for an endpoint of another name.
using EndpointId = std::uint32_t;
/// \brief Index of a service in `EndpointTable`.
using ServiceId = std::uint32_t;
/// \brief Identifier of a call or, in `Router`, of one attempt of a call; unique on this node.
using CallId = std::uint64_t;
/// \brief Hash that identifies the prompt prefix of a program (or a shared prompt) in the KV caches; 0 means none.
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

/// \brief Returns whether the failure means that the endpoint process, and with it its KV cache, is lost.
[[nodiscard]] constexpr bool isEndpointLoss(FailureKind kind) noexcept
{
    return kind == FailureKind::ConnectionRefused || kind == FailureKind::Crashed;
}

/// \brief Returns a uniformly distributed number in [0, 1).
[[nodiscard]] inline double uniform(Random& random) noexcept
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// \brief Returns a uniformly distributed index below `size`. `size` must be above 0 and below 2^32.
[[nodiscard]] inline std::size_t uniformIndex(Random& random, std::size_t size) noexcept
{
    return ((random() >> 32U) * size) >> 32U;
}

[[nodiscard]] constexpr double microseconds(core::Duration duration) noexcept
{
    return static_cast<double>(duration.count());
}

} // namespace lagoontiller::policy
