#pragma once

#include "core/Metrics.h"
#include "core/ResultCode.h"
#include "gateway/EndpointDirectory.h"
#include "gateway/EndpointLossTracker.h"
#include "gateway/Flow.h"
#include "gateway/Placement.h"
#include "gateway/RouteTable.h"

namespace lagoontiller::gateway {

/// \brief Everything the gateway works with; all of it outlives the gateway.
struct GatewayDependencies {
    asio::io_context& context;
    transport::Server& callers;
    transport::ClientPool& endpoints;
    EndpointDirectory& endpointDirectory;
    TurnStore& turnStore;
    PeerService& peerService;
    EndpointLossTracker& lossTracker;
    StoreHealth& storeHealth;
    core::MetricRegistry& metrics;
};

/// \brief Passes callers' calls to endpoints and their answers back, unchanged.
///
/// All functions run on the thread of the context. A call goes through preparation (budget, history), attempts at
/// endpoints, and its answer; what may be repeated follows from the kind of its route.
class Gateway {
public:
    Gateway(GatewayDependencies dependencies, NodeLocation location, std::uint64_t seed);

    void configure(std::shared_ptr<const Configuration> configuration);
    void setReadyNodesInZone(double count) { this->location.readyNodesInZone = count; }
    /// \brief A caller's request was read.
    void handleRequest(transport::ConnectionId connection, transport::Request&& request, core::TimePoint now);
    /// \brief The caller closed its connection.
    void handleDisconnect(transport::ConnectionId connection, core::TimePoint now);
    /// \brief Ends calls whose time is over and moves those at silent endpoints; due every `tickInterval`.
    void tick(core::TimePoint now);

    [[nodiscard]] std::size_t callsInProgress() const noexcept { return this->flows.size(); }

private:
    struct LocalResponse {
        int status = 503;
        core::ResultCode code = core::ResultCode::Internal;
        std::string_view cause;
        core::Duration retryAfter {};
    };

    // Preparation (GatewayAdmission.cpp).
    void admit(Flow&& flow, core::TimePoint now);
    void reserveBudget(FlowId id, core::TimePoint now);
    void handleBudgetAnswer(FlowId id, BudgetAnswer answer);
    void loadHistory(FlowId id);
    void handleHistory(FlowId id, tl::expected<Chain, HistoryFailure> chain);
    void dispatchWhenPrepared(FlowId id);

    // Attempts (GatewayAttempts.cpp).
    void dispatch(FlowId id, core::TimePoint now);
    void sendAttempt(Flow& flow, const PlacementDecision& decision, core::TimePoint now);
    void attemptEnded(FlowId id, transport::ExchangeEnd end);
    /// \brief Longest rest of a kept connection that may carry the call.
    [[nodiscard]] core::Duration maxIdleTime(const Flow& flow, core::TimePoint now) const;
    void attemptRefused(Flow& flow, core::TimePoint now);
    void attemptFailed(Flow& flow, policy::FailureKind kind, std::string_view cause, core::TimePoint now);
    void reportSuspectedLoss(const Flow& flow);
    void cancelAttempt(Flow& flow);
    [[nodiscard]] bool mayRetry(const Flow& flow) const;
    void checkInactivity(Flow& flow, core::TimePoint now);
    void expire(FlowId id);

    // Answers (GatewayAnswers.cpp).
    void handleResponseHead(FlowId id, transport::ResponseHead&& head);
    void handleResponseBody(FlowId id, std::string&& bytes);
    void forwardEvents(Flow& flow, std::string_view bytes, core::TimePoint now);
    void handleResponseEnd(Flow& flow, core::TimePoint now);
    void forwardWholeResponse(Flow& flow);
    void endStream(FlowId id);
    void commitTurn(FlowId id);
    void commitEnded(FlowId id, int attempt, bool durable, const std::shared_ptr<const Turn>& turn);
    /// \brief Writes the turn again when the store is back since its last attempt began.
    void retryCommitAfterOutage(const Flow& flow);
    void respond(FlowId id, const LocalResponse& response);
    void finish(FlowId id, std::string_view outcome, int status);

    [[nodiscard]] Flow* find(FlowId id);

    GatewayDependencies dependencies;
    NodeLocation location;
    policy::Random random;
    std::shared_ptr<const Configuration> configuration;
    RouteTable routes;
    std::unordered_map<std::string, std::shared_ptr<const Service>> services;
    /// \brief Per service the last time at which a kept connection broke without an answer.
    std::unordered_map<std::string, core::TimePoint> reusedConnectionBrokenAt;
    std::unordered_map<FlowId, Flow> flows;
    std::unordered_map<transport::ConnectionId, FlowId> flowByConnection;
    FlowId lastFlowId = 0;
};

/// \brief Interval of `Gateway::tick`; bounds how late a final answer is.
inline constexpr core::Duration tickInterval = std::chrono::milliseconds(50);

} // namespace lagoontiller::gateway
