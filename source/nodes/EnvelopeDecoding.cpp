#include "nodes/EnvelopeDecoding.h"

#include "nodes/Member.h"

namespace lagoontiller::nodes {

std::optional<wire::Envelope> decodeEnvelope(const void* bytes, std::size_t size)
{
    wire::Envelope envelope;
    if (size > maxFrameBytes || !envelope.ParseFromArray(bytes, static_cast<int>(size)))
        return std::nullopt;
    if (envelope.sender().empty() || envelope.sender().size() > maxNameBytes)
        return std::nullopt;
    if (envelope.body_case() == wire::Envelope::BODY_NOT_SET)
        return std::nullopt;
    return envelope;
}

} // namespace lagoontiller::nodes
