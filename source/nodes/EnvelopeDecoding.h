#pragma once

#include "proto/nodes.pb.h"

#include <cstddef>
#include <optional>

namespace lagoontiller::nodes {

/// \brief Size of the largest frame that is sent or accepted.
constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;

/// \brief Decodes a frame. Returns nothing if the frame is larger than maxFrameBytes, is not a valid envelope or has no
/// body, or if the sender's name is missing or longer than maxNameBytes.
[[nodiscard]] std::optional<wire::Envelope> decodeEnvelope(const void* bytes, std::size_t size);

} // namespace lagoontiller::nodes
