#include "nodes/ForwardStreams.h"

namespace lagoontiller::nodes {

namespace {

SendMessage messageTo(const std::string& peer)
{
    return SendMessage { peer, {}, {} };
}

SendMessage makeCancel(const StreamKey& key)
{
    auto message = messageTo(key.peer);
    message.envelope.mutable_forward_cancel()->set_stream(key.stream);
    return message;
}

SendMessage makeEnd(const StreamKey& key, bool complete, std::uint64_t sequence)
{
    auto message = messageTo(key.peer);
    auto& end = *message.envelope.mutable_forward_end();
    end.set_stream(key.stream);
    end.set_complete(complete);
    end.set_sequence(sequence);
    return message;
}

/// Streams of one peer are adjacent in the map.
template <typename Streams> auto firstOf(Streams& streams, const std::string& peer)
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
    this->opened.emplace(key, State { false, 0, now });
    auto message = messageTo(peer);
    *message.envelope.mutable_forward_open() = std::move(request);
    effects.emplace_back(std::move(message));
    return key;
}

ForwardEffects ForwardStreams::cancel(const StreamKey& key)
{
    ForwardEffects effects;
    if (this->opened.erase(key) > 0)
        effects.emplace_back(makeCancel(key));
    return effects;
}

ForwardEffects ForwardStreams::sendHead(
    const StreamKey& key, std::uint32_t status, std::vector<wire::Header> headers, core::TimePoint now)
{
    ForwardEffects effects;
    const auto found = this->served.find(key);
    if (found == this->served.end() || found->second.hasHead)
        return effects;
    found->second.hasHead = true;
    found->second.lastActive = now;
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
    const auto found = this->served.find(key);
    if (found == this->served.end() || !found->second.hasHead)
        return effects;
    found->second.lastActive = now;
    auto message = messageTo(key.peer);
    auto& body = *message.envelope.mutable_forward_data();
    body.set_stream(key.stream);
    body.set_sequence(found->second.nextData++);
    body.set_data(std::move(data));
    effects.emplace_back(std::move(message));
    return effects;
}

ForwardEffects ForwardStreams::sendEnd(const StreamKey& key, bool complete)
{
    ForwardEffects effects;
    const auto found = this->served.find(key);
    if (found == this->served.end())
        return effects;
    effects.emplace_back(makeEnd(key, complete, found->second.nextData));
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
    // A repeated id is a fault of the peer; running the request a second time could be worse than ignoring it.
    if (this->served.contains(key)) {
        ++this->unknown;
        return;
    }
    const auto count = this->servedPerPeer.find(key.peer);
    if (count != this->servedPerPeer.end() && count->second >= this->settings.maxServedPerPeer) {
        effects.emplace_back(makeEnd(key, false, 0));
        return;
    }
    ++this->servedPerPeer[key.peer];
    this->served.emplace(key, State { false, 0, now });
    effects.emplace_back(RequestArrived { key, open });
}

ForwardStreams::Streams::iterator ForwardStreams::findOpened(const StreamKey& key, ForwardEffects& effects)
{
    const auto found = this->opened.find(key);
    if (found == this->opened.end()) {
        // The peer answers to an earlier process of this node or to a stream that has ended here: it must stop.
        ++this->unknown;
        effects.emplace_back(makeCancel(key));
    }
    return found;
}

void ForwardStreams::breakOpened(Streams::iterator found, ForwardEffects& effects)
{
    effects.emplace_back(makeCancel(found->first));
    effects.emplace_back(AnswerEnded { found->first, StreamEnd::Broken });
    this->opened.erase(found);
}

void ForwardStreams::handleHead(
    const StreamKey& key, const wire::ForwardHead& head, core::TimePoint now, ForwardEffects& effects)
{
    const auto found = this->findOpened(key, effects);
    if (found == this->opened.end())
        return;
    if (found->second.hasHead) {
        this->breakOpened(found, effects);
        return;
    }
    found->second.hasHead = true;
    found->second.lastActive = now;
    effects.emplace_back(HeadArrived { key, head.status(), { head.headers().begin(), head.headers().end() } });
}

void ForwardStreams::handleData(
    const StreamKey& key, const wire::ForwardData& data, core::TimePoint now, ForwardEffects& effects)
{
    const auto found = this->findOpened(key, effects);
    if (found == this->opened.end())
        return;
    if (!found->second.hasHead || data.sequence() != found->second.nextData) {
        this->breakOpened(found, effects);
        return;
    }
    ++found->second.nextData;
    found->second.lastActive = now;
    effects.emplace_back(DataArrived { key, data.data() });
}

void ForwardStreams::handleEnd(const StreamKey& key, const wire::ForwardEnd& end, ForwardEffects& effects)
{
    const auto found = this->opened.find(key);
    if (found == this->opened.end()) {
        ++this->unknown;
        return;
    }
    const bool isWhole = found->second.hasHead && end.sequence() == found->second.nextData;
    auto result = StreamEnd::Incomplete;
    if (end.complete())
        result = isWhole ? StreamEnd::Complete : StreamEnd::Broken;
    effects.emplace_back(AnswerEnded { key, result });
    this->opened.erase(found);
}

void ForwardStreams::handleCancel(const StreamKey& key, ForwardEffects& effects)
{
    const auto found = this->served.find(key);
    if (found == this->served.end()) {
        ++this->unknown;
        return;
    }
    effects.emplace_back(RequestAbandoned { key, StreamEnd::Cancelled });
    this->eraseServed(found);
}

void ForwardStreams::eraseServed(Streams::iterator found)
{
    const auto count = this->servedPerPeer.find(found->first.peer);
    if (--count->second == 0)
        this->servedPerPeer.erase(count);
    this->served.erase(found);
}

ForwardEffects ForwardStreams::peerLost(const std::string& node)
{
    ForwardEffects effects;
    for (auto next = firstOf(this->opened, node); next != this->opened.end() && next->first.peer == node;) {
        effects.emplace_back(AnswerEnded { next->first, StreamEnd::PeerLost });
        next = this->opened.erase(next);
    }
    for (auto next = firstOf(this->served, node); next != this->served.end() && next->first.peer == node;) {
        effects.emplace_back(RequestAbandoned { next->first, StreamEnd::PeerLost });
        this->eraseServed(next++);
    }
    return effects;
}

ForwardEffects ForwardStreams::tick(core::TimePoint now)
{
    ForwardEffects effects;
    const auto isIdle = [&](const State& state) { return now - state.lastActive >= this->settings.idleLimit; };
    for (auto next = this->opened.begin(); next != this->opened.end();) {
        if (!isIdle(next->second)) {
            ++next;
            continue;
        }
        effects.emplace_back(makeCancel(next->first));
        effects.emplace_back(AnswerEnded { next->first, StreamEnd::Idle });
        next = this->opened.erase(next);
    }
    for (auto next = this->served.begin(); next != this->served.end();) {
        const auto current = next++;
        if (!isIdle(current->second))
            continue;
        effects.emplace_back(makeEnd(current->first, false, current->second.nextData));
        effects.emplace_back(RequestAbandoned { current->first, StreamEnd::Idle });
        this->eraseServed(current);
    }
    return effects;
}

} // namespace lagoontiller::nodes
