#pragma once

#include "gateway/AttemptProgress.h"
#include "gateway/EventSequence.h"
#include "gateway/EventStreamParser.h"
#include "gateway/PeerService.h"
#include "gateway/PrefillBacklog.h"
#include "gateway/RelayedExchanges.h"
#include "gateway/Types.h"
#include "state/Backoff.h"
#include "transport/ClientPool.h"
#include "transport/Server.h"

namespace lagoontiller::gateway {

using FlowId = std::uint64_t;

/// \brief An attempt of a call that is in progress at an endpoint.
struct FlowAttempt {
    FlowAttempt(const Endpoint& endpoint, core::TimePoint sentAt)
        : endpoint(endpoint.id)
        , address(endpoint.address)
        , endpointStartedAt(endpoint.startedAt)
        , endpointVersion(endpoint.version)
        , sentAt(sentAt)
        , progress(sentAt)
    {
    }

    transport::ExchangeId exchange = 0;
    transport::ConnectionUse connection;
    std::string endpoint;
    std::string address;
    /// \brief Identifies the endpoint's process, like `Endpoint::startedAt`.
    std::int64_t endpointStartedAt = 0;
    /// \brief Software version of that process.
    std::string endpointVersion;
    core::TimePoint sentAt {};
    AttemptProgress progress;
    /// \brief Whether the limiter of new programs knows how the first event came.
    bool congestionRecorded = false;
    /// \brief The call's prompt in the backlog of the endpoint, until the first event.
    WaitingPrompt waitingPrompt;
    /// \brief Counts the request's bytes as outstanding at the endpoint.
    std::shared_ptr<void> outstandingBytes;
    /// \brief The response is not read further until the caller has read.
    bool paused = false;
    std::optional<EndpointResponse> response;
    /// \brief Body of a response that is buffered instead of streamed.
    std::string body;
    EventStreamParser eventParser;
    /// \brief Whether the run resumes a stream, and the number of events with data that it brought.
    bool resumesStream = false;
    std::uint64_t eventCount = 0;
    /// \brief What the peer that carried the attempt knows of the end of an unframed response.
    std::optional<ClosedExchange> closedAtPeer;
    /// \brief Time at which the connection of an unframed response was closed in order, while its end is judged.
    std::optional<core::TimePoint> closedAt;
};

/// \brief A call that waits until its endpoint's rate limit permits it.
struct RateLimitWait {
    std::string endpoint;
    core::TimePoint until {};
};

/// \brief State of one call, from the arrival of its request to the end of its response.
struct Flow {
    FlowId id = 0;
    transport::ConnectionId connection = 0;
    Call call;
    /// \brief Digest that is equal for repeated identical requests.
    std::string requestDigest;
    std::shared_ptr<const Route> route;
    std::shared_ptr<const Service> service;
    /// \brief The caller's account; null without accounts and for public calls without a key.
    std::shared_ptr<const Account> account;
    /// \brief Digest of the caller's key; empty without an account.
    std::string keyDigest;
    core::TimePoint arrivedAt {};
    /// \brief Earlier of the caller's deadline and the route's time-out.
    core::TimePoint deadline {};

    // Preparation.
    bool waitsForBudget = false;
    bool waitsForHistory = false;
    bool waitsForStreamVersion = false;
    bool waitsForQuota = false;
    /// \brief A permit of the account covers the call.
    bool hasPermit = false;
    /// \brief No version of the service is listed yet, so that no stream may begin.
    bool waitsForListing = false;
    std::optional<Reservation> reservation;
    Chain chain;
    /// \brief Request body for the endpoint if it differs from the caller's.
    std::string assembledBody;
    bool hasAssembledBody = false;

    // Attempts.
    std::vector<std::string> triedEndpoints;
    /// \brief Attempts that the endpoint may have executed.
    int possibleRuns = 0;
    int attempts = 0;
    std::optional<RateLimitWait> rateLimitWait;
    std::optional<FlowAttempt> attempt;

    // Response.
    /// \brief Software version that began the stream; only its endpoints may resume it.
    std::optional<std::string> streamVersion;
    bool responseStarted = false;
    bool committing = false;
    /// \brief Number of attempts to write the turn, and the start time of the last one.
    int commitAttempts = 0;
    core::TimePoint commitStartedAt {};
    /// \brief Delays between attempts to write the turn.
    state::Backoff commitBackoff { std::chrono::milliseconds(50), std::chrono::milliseconds(250) };
    std::uint64_t eventCount = 0;
    EventSequence events;
    /// \brief Data of the last event; empty if it is too long for an end marker.
    std::string lastEventData;
    /// \brief A run ended inside an event that no other run has brought since.
    bool hasBegunEvent = false;
    std::string output;
    core::TimePoint firstEventAt {};
};

} // namespace lagoontiller::gateway
