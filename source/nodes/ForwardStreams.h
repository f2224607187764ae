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

/// \brief Identifies a forwarded request on both nodes: the other node, and the stream id chosen by the opening node.
struct StreamKey {
    std::string peer;
    std::uint64_t stream = 0;
    [[nodiscard]] bool operator==(const StreamKey&) const = default;
    /// Not a defaulted `<=>`, for which clang-tidy 14 reports modernize-use-nullptr.
    [[nodiscard]] bool operator<(const StreamKey& other) const
    {
        return std::tie(this->peer, this->stream) < std::tie(other.peer, other.stream);
    }
};

/// \brief Why a stream ended, as seen by the node that gets the effect.
enum class StreamEndReason : int {
    Complete,
    /// The serving node ended the response before it was complete.
    Incomplete,
    PeerLost,
    /// Messages are missing or arrived in an invalid order.
    SequenceError,
    IdleTimeout,
    Cancelled,
};

// Effects on the opening node, to which the caller is connected.
struct ResponseHeadReceived {
    StreamKey key;
    std::uint32_t status;
    std::vector<wire::Header> headers;
};
struct ResponseDataReceived {
    StreamKey key;
    std::string data;
};
/// \brief Last effect of an opened stream, unless it was ended by `cancel`.
struct ResponseEnded {
    StreamKey key;
    StreamEndReason reason;
};

// Effects on the serving node, which owns the program.
struct RequestReceived {
    StreamKey key;
    wire::ForwardOpen request;
};
/// \brief The opening node no longer waits for the response. Last effect of a served stream, unless it was ended by
/// `sendEnd`.
struct RequestCancelled {
    StreamKey key;
    StreamEndReason reason;
};

using ForwardEffect = std::variant<SendMessage, ResponseHeadReceived, ResponseDataReceived, ResponseEnded,
    RequestReceived, RequestCancelled>;
using ForwardEffects = std::vector<ForwardEffect>;

struct ForwardSettings {
    /// \brief A stream ends after this time without a message in either direction. Must exceed the longest time to the
    /// first token.
    core::Duration idleTimeout = std::chrono::seconds(120);
    /// \brief Open requests accepted from one peer; further ones are ended at once as incomplete.
    std::size_t maxServedStreamsPerPeer = 4096;
};

/// \brief Tracks the caller requests that are forwarded to and received from other nodes. A state machine without
/// sockets or a clock.
///
/// Connections preserve the message order but lose messages when they are reopened. Data messages are therefore
/// numbered, and a gap ends the stream with SequenceError, so that the caller never gets a response with missing data.
class ForwardStreams {
public:
    /// \param firstStream First id for streams opened by this process, for example the incarnation × 2^20. The ids must
    /// differ between processes of one node, so that late responses to an earlier process match no stream.
    ForwardStreams(std::uint64_t firstStream, ForwardSettings settings);

    /// \brief Opens a stream to `peer` and sets `request.stream`. Appends the message to `effects`.
    [[nodiscard]] StreamKey open(
        const std::string& peer, wire::ForwardOpen request, core::TimePoint now, ForwardEffects& effects);
    /// \brief Removes an opened stream whose caller has disconnected, and returns the message that cancels it at the
    /// peer. Returns no effects if the stream is unknown.
    [[nodiscard]] ForwardEffects cancel(const StreamKey& key);

    /// \brief Returns the message with the status and headers of the response of a served stream. Returns no effects if
    /// the stream has ended or already has a head.
    [[nodiscard]] ForwardEffects sendHead(
        const StreamKey& key, std::uint32_t status, std::vector<wire::Header> headers, core::TimePoint now);
    /// \brief Returns the message with a part of the response body. Returns no effects if the stream has ended or has
    /// no head yet.
    [[nodiscard]] ForwardEffects sendData(const StreamKey& key, std::string data, core::TimePoint now);
    /// \brief Removes a served stream and returns the message that ends it. Returns no effects if it has already ended.
    /// \param complete False if the response was cut off.
    [[nodiscard]] ForwardEffects sendEnd(const StreamKey& key, bool complete);

    /// \brief Handles a message of a forwarded stream. Returns no effects for any other message.
    [[nodiscard]] ForwardEffects handle(const wire::Envelope& envelope, core::TimePoint now);
    /// \brief Ends all streams to and from a node that died, left or was replaced by a new process.
    [[nodiscard]] ForwardEffects handlePeerLost(const std::string& node);
    /// \brief Ends the streams that have been idle for `ForwardSettings::idleTimeout`.
    [[nodiscard]] ForwardEffects tick(core::TimePoint now);

    [[nodiscard]] std::size_t openedCount() const noexcept { return this->openedStreams.size(); }
    [[nodiscard]] std::size_t servedCount() const noexcept { return this->servedStreams.size(); }
    /// \brief Number of messages for unknown streams, including requests with the id of a stream that is already open.
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
