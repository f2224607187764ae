#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lagoontiller::nodes::support {

/// \brief Feeds a sequence of length-prefixed frames to envelope decoding and all state machines of a node.
///
/// Each frame is two bytes of length (big endian), one byte of elapsed time in units of 100 ms, and the envelope.
/// Aborts when an invariant does not hold: versions that fall, more streams than frames, a message without receiver.
void runEnvelopeInput(std::span<const std::uint8_t> input);

/// \brief Inputs with one valid frame of each message kind and some damaged ones; the start of the fuzzer's corpus.
[[nodiscard]] std::vector<std::string> makeEnvelopeCorpus();

} // namespace lagoontiller::nodes::support
