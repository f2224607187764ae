#pragma once

#include "core/Time.h"
#include "nodes/Effects.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace lagoontiller::nodes {

/// \brief Names a forwarded call on either side: the other node, and the id that the opening side chose.
struct StreamKey {
    std::string peer;
    std::uint64_t stream = 0;
    [[nodiscard]] bool operator==(const StreamKey&) const = default;
    /// Not a defaulted `<=>`: clang-tidy 14 reports modernize-use-nullptr inside it.
    [[nodiscard]] bool operator<(const StreamKey& other) const
    {
        return std::tie(this->peer, this->stream) < std::tie(other.peer, other.stream);
    }
};

/// \brief Why a stream ended on the side that is told.
enum class StreamEndReason : int {
    Complete,
    /// The serving side ended it early.
    Incomplete,
    PeerLost,
    /// Messages are missing or came in an impossible order.
    SequenceError,
    IdleTimeout,
    Cancelled,
};

// Effects for the opening side (the caller's node).
struct ResponseHeadReceived {
    StreamKey key;
    std::uint32_t status;
    std::vector<wire::Header> headers;
};
struct ResponseDataReceived {
    StreamKey key;
    std::string data;
};
/// \brief Last effect of an opened stream, except after `cancel`.
struct ResponseEnded {
    StreamKey key;
    StreamEndReason reason;
};

// Effects for the serving side (the owner of the program).
struct RequestReceived {
    StreamKey key;
    wire::ForwardOpen request;
};
/// \brief Nobody waits for the answer any more; last effect of a served stream that was not ended by `sendEnd`.
struct RequestCancelled {
    StreamKey key;
    StreamEndReason reason;
};

using ForwardEffect = std::variant<SendMessage, ResponseHeadReceived, ResponseDataReceived, ResponseEnded,
    RequestReceived, RequestCancelled>;
using ForwardEffects = std::vector<ForwardEffect>;

struct ForwardSettings {
    /// \brief A stream without a message in either direction for this long ends. Above the longest first-token time.
    core::Duration idleTimeout = std::chrono::seconds(120);
    /// \brief Open requests accepted from one peer; further ones end at once as incomplete.
    std::size_t maxServedStreamsPerPeer = 4096;
};

/// \brief Bookkeeping of caller requests forwarded to other nodes and from them: a state machine without socket or
/// clock.
///
/// The links keep order but lose messages when they are opened anew; data messages are therefore numbered, and a gap
/// ends the stream as broken instead of giving the caller an answer with a hole.
class ForwardStreams {
public:
    /// \param firstStream First own stream id. It must differ between processes of one node, for example the
    /// incarnation × 2^20, so that late answers to an earlier process meet no stream.
    ForwardStreams(std::uint64_t firstStream, ForwardSettings settings);

    /// \brief Opens a stream to `peer`; `request.stream` is set here. The last effect is the message.
    [[nodiscard]] StreamKey open(
        const std::string& peer, wire::ForwardOpen request, core::TimePoint now, ForwardEffects& effects);
    /// \brief The caller is gone: tells the peer and forgets the stream. No effect for an unknown stream.
    [[nodiscard]] ForwardEffects cancel(const StreamKey& key);

    /// \brief Answers of the serving side. For a stream that has ended there are no effects.
    [[nodiscard]] ForwardEffects sendHead(
        const StreamKey& key, std::uint32_t status, std::vector<wire::Header> headers, core::TimePoint now);
    [[nodiscard]] ForwardEffects sendData(const StreamKey& key, std::string data, core::TimePoint now);
    [[nodiscard]] ForwardEffects sendEnd(const StreamKey& key, bool complete);

    [[nodiscard]] ForwardEffects handle(const wire::Envelope& envelope, core::TimePoint now);
    /// \brief Ends all streams of a node that died, left or was replaced by a new process.
    [[nodiscard]] ForwardEffects handlePeerLost(const std::string& node);
    /// \brief Ends idle streams.
    [[nodiscard]] ForwardEffects tick(core::TimePoint now);

    [[nodiscard]] std::size_t openedCount() const noexcept { return this->openedStreams.size(); }
    [[nodiscard]] std::size_t servedCount() const noexcept { return this->servedStreams.size(); }
    /// \brief Messages for streams that are not known here.
    [[nodiscard]] std::uint64_t unknownStreamCount() const noexcept { return this->unknownStreams; }

private:
    struct StreamState {
        bool hasHead = false;
        std::uint64_t nextSequence = 0;
        core::TimePoint lastActivity;
    };
    using Streams = std::map<StreamKey, StreamState>;

    void handleOpen(const StreamKey& key, const wire::ForwardOpen& open, core::TimePoint now, ForwardEffects& effects);
    void handleHead(const StreamKey& key, const wire::ForwardHead& head, core::TimePoint now, ForwardEffects& effects);
    void handleData(const StreamKey& key, const wire::ForwardData& data, core::TimePoint now, ForwardEffects& effects);
    void handleEnd(const StreamKey& key, const wire::ForwardEnd& end, ForwardEffects& effects);
    void handleCancel(const StreamKey& key, ForwardEffects& effects);
    [[nodiscard]] Streams::iterator findOpened(const StreamKey& key, ForwardEffects& effects);
    void failOpened(Streams::iterator found, ForwardEffects& effects);
    void eraseServed(Streams::iterator found);

    std::uint64_t nextStream;
    ForwardSettings settings;
    Streams openedStreams;
    Streams servedStreams;
    std::map<std::string, std::size_t> servedCountPerPeer;
    std::uint64_t unknownStreams = 0;
};

} // namespace lagoontiller::nodes
