#pragma once

#include "core/Metrics.h"
#include "core/ResultCode.h"
#include "gateway/ClientAccounts.h"
#include "gateway/ConfigurationProof.h"
#include "gateway/EndpointDirectory.h"
#include "gateway/EndpointExchanges.h"
#include "gateway/EndpointLossTracker.h"
#include "gateway/EndpointRateLimits.h"
#include "gateway/FairShare.h"
#include "gateway/Flow.h"
#include "gateway/FormerRoutes.h"
#include "gateway/NewProgramLimiter.h"
#include "gateway/Placement.h"
#include "gateway/QuotaService.h"
#include "gateway/ResponseCompleteness.h"
#include "gateway/ResponseMemory.h"
#include "gateway/RetrySchedule.h"
#include "gateway/RouteExplanation.h"
#include "gateway/RouteTable.h"
#include "gateway/ServiceVersions.h"
#include "gateway/StopSchedule.h"
#include "gateway/StreamVersionRows.h"

namespace lagoontiller::gateway {

/// \brief Objects that the gateway uses; all of them must outlive it.
struct GatewayDependencies {
    asio::io_context& context;
    transport::Server& callers;
    EndpointExchanges& endpoints;
    EndpointDirectory& endpointDirectory;
    TurnStore& turnStore;
    PeerService& peerService;
    EndpointLossTracker& lossTracker;
    StoreHealth& storeHealth;
    ServiceVersions& serviceVersions;
    StreamVersionRows& streamVersionRows;
    core::MetricRegistry& metrics;
    const ConfigurationProof& configurationProof;
    QuotaService& quotaService;
};

inline constexpr std::size_t defaultMaxResponseBytes = 32U << 20U;

/// \brief Forwards callers' requests to endpoints and the unmodified responses back.
///
/// Not thread-safe: all functions run on the thread of the I/O context. A call is prepared (budget, history), attempted
/// at one or more endpoints, and answered. The kind of its route determines whether it may be retried.
class Gateway {
public:
    /// \brief `maxResponseBytes` limits the bytes of incomplete responses that all calls together hold in memory.
    Gateway(GatewayDependencies dependencies, NodeLocation location, std::uint64_t seed,
        std::size_t maxResponseBytes = defaultMaxResponseBytes);

    /// \brief Replaces the configuration; calls in progress keep their route and service.
    void configure(std::shared_ptr<const Configuration> configuration, core::TimePoint now);
    void setReadyNodesInZone(double count) { this->location.readyNodesInZone = count; }
    /// \brief Uncached tokens from which a prompt is long: nodes of a zone tell each other of long prompts, and
    /// placement considers which prompts the engines have to read. 0 turns both off.
    void setLongPromptTokens(std::uint64_t tokens) { this->longPromptTokens = tokens; }
    /// \brief Handles the notice of another node about a long prompt.
    void handleLongPrompt(const LongPromptNotice& notice, core::TimePoint now);
    /// \brief Handles a complete request of a caller.
    void handleRequest(transport::ConnectionId connection, transport::Request&& request, core::TimePoint now);
    /// \brief What `handleRequest` would do with the call now, and why; changes nothing.
    [[nodiscard]] RouteExplanation explain(Call&& call, core::TimePoint now) const;
    /// \brief Handles a connection that its caller closed.
    void handleDisconnect(transport::ConnectionId connection, core::TimePoint now);
    /// \brief Handles a caller that has read the output of its connection: continues to read its response.
    void handleDrained(transport::ConnectionId connection, core::TimePoint now);
    /// \brief Ends calls whose deadline has passed, and retries calls whose endpoint is inactive if they may be
    /// retried; call every `tickInterval`.
    void tick(core::TimePoint now);

    /// \brief Handles the loss of the paths to endpoints: attempts without progress are retried where they may be, and
    /// streams whose attempt may not be repeated are ended, so that their callers begin anew.
    void handlePathsLost(core::TimePoint now);

    /// \brief Rate limits that endpoints state, to exchange them with other nodes.
    [[nodiscard]] EndpointRateLimits& rateLimits() noexcept { return this->endpointRateLimits; }

    /// \brief Follows which software versions the services with resumable streams have; call periodically.
    void updateServiceVersions(core::TimePoint now);

    /// \brief From now on begins only attempts of calls that the schedule admits. Calls without an attempt in progress
    /// that it doesn't admit are refused.
    void startDraining(const StopSchedule& schedule);
    /// \brief Longest time limit of any route in force; 0 without a configuration.
    [[nodiscard]] core::Duration longestTimeout() const;
    /// \brief Ends all calls in progress, as if their deadline had passed.
    void endAll(core::TimePoint now);

    /// \brief Whether the configuration has accounts.
    [[nodiscard]] bool requiresKeys() const noexcept { return this->accounts.required(); }
    [[nodiscard]] std::size_t callsInProgress() const noexcept { return this->flows.size(); }

private:
    /// \brief A response that the gateway generates itself.
    struct LocalResponse {
        int status = 503;
        core::ResultCode code = core::ResultCode::Internal;
        std::string_view cause;
        core::Duration retryAfter {};
    };

    // Preparation (GatewayAdmission.cpp).
    void admit(Flow&& flow, core::TimePoint now);
    /// \brief Determines the route, account, service and deadline of a new call, and what must be known before it is
    /// sent. Returns the response if the call is refused.
    [[nodiscard]] std::optional<LocalResponse> examine(Flow& flow, core::TimePoint now) const;
    [[nodiscard]] static BudgetRequest budgetRequest(const Flow& flow);
    void reserveBudget(FlowId id, core::TimePoint now);
    [[nodiscard]] static LocalResponse budgetResponse(BudgetAnswer refusal);
    void handleBudgetAnswer(FlowId id, BudgetAnswer answer);
    void loadHistory(FlowId id);
    void handleHistory(FlowId id, tl::expected<Chain, HistoryFailure> chain);
    [[nodiscard]] static LocalResponse historyResponse(HistoryFailure failure);
    /// \brief Whether the call would begin a stream while no version of its service is listed.
    [[nodiscard]] bool lacksListedVersion(const Flow& flow) const;
    void dispatchWhenPrepared(FlowId id);

    // Planned stop (GatewayStop.cpp).
    /// \brief Whether the call can end before a planned stop of this node; always true without one.
    [[nodiscard]] bool canEndBeforeStop(const Flow& flow) const;
    /// \brief Response to a call that cannot end before the stop: refused as not run, unless it may have run.
    [[nodiscard]] static LocalResponse stoppingResponse(const Flow& flow);
    void refuseWhileStopping(const Flow& flow);
    /// \brief Counts a call that a stopping node `admitted`, `refused` or `cut`.
    void countStoppingCall(std::string_view outcome);
    void recordAdmissionWhileStopping(const Flow& flow, core::TimePoint now);

    // Accounts (GatewayAccounts.cpp).
    /// \brief Determines the account of a new call by its key, which is cleared.
    [[nodiscard]] Authorization authenticate(Flow& flow) const;
    /// \brief Whether the call may be sent to an endpoint now: the configuration may have changed, or its proof may
    /// have lapsed, while the call waited.
    [[nodiscard]] Authorization authorization(const Flow& flow) const;
    /// \brief The account lost its permission, or its proof, while the connection to the endpoint was opened.
    void attemptWithheld(Flow& flow, core::TimePoint now);
    [[nodiscard]] LocalResponse unauthorizedResponse(const Flow& flow, Authorization authorization) const;
    [[nodiscard]] static QuotaCall quotaCall(const Flow& flow, core::TimePoint now);
    /// \brief Asks for a permit of the account; refuses the call if its quota is reached.
    void requestPermit(FlowId id, core::TimePoint now);
    void handlePermit(FlowId id, bool startsProgram, const QuotaGrant& grant);
    [[nodiscard]] static LocalResponse quotaResponse(
        const Flow& flow, bool startsProgram, const QuotaGrant& refusal, RetrySchedule& schedule, core::TimePoint now);
    /// \brief Label of the account in metrics; accounts beyond `maxAccountsInMetrics` share one.
    [[nodiscard]] std::string metricName(const Account& account);

    // Resumption (GatewayResumption.cpp).
    /// \brief Finds the service and the software version that began the stream that the call resumes.
    void findStreamOrigin(FlowId id);
    /// \brief Resumes the stream at the only version of its service that may have begun it; calls `otherwise` if there
    /// are several.
    void resumeAtOnlyVersion(FlowId id, const std::function<void()>& otherwise);
    /// \brief Looks for the origin at other nodes and in the store; calls `ifUnknown` if it is not known there.
    void searchStreamOrigin(FlowId id, const std::function<void()>& ifUnknown);
    /// \brief Time for which a stream's origin matters after a service or a software version of it has left.
    [[nodiscard]] core::Duration originWindow(const Route& route, core::TimePoint now) const;
    /// \brief Services that may have begun the stream that the call resumes.
    [[nodiscard]] std::set<std::string> originServices(const Flow& flow) const;
    /// \brief Resumes the stream at its origin, or refuses the call if its route no longer permits that service.
    void resumeAtOrigin(FlowId id, const StreamOrigin& origin);
    /// \brief Sets the service and the version that may resume the stream. Returns the cause if the route no longer
    /// permits them, else an empty string.
    [[nodiscard]] std::string_view takeOrigin(Flow& flow, const StreamOrigin& origin) const;
    /// \brief Origin of the stream that the call resumes, as far as this node remembers it.
    [[nodiscard]] std::optional<StreamOrigin> knownOrigin(const Flow& flow) const;
    [[nodiscard]] static LocalResponse resumptionResponse(std::string_view cause);
    [[nodiscard]] static LocalResponse unlistedResponse();
    void resumeAtVersion(FlowId id, const std::optional<std::string>& version);
    void refuseResumption(FlowId id, std::string_view cause);
    /// \brief Sends the calls that have waited for a listed version of their service, and refuses those that have
    /// waited too long.
    void dispatchListed(core::TimePoint now);

    /// \brief Whether new programs of the call's service are limited.
    [[nodiscard]] static bool isLimitedAsNewProgram(const Flow& flow);
    /// \brief Share of the new programs of the call's account that is admitted, from 0 to 1.
    [[nodiscard]] static double newProgramShare(
        const Flow& flow, NewProgramLimiter& limiter, FairShare& shares, core::TimePoint now);
    /// \brief `draw` is a random number from 0 to 1.
    [[nodiscard]] static LocalResponse congestionResponse(double draw);
    /// \brief Whether the engines of the call's service have room for a new program; always true for other services.
    [[nodiscard]] bool admitsNewProgram(const Flow& flow, core::TimePoint now);
    void refuseNewProgram(FlowId id);

    // Choice of an endpoint (GatewayPlacement.cpp).
    void dispatch(FlowId id, core::TimePoint now);
    [[nodiscard]] PlacementRequest placementRequest(const Flow& flow) const;
    /// \brief Software versions that may take the call; any if empty.
    [[nodiscard]] std::set<std::string> permittedVersions(const Flow& flow) const;
    /// \brief The work to read the call's prompt; empty if placement does not consider it.
    [[nodiscard]] std::optional<PromptWork> promptWork(const Flow& flow) const;
    [[nodiscard]] static LocalResponse timeOverResponse();
    [[nodiscard]] static LocalResponse noEndpointResponse(const Flow& flow);
    /// \brief Response while no node that this one knows reaches the endpoints.
    [[nodiscard]] static LocalResponse noPathResponse(const Flow& flow);
    /// \brief Whether the call may wait for the endpoint that accepts it first.
    [[nodiscard]] static bool mayWaitForRateLimit(
        const Flow& flow, const RateLimitedEndpoints& limited, core::TimePoint now);
    [[nodiscard]] static LocalResponse rateLimitResponse(
        const Flow& flow, const RateLimitedEndpoints& limited, RetrySchedule& schedule, core::TimePoint now);
    /// \brief Delays the call until an endpoint accepts it, or refuses it at once if it would be late then.
    void waitForRateLimit(Flow& flow, const RateLimitedEndpoints& limited, core::TimePoint now);
    /// \brief Sends the call that has waited for its endpoint.
    void sendAfterWait(Flow& flow, core::TimePoint now);

    // Explanation (GatewayExplanation.cpp).
    [[nodiscard]] static ExplainedResponse explained(const LocalResponse& response);
    [[nodiscard]] ExplainedStep explainNewProgram(const Flow& flow, core::TimePoint now) const;
    /// \brief Explains the budget, and records in the flow whether the call is the first turn of its program.
    [[nodiscard]] ExplainedStep explainBudget(Flow& flow, core::TimePoint now) const;
    [[nodiscard]] ExplainedStep explainHistory(const Flow& flow, core::TimePoint now) const;
    [[nodiscard]] ExplainedStep explainStream(Flow& flow) const;
    [[nodiscard]] ExplainedStep explainQuota(const Flow& flow, core::TimePoint now) const;
    [[nodiscard]] ExplainedStep explainPlacement(
        const Flow& flow, RouteExplanation& explanation, core::TimePoint now) const;

    // Attempts (GatewayAttempts.cpp).
    void sendAttempt(Flow& flow, const PlacementDecision& decision, core::TimePoint now);
    /// \brief Whether this attempt of the call, numbered from 1, has neither ended nor been abandoned.
    [[nodiscard]] bool isInProgress(FlowId id, int attempt);
    /// \brief Counts the call's prompt in the backlog of its endpoint, and announces a long one.
    void recordPrompt(Flow& flow, const PlacementDecision& decision, core::TimePoint now);
    void attemptEnded(FlowId id, transport::ExchangeEnd end);
    /// \brief Maximum idle time of a pooled connection that may be reused for the call.
    [[nodiscard]] core::Duration maxIdleTime(const Flow& flow, core::TimePoint now) const;
    void attemptRefused(Flow& flow, core::TimePoint now);
    void attemptFailed(Flow& flow, policy::FailureKind kind, std::string_view cause, core::TimePoint now);
    /// \brief Records the failure of the attempt's endpoint, unless the path to it or a peer may be the cause.
    void recordFailure(const Flow& flow, policy::FailureKind kind, core::TimePoint now);
    void reportSuspectedLoss(const Flow& flow, core::TimePoint now);
    void cancelAttempt(Flow& flow);
    /// \brief Tells the limiter of the service, once per attempt, whether the first event came within the objective of
    /// the route.
    void recordFirstEvent(Flow& flow, bool inTime, core::TimePoint now);
    /// \brief Remembers the origin of the stream, for callers that resume it.
    void noteStreamOrigin(const Flow& flow, core::TimePoint now);
    /// \brief Whether the call may be sent again although an endpoint may have executed it.
    [[nodiscard]] bool mayRetry(const Flow& flow) const;
    void checkInactivity(Flow& flow, core::TimePoint now);
    /// \brief Whether the tick comes so late that this process was paused. Responses may have arrived meanwhile and
    /// are handled before the next tick.
    [[nodiscard]] bool resumedAfterPause(core::TimePoint now);
    void expire(FlowId id);

    /// \brief Ends an attempt that brought no complete response.
    void attemptBroken(Flow& flow, transport::ExchangeEnd end, core::TimePoint now);

    // Unframed responses (GatewayCompleteness.cpp).
    /// \brief Judges a success whose connection was closed in order; `probe` is the result of a new connection to the
    /// endpoint, which is opened if nothing else tells.
    void judgeClosedResponse(Flow& flow, std::optional<transport::ProbeResult> probe, core::TimePoint now);
    [[nodiscard]] ResponseEvidence collectEvidence(const Flow& flow, std::optional<transport::ProbeResult> probe) const;
    /// \brief Opens a new connection to the endpoint, then judges again.
    void probeEndpoint(const Flow& flow);

    // Responses (GatewayAnswers.cpp).
    void handleResponseHead(FlowId id, transport::ResponseHead&& head);
    void recordRateLimit(const FlowAttempt& attempt, core::TimePoint now);
    void handleResponseBody(FlowId id, std::string&& bytes);
    /// \brief Forwards the complete events that continue the stream. Another event ends the attempt.
    void forwardEvents(Flow& flow, std::string_view bytes, core::TimePoint now);
    /// \brief Logs an event that doesn't continue the stream.
    void recordIrregularEvent(const Flow& flow, const StreamEvent& event, EventOrder order);
    /// \brief Pauses the response when its caller reads too slowly.
    void writeEvents(Flow& flow, std::string_view out, core::TimePoint now);
    /// \brief Updates the memory that the call's response takes, and ends attempts that exceed a limit.
    void limitResponseMemory(FlowId id, core::TimePoint now);
    void handleResponseEnd(Flow& flow, core::TimePoint now);
    void forwardWholeResponse(Flow& flow);
    void endStream(FlowId id);
    void commitTurn(FlowId id);
    void commitEnded(FlowId id, int attempt, bool durable, const std::shared_ptr<const Turn>& turn);
    /// \brief Writes the turn again if the store has recovered since the last attempt started.
    void retryCommitAfterOutage(const Flow& flow);
    /// \brief Ends the call with a response of the gateway, or aborts the response that has already started.
    void respond(FlowId id, const LocalResponse& response);
    void finish(FlowId id, std::string_view outcome, int status);

    /// \brief The call; null if it has ended.
    [[nodiscard]] Flow* find(FlowId id);

    GatewayDependencies dependencies;
    NodeLocation location;
    policy::Random random;
    std::shared_ptr<const Configuration> configuration;
    std::optional<StopSchedule> stopSchedule;
    RouteTable routes;
    ClientAccounts accounts;
    /// \brief Accounts that have metrics of their own.
    std::set<std::string> accountsInMetrics;
    /// \brief Per account whose quota is reached.
    std::unordered_map<std::string, RetrySchedule> quotaRetrySchedules;
    FormerRoutes formerRoutes;
    /// \brief Time of the first configuration.
    core::TimePoint configuredSince {};
    std::unordered_map<std::string, std::shared_ptr<const Service>> services;
    /// \brief Services of resumable routes, and whether several software versions of them were in service last.
    std::map<std::string, bool> resumableServices;
    /// \brief Per service, the last time at which a reused connection broke before a response.
    std::unordered_map<std::string, core::TimePoint> reusedConnectionBrokenAt;
    EndpointRateLimits endpointRateLimits;
    /// \brief Per service whose endpoints have reached their rate limits.
    std::unordered_map<std::string, RetrySchedule> retrySchedules;
    /// \brief Per service with engines.
    std::unordered_map<std::string, NewProgramLimiter> newProgramLimiters;
    /// \brief Per service with engines, if there are accounts.
    std::unordered_map<std::string, FairShare> programShares;
    /// \brief Per service with engines.
    std::unordered_map<std::string, PrefillRate> prefillRates;
    std::uint64_t longPromptTokens = 0;
    /// \brief Per service with streams.
    std::unordered_map<std::string, EventNumbering> eventNumberings;
    /// \brief Per service with streams.
    std::unordered_map<std::string, EndMarker> endMarkers;
    std::unordered_map<FlowId, Flow> flows;
    ResponseMemory responseMemory;
    core::TimePoint lastTickAt {};
    bool lastTickWasLate = false;
    std::unordered_map<transport::ConnectionId, FlowId> flowByConnection;
    FlowId lastFlowId = 0;
};

/// \brief Interval of `Gateway::tick`; a final response is late by at most this time.
inline constexpr core::Duration tickInterval = std::chrono::milliseconds(50);

} // namespace lagoontiller::gateway
