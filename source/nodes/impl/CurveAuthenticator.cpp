#include "nodes/impl/CurveAuthenticator.h"

#include "core/Log.h"

#include <zmq_addon.hpp>

namespace lagoontiller::nodes {

namespace {

/// Frames of a ZAP request with the CURVE mechanism (RFC 27), without the delimiter, which the REP socket removes.
constexpr std::size_t versionFrame = 0;
constexpr std::size_t requestIdFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t keyFrame = 6;
constexpr std::size_t requestFrameCount = 7;
constexpr std::size_t rawKeyBytes = 32;
constexpr std::size_t z85BufferBytes = 41;

std::string encodeKey(const zmq::message_t& raw)
{
    if (raw.size() != rawKeyBytes)
        return {};
    char text[z85BufferBytes];
    if (zmq_z85_encode(text, raw.data<std::uint8_t>(), raw.size()) == nullptr)
        return {};
    return text;
}

} // namespace

CurveAuthenticator::CurveAuthenticator(zmq::context_t& context, std::string publicKey, TransportCounts& counts)
    : zapSocket(context, zmq::socket_type::rep)
    , publicKey(std::move(publicKey))
    , counts(&counts)
{
    this->zapSocket.set(zmq::sockopt::linger, 0);
    this->zapSocket.bind("inproc://zeromq.zap.01");
}

void CurveAuthenticator::answerRequests()
{
    std::vector<zmq::message_t> frames;
    while (zmq::recv_multipart(this->zapSocket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
        const bool isCurve = frames.size() == requestFrameCount && frames[mechanismFrame].to_string_view() == "CURVE";
        const bool isAccepted = isCurve && encodeKey(frames[keyFrame]) == this->publicKey;
        if (!isAccepted) {
            ++this->counts->refusedKeys;
            core::logWarning("node_key_refused").with("mechanism", isCurve ? "CURVE" : "other");
        }
        const std::string request = frames.size() > requestIdFrame ? frames[requestIdFrame].to_string() : std::string();
        const std::string version = frames.empty() ? "1.0" : frames[versionFrame].to_string();
        const std::vector<std::string> reply { version, request, isAccepted ? "200" : "400",
            isAccepted ? "OK" : "unknown key", isAccepted ? "deployment" : "", "" };
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const auto flags = index + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            this->zapSocket.send(zmq::buffer(reply[index]), flags);
        }
        frames.clear();
    }
}

} // namespace lagoontiller::nodes
