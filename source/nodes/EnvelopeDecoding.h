#pragma once

#include "proto/nodes.pb.h"

#include <cstddef>
#include <optional>

namespace lagoontiller::nodes {

/// \brief Largest frame that is sent or accepted.
constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;

/// \brief Decodes a frame; empty when it is over the limit, not an envelope, without a body, or its sender's name is
/// missing or longer than maxNameBytes.
[[nodiscard]] std::optional<wire::Envelope> decodeEnvelope(const void* bytes, std::size_t size);

} // namespace lagoontiller::nodes
