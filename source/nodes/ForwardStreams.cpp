#include "nodes/ForwardStreams.h"

namespace lagoontiller::nodes {

namespace {

SendMessage messageTo(const std::string& peer)
{
    return SendMessage { peer, {}, {} };
}

SendMessage makeCancelMessage(const StreamKey& key)
{
    auto message = messageTo(key.peer);
    message.envelope.mutable_forward_cancel()->set_stream(key.stream);
    return message;
}

SendMessage makeEndMessage(const StreamKey& key, bool complete, std::uint64_t sequence)
{
    auto message = messageTo(key.peer);
    auto& end = *message.envelope.mutable_forward_end();
    end.set_stream(key.stream);
    end.set_complete(complete);
    end.set_sequence(sequence);
    return message;
}

/// Returns the position of the first stream of a peer; the streams of a peer are adjacent in the map.
template <typename Streams> auto firstStreamOf(Streams& streams, const std::string& peer)
{
    return streams.lower_bound(StreamKey { peer, 0 });
}

} // namespace

ForwardStreams::ForwardStreams(std::uint64_t firstStream, ForwardSettings settings)
    : nextStream(firstStream)
    , settings(settings)
{
}

StreamKey ForwardStreams::open(
    const std::string& peer, wire::ForwardOpen request, core::TimePoint now, ForwardEffects& effects)
{
    StreamKey key { peer, this->nextStream++ };
    request.set_stream(key.stream);
    this->openedStreams.emplace(key, StreamState { false, 0, now });
    auto message = messageTo(peer);
    *message.envelope.mutable_forward_open() = std::move(request);
    effects.emplace_back(std::move(message));
    return key;
}

ForwardEffects ForwardStreams::cancel(const StreamKey& key)
{
    ForwardEffects effects;
    if (this->openedStreams.erase(key) > 0)
        effects.emplace_back(makeCancelMessage(key));
    return effects;
}

ForwardEffects ForwardStreams::sendHead(
    const StreamKey& key, std::uint32_t status, std::vector<wire::Header> headers, core::TimePoint now)
{
    ForwardEffects effects;
    const auto found = this->servedStreams.find(key);
    if (found == this->servedStreams.end() || found->second.hasHead)
        return effects;
    found->second.hasHead = true;
    found->second.lastActivity = now;
    auto message = messageTo(key.peer);
    auto& head = *message.envelope.mutable_forward_head();
    head.set_stream(key.stream);
    head.set_status(status);
    for (auto& header : headers)
        *head.add_headers() = std::move(header);
    effects.emplace_back(std::move(message));
    return effects;
}

ForwardEffects ForwardStreams::sendData(const StreamKey& key, std::string data, core::TimePoint now)
{
    ForwardEffects effects;
    const auto found = this->servedStreams.find(key);
    if (found == this->servedStreams.end() || !found->second.hasHead)
        return effects;
    found->second.lastActivity = now;
    auto message = messageTo(key.peer);
    auto& body = *message.envelope.mutable_forward_data();
    body.set_stream(key.stream);
    body.set_sequence(found->second.nextSequence++);
    body.set_data(std::move(data));
    effects.emplace_back(std::move(message));
    return effects;
}

ForwardEffects ForwardStreams::sendEnd(const StreamKey& key, bool complete)
{
    ForwardEffects effects;
    const auto found = this->servedStreams.find(key);
    if (found == this->servedStreams.end())
        return effects;
    effects.emplace_back(makeEndMessage(key, complete, found->second.nextSequence));
    this->eraseServed(found);
    return effects;
}

ForwardEffects ForwardStreams::handle(const wire::Envelope& envelope, core::TimePoint now)
{
    ForwardEffects effects;
    const auto& peer = envelope.sender();
    switch (envelope.body_case()) {
    case wire::Envelope::kForwardOpen:
        this->handleOpen({ peer, envelope.forward_open().stream() }, envelope.forward_open(), now, effects);
        break;
    case wire::Envelope::kForwardHead:
        this->handleHead({ peer, envelope.forward_head().stream() }, envelope.forward_head(), now, effects);
        break;
    case wire::Envelope::kForwardData:
        this->handleData({ peer, envelope.forward_data().stream() }, envelope.forward_data(), now, effects);
        break;
    case wire::Envelope::kForwardEnd:
        this->handleEnd({ peer, envelope.forward_end().stream() }, envelope.forward_end(), effects);
        break;
    case wire::Envelope::kForwardCancel:
        this->handleCancel({ peer, envelope.forward_cancel().stream() }, effects);
        break;
    default:
        break;
    }
    return effects;
}

void ForwardStreams::handleOpen(
    const StreamKey& key, const wire::ForwardOpen& open, core::TimePoint now, ForwardEffects& effects)
{
    // A repeated id is a fault of the peer. The message is ignored, because running the request again could do more
    // harm.
    if (this->servedStreams.contains(key)) {
        ++this->unknownStreams;
        return;
    }
    const auto count = this->servedCountPerPeer.find(key.peer);
    if (count != this->servedCountPerPeer.end() && count->second >= this->settings.maxServedStreamsPerPeer) {
        effects.emplace_back(makeEndMessage(key, false, 0));
        return;
    }
    ++this->servedCountPerPeer[key.peer];
    this->servedStreams.emplace(key, StreamState { false, 0, now });
    effects.emplace_back(RequestReceived { key, open });
}

ForwardStreams::Streams::iterator ForwardStreams::findOpened(const StreamKey& key, ForwardEffects& effects)
{
    const auto found = this->openedStreams.find(key);
    if (found == this->openedStreams.end()) {
        // The response belongs to an earlier process of this node or to a stream that has ended; the peer must stop it.
        ++this->unknownStreams;
        effects.emplace_back(makeCancelMessage(key));
    }
    return found;
}

void ForwardStreams::failOpened(Streams::iterator found, ForwardEffects& effects)
{
    effects.emplace_back(makeCancelMessage(found->first));
    effects.emplace_back(ResponseEnded { found->first, StreamEndReason::SequenceError });
    this->openedStreams.erase(found);
}

void ForwardStreams::handleHead(
    const StreamKey& key, const wire::ForwardHead& head, core::TimePoint now, ForwardEffects& effects)
{
    const auto found = this->findOpened(key, effects);
    if (found == this->openedStreams.end())
        return;
    if (found->second.hasHead) {
        this->failOpened(found, effects);
        return;
    }
    found->second.hasHead = true;
    found->second.lastActivity = now;
    effects.emplace_back(ResponseHeadReceived { key, head.status(), { head.headers().begin(), head.headers().end() } });
}

void ForwardStreams::handleData(
    const StreamKey& key, const wire::ForwardData& data, core::TimePoint now, ForwardEffects& effects)
{
    const auto found = this->findOpened(key, effects);
    if (found == this->openedStreams.end())
        return;
    if (!found->second.hasHead || data.sequence() != found->second.nextSequence) {
        this->failOpened(found, effects);
        return;
    }
    ++found->second.nextSequence;
    found->second.lastActivity = now;
    effects.emplace_back(ResponseDataReceived { key, data.data() });
}

void ForwardStreams::handleEnd(const StreamKey& key, const wire::ForwardEnd& end, ForwardEffects& effects)
{
    const auto found = this->openedStreams.find(key);
    if (found == this->openedStreams.end()) {
        ++this->unknownStreams;
        return;
    }
    const bool hasAllMessages = found->second.hasHead && end.sequence() == found->second.nextSequence;
    auto result = StreamEndReason::Incomplete;
    if (end.complete())
        result = hasAllMessages ? StreamEndReason::Complete : StreamEndReason::SequenceError;
    effects.emplace_back(ResponseEnded { key, result });
    this->openedStreams.erase(found);
}

void ForwardStreams::handleCancel(const StreamKey& key, ForwardEffects& effects)
{
    const auto found = this->servedStreams.find(key);
    if (found == this->servedStreams.end()) {
        ++this->unknownStreams;
        return;
    }
    effects.emplace_back(RequestCancelled { key, StreamEndReason::Cancelled });
    this->eraseServed(found);
}

void ForwardStreams::eraseServed(Streams::iterator found)
{
    const auto count = this->servedCountPerPeer.find(found->first.peer);
    if (--count->second == 0)
        this->servedCountPerPeer.erase(count);
    this->servedStreams.erase(found);
}

ForwardEffects ForwardStreams::handlePeerLost(const std::string& node)
{
    ForwardEffects effects;
    for (auto next = firstStreamOf(this->openedStreams, node);
         next != this->openedStreams.end() && next->first.peer == node;) {
        effects.emplace_back(ResponseEnded { next->first, StreamEndReason::PeerLost });
        next = this->openedStreams.erase(next);
    }
    for (auto next = firstStreamOf(this->servedStreams, node);
         next != this->servedStreams.end() && next->first.peer == node;) {
        effects.emplace_back(RequestCancelled { next->first, StreamEndReason::PeerLost });
        this->eraseServed(next++);
    }
    return effects;
}

ForwardEffects ForwardStreams::tick(core::TimePoint now)
{
    ForwardEffects effects;
    const auto isIdle
        = [&](const StreamState& state) { return now - state.lastActivity >= this->settings.idleTimeout; };
    for (auto next = this->openedStreams.begin(); next != this->openedStreams.end();) {
        if (!isIdle(next->second)) {
            ++next;
            continue;
        }
        effects.emplace_back(makeCancelMessage(next->first));
        effects.emplace_back(ResponseEnded { next->first, StreamEndReason::IdleTimeout });
        next = this->openedStreams.erase(next);
    }
    for (auto next = this->servedStreams.begin(); next != this->servedStreams.end();) {
        const auto current = next++;
        if (!isIdle(current->second))
            continue;
        effects.emplace_back(makeEndMessage(current->first, false, current->second.nextSequence));
        effects.emplace_back(RequestCancelled { current->first, StreamEndReason::IdleTimeout });
        this->eraseServed(current);
    }
    return effects;
}

} // namespace lagoontiller::nodes
