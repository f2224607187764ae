// Origins of streams, which a few nodes of the zone remember.

#include "core/Hash.h"
#include "gateway/PeerService.h"
#include "proto/gateway.pb.h"

#include <algorithm>

namespace lagoontiller::gateway {

namespace {

/// \brief Number of other nodes that remember the origin of a stream, and of those that are asked for it:
/// nodes may select different holders while their views of the zone differ, and the node that served the stream may be
/// one.
constexpr std::size_t streamHolderCount = 2;
constexpr std::size_t askedHolderCount = 3;
/// \brief Longest time for which a peer may ask to remember a stream.
constexpr core::Duration maxStreamRetention = std::chrono::minutes(10);

} // namespace

std::vector<std::string> PeerService::streamHolders(
    const std::string& stream, std::size_t count, core::TimePoint now) const
{
    const auto hash = core::hash64(stream);
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    for (const auto& peer : this->nodeRegistry.zonePeers()) {
        if (!peer.self && !this->client.isSuspected(peer.address, now))
            scored.emplace_back(core::combine(hash, core::hash64(peer.address)), peer.address);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    scored.resize(std::min(scored.size(), count));
    std::vector<std::string> holders;
    holders.reserve(scored.size());
    for (auto& [score, address] : scored)
        holders.push_back(std::move(address));
    return holders;
}

void PeerService::noteStream(const StreamNote& note, bool share, core::TimePoint now)
{
    this->streamVersions.note(note.stream, note.origin, now + note.resumable);
    if (!share)
        return;
    wire::PeerRequest message;
    auto* const noted = message.mutable_note_stream();
    noted->set_stream(note.stream);
    noted->set_service(note.origin.service);
    noted->set_version(note.origin.version);
    noted->set_resumable_ms(static_cast<std::uint64_t>(note.resumable.count() / 1'000));
    // If the message is lost, the stream is not resumed: its origin is then unknown.
    for (const auto& holder : this->streamHolders(note.stream, streamHolderCount, now))
        this->client.send(holder, message, [](const wire::PeerResponse*) {});
}

void PeerService::findStream(
    const std::string& stream, core::TimePoint now, const std::function<void(const std::optional<StreamOrigin>&)>& done)
{
    const auto holders = this->streamHolders(stream, askedHolderCount, now);
    if (stream.empty() || holders.empty()) {
        done(std::nullopt);
        return;
    }
    wire::PeerRequest message;
    message.mutable_find_stream()->set_stream(stream);
    auto unanswered = std::make_shared<std::size_t>(holders.size());
    for (const auto& holder : holders) {
        this->client.send(holder, message, [unanswered, done](const wire::PeerResponse* response) {
            if (*unanswered == 0)
                return;
            --*unanswered;
            const bool found
                = response != nullptr && !(response->stream_service().empty() && response->stream_version().empty());
            if (found) {
                *unanswered = 0;
                done(StreamOrigin { response->stream_service(), response->stream_version() });
            } else if (*unanswered == 0) {
                done(std::nullopt);
            }
        });
    }
}

void PeerService::serveNoteStream(const wire::NoteStream& note, core::TimePoint now)
{
    const auto limitMs = std::chrono::duration_cast<std::chrono::milliseconds>(maxStreamRetention).count();
    const auto resumable = std::min(note.resumable_ms(), static_cast<std::uint64_t>(limitMs));
    this->streamVersions.note(
        note.stream(), { note.service(), note.version() }, now + std::chrono::milliseconds(resumable));
}

void PeerService::serveFindStream(transport::ConnectionId connection, const std::string& stream)
{
    wire::PeerResponse response;
    const auto origin = this->streamVersions.find(stream).value_or(StreamOrigin());
    response.set_stream_service(origin.service);
    response.set_stream_version(origin.version);
    this->respond(connection, response);
}

} // namespace lagoontiller::gateway
