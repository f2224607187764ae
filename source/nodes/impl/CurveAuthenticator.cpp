#include "nodes/impl/CurveAuthenticator.h"

#include "core/Log.h"

#include <zmq_addon.hpp>

namespace lagoontiller::nodes {

namespace {

/// Frames of a ZAP request with the CURVE mechanism: delimiter-free REP side, RFC 27.
constexpr std::size_t frameVersion = 0;
constexpr std::size_t frameRequest = 1;
constexpr std::size_t frameMechanism = 5;
constexpr std::size_t frameKey = 6;
constexpr std::size_t frameCount = 7;
constexpr std::size_t rawKeyBytes = 32;
constexpr std::size_t z85KeyBytes = 41;

std::string encodeKey(const zmq::message_t& raw)
{
    if (raw.size() != rawKeyBytes)
        return {};
    char text[z85KeyBytes];
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
        const bool isCurve = frames.size() == frameCount && frames[frameMechanism].to_string_view() == "CURVE";
        const bool isAccepted = isCurve && encodeKey(frames[frameKey]) == this->publicKey;
        if (!isAccepted) {
            ++this->counts->refusedKeys;
            core::logWarning("node_key_refused").with("mechanism", isCurve ? "CURVE" : "other");
        }
        const std::string request = frames.size() > frameRequest ? frames[frameRequest].to_string() : std::string();
        const std::string version = frames.empty() ? "1.0" : frames[frameVersion].to_string();
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
