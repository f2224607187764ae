#include "nodes/impl/CurveAuthenticator.h"

#include "core/Log.h"

#include <zmq_addon.hpp>

namespace lagoontiller::nodes {

namespace {

/// Frames of a ZAP request with the CURVE mechanism: delimiter-free REP side, RFC 27.
constexpr std::size_t FRAME_VERSION = 0;
constexpr std::size_t FRAME_REQUEST = 1;
constexpr std::size_t FRAME_MECHANISM = 5;
constexpr std::size_t FRAME_KEY = 6;
constexpr std::size_t FRAME_COUNT = 7;
constexpr std::size_t RAW_KEY_BYTES = 32;
constexpr std::size_t Z85_KEY_BYTES = 41;

std::string encodeKey(const zmq::message_t& raw)
{
    if (raw.size() != RAW_KEY_BYTES)
        return {};
    char text[Z85_KEY_BYTES];
    if (zmq_z85_encode(text, raw.data<std::uint8_t>(), raw.size()) == nullptr)
        return {};
    return text;
}

} // namespace

CurveAuthenticator::CurveAuthenticator(zmq::context_t& context, std::string publicKey, TransportCounts& counts)
    : requests(context, zmq::socket_type::rep)
    , publicKey(std::move(publicKey))
    , counts(&counts)
{
    this->requests.set(zmq::sockopt::linger, 0);
    this->requests.bind("inproc://zeromq.zap.01");
}

void CurveAuthenticator::answer()
{
    std::vector<zmq::message_t> frames;
    while (zmq::recv_multipart(this->requests, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
        const bool isCurve = frames.size() == FRAME_COUNT && frames[FRAME_MECHANISM].to_string_view() == "CURVE";
        const bool isAccepted = isCurve && encodeKey(frames[FRAME_KEY]) == this->publicKey;
        if (!isAccepted) {
            ++this->counts->refusedKeys;
            core::logWarning("node_key_refused").with("mechanism", isCurve ? "CURVE" : "other");
        }
        const std::string request = frames.size() > FRAME_REQUEST ? frames[FRAME_REQUEST].to_string() : std::string();
        const std::string version = frames.empty() ? "1.0" : frames[FRAME_VERSION].to_string();
        const std::vector<std::string> reply { version, request, isAccepted ? "200" : "400",
            isAccepted ? "OK" : "unknown key", isAccepted ? "deployment" : "", "" };
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const auto flags = index + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            this->requests.send(zmq::buffer(reply[index]), flags);
        }
        frames.clear();
    }
}

} // namespace lagoontiller::nodes
