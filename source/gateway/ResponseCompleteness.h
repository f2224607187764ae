#pragma once

#include "gateway/EventSequence.h"
#include "transport/ClientPool.h"
#include "transport/ConnectionProbe.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoontiller::gateway {

/// \brief The event with which all streams of a service end, as far as earlier streams showed; for example `[DONE]`.
///
/// An unframed stream without it is truncated. A wrong verdict would abort sound streams, so it takes many streams that
/// agree, and an event that also occurs inside a stream is no end marker.
class EndMarker {
public:
    /// \brief Longer data is content.
    static constexpr std::size_t maxBytes = 256;

    /// \brief Records a complete stream of several events: the data of its last one.
    void observe(std::string_view lastData);
    /// \brief Records a stream that continued after an event with the data of the candidate.
    void observeInside() noexcept;
    /// \brief Records a stream that ended without the marker and may have been complete; a service that no longer sends
    /// its marker is believed after some streams.
    void observeMissing() noexcept;
    /// \brief Data that may be the marker; empty if there is none.
    [[nodiscard]] const std::string& candidate() const noexcept { return this->data; }
    /// \brief Whether the candidate is the marker for certain.
    [[nodiscard]] bool isKnown() const noexcept { return this->balance >= certainBalance; }

private:
    static constexpr int certainBalance = 8;
    static constexpr int maxBalance = 12;

    std::string data;
    /// \brief Streams that ended with `data` minus others, limited to `maxBalance`.
    int balance = 0;
};

/// \brief What is known at the end of a successful response.
struct ResponseEvidence {
    transport::ExchangeEnd end = transport::ExchangeEnd::Closed;

    // The body.
    bool eventStream = false;
    /// \brief The last bytes of this run, or of an earlier one that this run had to continue, belong to an event that
    /// is not complete.
    bool endsInsideEvent = false;
    /// \brief Whether the last event followed the one before it.
    EventOrder order = EventOrder::InOrder;
    /// \brief Whether the stream has had an event, in any of its runs.
    bool hasEvents = false;
    /// \brief Whether the last event is the end marker of the service; empty if none is known.
    std::optional<bool> endsWithMarker {};
    /// \brief The run resumed the stream after its last event and brought no other.
    bool confirmsEarlierEnd = false;
    /// \brief Whether a body of the JSON type is a whole JSON text; empty for other types, and for a number, which may
    /// continue.
    std::optional<bool> wholeJson {};

    // The endpoint.
    /// \brief Another process has taken the place of the one that got the request.
    bool endpointReplaced = false;
    /// \brief The process has said that it is shutting down.
    bool endpointLeaving = false;
    transport::OtherConnections others {};
    /// \brief Result of a new connection that was opened after the close; empty before that.
    std::optional<transport::ProbeResult> probe {};

    [[nodiscard]] bool operator==(const ResponseEvidence&) const = default;
};

enum class Completeness : int {
    Complete,
    Truncated,
    /// \brief The evidence doesn't tell: open a new connection to the endpoint, then judge again.
    CheckEndpoint,
};

[[nodiscard]] std::string_view toString(Completeness completeness) noexcept;

struct CompletenessVerdict {
    Completeness completeness = Completeness::Truncated;
    /// \brief The evidence that decided, for logs and metrics.
    std::string_view reason;
    [[nodiscard]] bool operator==(const CompletenessVerdict&) const = default;
};

/// \brief Reason of a stream that lacks the end marker of its service.
inline constexpr std::string_view noEndMarker = "no_end_marker";

/// \brief Whether the response is complete. An orderly close completes an unframed response unless there is evidence of
/// truncation: the system also closes the connections of a killed process in order.
[[nodiscard]] CompletenessVerdict judgeCompleteness(const ResponseEvidence& evidence) noexcept;

/// \brief Whether the body is a whole JSON text; empty for a number, whose end is not visible.
[[nodiscard]] std::optional<bool> isWholeJson(std::string_view body);

} // namespace lagoontiller::gateway
