#include "gateway/PeerClient.h"

#include "core/Log.h"
#include "proto/gateway.pb.h"

namespace lagoontiller::gateway {

namespace {

/// \brief Time-outs for peers of the same zone; a multiple of their response time (1 ms, or 10 ms with a store call).
constexpr core::Duration connectTimeout = std::chrono::milliseconds(150);
constexpr core::Duration responseTimeout = std::chrono::milliseconds(300);
/// \brief Peers do not announce a keep-alive time-out; their servers close idle connections after one minute.
constexpr core::Duration maxIdleTime = std::chrono::seconds(30);
/// \brief Time for which a peer that did not respond is not used.
constexpr core::Duration suspectDuration = std::chrono::milliseconds(1'000);

} // namespace

void PeerClient::send(const std::string& peer, const wire::PeerRequest& request, ResponseHandler done)
{
    const auto body = request.SerializeAsString();
    transport::ExchangeOptions options;
    options.echoFieldName = exchangeField;
    options.echoFieldValue = std::to_string(++this->lastMessage);
    options.echoIsOptional = true;
    std::string text = "POST /peer HTTP/1.1\r\n";
    transport::appendField(text, "Host", peer);
    transport::appendField(text, exchangeField, options.echoFieldValue);
    transport::appendField(text, "Content-Length", std::to_string(body.size()));
    text.append("\r\n");
    options.connectTimeout = connectTimeout;
    options.maxIdleTime = maxIdleTime;
    options.responseTimeout = responseTimeout;
    auto answer = std::make_shared<std::string>();
    auto status = std::make_shared<int>(0);
    transport::ExchangeEvents events;
    events.head = [status](transport::ResponseHead&& head) { *status = head.status; };
    events.body = [answer](std::string&& bytes) { answer->append(bytes); };
    events.ended = [this, peer, status, answer, done = std::move(done)](transport::ExchangeEnd end) {
        wire::PeerResponse response;
        if (end == transport::ExchangeEnd::Complete && *status == 200 && response.ParseFromString(*answer)) {
            done(&response);
            return;
        }
        core::logWarning("peer_not_answering").with("peer", peer).with("status", *status);
        this->suspectUntil[peer] = core::monotonicNow() + suspectDuration;
        done(nullptr);
    };
    this->pool.send(peer, text + body, std::move(options), std::move(events));
}

bool PeerClient::isSuspected(const std::string& peer, core::TimePoint now) const
{
    const auto found = this->suspectUntil.find(peer);
    return found != this->suspectUntil.end() && found->second > now;
}

} // namespace lagoontiller::gateway
