#pragma once

#include "gateway/EventStreamParser.h"
#include "gateway/PeerService.h"
#include "gateway/Types.h"
#include "state/Backoff.h"
#include "transport/ClientPool.h"
#include "transport/Server.h"

namespace lagoontiller::gateway {

using FlowId = std::uint64_t;

/// \brief The attempt of a call that is in progress at an endpoint.
struct FlowAttempt {
    transport::ExchangeId exchange = 0;
    std::string endpoint;
    core::TimePoint sentAt {};
    /// \brief Last time at which the endpoint sent anything.
    core::TimePoint lastReceivedAt {};
    std::optional<EndpointResponse> response;
    /// \brief Body of an answer that is not passed on as it comes.
    std::string body;
    EventStreamParser eventParser;
};

/// \brief One call of a caller, from its arrival to the end of its answer.
struct Flow {
    FlowId id = 0;
    transport::ConnectionId connection = 0;
    Call call;
    /// \brief Recognises the same request when it comes again.
    std::string requestDigest;
    std::shared_ptr<const Route> route;
    std::shared_ptr<const Service> service;
    core::TimePoint arrivedAt {};
    /// \brief End of the caller's or the route's time, whichever is first.
    core::TimePoint deadline {};

    // Preparation.
    bool waitsForBudget = false;
    bool waitsForHistory = false;
    std::optional<Reservation> reservation;
    Chain chain;
    /// \brief Body for the endpoint where it differs from the caller's.
    std::string assembledBody;
    bool hasAssembledBody = false;

    // Attempts.
    std::vector<std::string> triedEndpoints;
    /// \brief Attempts that may have run.
    int possibleRuns = 0;
    int attempts = 0;
    std::optional<FlowAttempt> attempt;

    // Answer.
    bool responseStarted = false;
    bool committing = false;
    /// \brief Attempts to write the turn, and the time of the last one.
    int commitAttempts = 0;
    core::TimePoint commitStartedAt {};
    /// \brief Pauses between attempts to write the turn.
    state::Backoff commitBackoff { std::chrono::milliseconds(50), std::chrono::milliseconds(250) };
    bool reachedEndpoint = false;
    std::uint64_t eventCount = 0;
    std::optional<std::uint64_t> lastEvent;
    std::string output;
    core::TimePoint firstEventAt {};
};

} // namespace lagoontiller::gateway
