#pragma once

#include "core/Metrics.h"
#include "core/ResultCode.h"
#include "gateway/Directory.h"
#include "gateway/Flow.h"
#include "gateway/Losses.h"
#include "gateway/Placement.h"
#include "gateway/RouteTable.h"

namespace lagoontiller::gateway {

/// \brief Everything the gateway works with; all of it outlives the gateway.
struct GatewayParts {
    asio::io_context& context;
    transport::Server& callers;
    transport::ClientPool& endpoints;
    Directory& directory;
    Histories& histories;
    Peers& peers;
    Losses& losses;
    StoreContact& contact;
    core::MetricRegistry& metrics;
};

/// \brief Passes callers' calls to endpoints and their answers back, unchanged.
///
/// All functions run on the thread of the context. A call goes through preparation (budget, history), attempts at
/// endpoints, and its answer; what may be repeated follows from the kind of its route.
class Gateway {
public:
    Gateway(GatewayParts parts, Place place, std::uint64_t seed);

    void configure(std::shared_ptr<const Configuration> configuration);
    void setDeciders(double deciders) { this->place.deciders = deciders; }
    /// \brief A caller's request was read.
    void arrive(transport::ConnectionId connection, transport::Request&& request, core::TimePoint now);
    /// \brief The caller closed its connection.
    void gone(transport::ConnectionId connection, core::TimePoint now);
    /// \brief Ends calls whose time is over and moves those at silent endpoints; due every `tickInterval`.
    void tick(core::TimePoint now);

    [[nodiscard]] std::size_t inProgress() const noexcept { return this->flows.size(); }

private:
    struct OwnAnswer {
        int status = 503;
        core::ResultCode code = core::ResultCode::Internal;
        std::string_view cause;
        core::Duration retryAfter {};
    };

    // Preparation (GatewayAdmission.cpp).
    void admit(Flow&& flow, core::TimePoint now);
    void reserveBudget(FlowId id, core::TimePoint now);
    void budgetKnown(FlowId id, BudgetAnswer answer);
    void loadHistory(FlowId id);
    void historyKnown(FlowId id, tl::expected<Chain, HistoryFailure> chain);
    void prepared(FlowId id);

    // Attempts (GatewayAttempts.cpp).
    void dispatch(FlowId id, core::TimePoint now);
    void send(Flow& flow, const PlacementDecision& decision, core::TimePoint now);
    void attemptEnded(FlowId id, transport::ExchangeEnd end);
    /// \brief Longest rest of a kept connection that may carry the call.
    [[nodiscard]] core::Duration longestIdle(const Flow& flow, core::TimePoint now) const;
    void attemptRefused(Flow& flow, core::TimePoint now);
    void attemptFailed(Flow& flow, policy::FailureKind kind, std::string_view cause, core::TimePoint now);
    void suspectLoss(const Flow& flow);
    void stopAttempt(Flow& flow);
    [[nodiscard]] bool mayRepeat(const Flow& flow) const;
    void checkSilence(Flow& flow, core::TimePoint now);
    void giveUp(FlowId id);

    // Answers (GatewayAnswers.cpp).
    void headRead(FlowId id, transport::ResponseHead&& head);
    void bodyRead(FlowId id, std::string&& bytes);
    void passEvents(Flow& flow, std::string_view bytes, core::TimePoint now);
    void answerComplete(Flow& flow, core::TimePoint now);
    void respondWhole(Flow& flow);
    void endStream(FlowId id);
    void commitTurn(FlowId id);
    void commitEnded(FlowId id, int attempt, bool durable, const std::shared_ptr<const Turn>& turn);
    /// \brief Writes the turn again when the store is back since its last attempt began.
    void checkCommit(const Flow& flow);
    void answer(FlowId id, const OwnAnswer& own);
    void finish(FlowId id, std::string_view outcome, int status);

    [[nodiscard]] Flow* find(FlowId id);

    GatewayParts parts;
    Place place;
    policy::Random random;
    std::shared_ptr<const Configuration> configuration;
    RouteTable routes;
    std::unordered_map<std::string, std::shared_ptr<const Service>> services;
    /// \brief Per service the last time at which a kept connection broke without an answer.
    std::unordered_map<std::string, core::TimePoint> keptBroken;
    std::unordered_map<FlowId, Flow> flows;
    std::unordered_map<transport::ConnectionId, FlowId> byConnection;
    FlowId lastFlow = 0;
};

/// \brief Interval of `Gateway::tick`; bounds how late a final answer is.
inline constexpr core::Duration tickInterval = std::chrono::milliseconds(50);

} // namespace lagoontiller::gateway
