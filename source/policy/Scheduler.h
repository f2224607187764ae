#pragma once

#include "policy/OrderPlanner.h"
#include "policy/SchedulerTypes.h"
#include "policy/TimeoutEstimator.h"

#include <map>
#include <set>
#include <unordered_map>

namespace lagoontiller::policy {

/// \brief Scheduler of one node. It combines admission control, request queues, routing, time-outs, retries, endpoint
/// health, poison detection and KV cache decisions.
///
/// A call passed to `submit` waits in a queue until `schedule` returns it with an endpoint, when a slot is free. The
/// owner of the scheduler sends it and reports the events of the attempt. The owner calls `schedule` after every event
/// and at `nextWakeTime`, and `tick` about once a second. The scheduler has no clock, socket or thread of its own.
class Scheduler {
public:
    Scheduler(SchedulerOptions options, std::uint64_t seed);

    /// \brief Adds or updates an endpoint from the VM list; `Gone` also forgets its cached prefixes.
    EndpointId upsert(const EndpointSpec& spec, core::TimePoint now);
    void setCustomer(const std::string& customer, CustomerLimits limits);
    void removeCustomer(const std::string& customer);
    /// \brief Sets the number of nodes that use the same endpoints, including this one; at least 1.
    void setRoutingNodes(double nodes);

    /// \brief Admits and queues the call, or refuses it without running it. Returns the waiting calls that were
    /// evicted; the new call can be among them.
    [[nodiscard]] tl::expected<std::vector<DroppedCall>, Refusal> submit(
        const ScheduledCall& call, core::TimePoint now);
    /// \brief Returns the attempts to send now, each with its endpoint, and the waiting calls that are dropped because
    /// they expired, are isolated or cannot be routed.
    [[nodiscard]] ScheduleStep schedule(core::TimePoint now);
    /// \brief Returns the time of the earliest delayed retry, at which `schedule` must be called; empty without
    /// retries.
    [[nodiscard]] std::optional<core::TimePoint> nextWakeTime() const;
    /// \brief Cancels a call whose caller has disconnected. Returns the attempts to cancel, whose ends need not be
    /// reported.
    std::vector<AttemptId> cancel(CallId call, core::TimePoint now);
    /// \brief Raises the waiting calls of a sub-agent program to the urgency of its waiting parent.
    void raiseUrgency(std::uint64_t program, const Urgency& parent);

    /// \brief Records the first token of an attempt. Returns the other attempts of the call, which must be cancelled.
    std::vector<AttemptId> firstToken(AttemptId attempt, core::TimePoint now);
    /// \brief Records that the attempt answered the call. Returns the other attempts, which must be cancelled.
    std::vector<AttemptId> finished(AttemptId attempt, const Usage& usage, core::TimePoint now);
    /// \brief Records that an attempt failed; `ran` tells whether the endpoint may have run it. An unknown attempt
    /// gives an empty outcome.
    [[nodiscard]] AttemptOutcome failed(AttemptId attempt, FailureKind kind, core::RunState ran, core::TimePoint now);

    void report(EndpointId endpoint, const LoadReport& report);
    void cacheEvent(EndpointId endpoint, const CacheEvent& event);
    /// \brief Records the poison notice of another node.
    void merge(const PoisonNotice& notice, core::TimePoint now);

    /// \brief Records that the program waits for a tool. Returns the action for its KV cache; empty when it has none.
    [[nodiscard]] std::optional<PauseOrder> paused(const ProgramPause& pause, core::TimePoint now);
    void resumed(std::uint64_t program, core::TimePoint now);
    /// \brief Forgets a program that ended or moved to another owner.
    void programEnded(std::uint64_t program);

    /// \brief Returns the planner of the orders to the engines of a service, created with `options` on first use.
    [[nodiscard]] OrderPlanner& orderPlanner(const std::string& service, const OrderOptions& options = {});

    /// \brief Updates endpoint health and forgets expired state. Call about once a second.
    void tick(core::TimePoint now);

    [[nodiscard]] const Router& router() const noexcept { return this->endpointRouter; }
    [[nodiscard]] const HealthTracker& health() const noexcept { return this->healthTracker; }
    /// \brief Returns the number of queued calls and delayed retries.
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t callCount() const noexcept { return this->calls.size(); }

private:
    struct Service {
        AdmissionController admission;
        RetryBudget retryBudget;
        std::map<std::string, RequestQueue> queues;
        /// \brief Live endpoints that are not ejected.
        std::set<EndpointId> serving;
        /// \brief Requests of other nodes on `serving`, from load reports.
        double otherRequests = 0;
        /// \brief KV memory of the endpoints in tokens, from load reports.
        std::map<EndpointId, std::uint64_t> kvCapacityByEndpoint;
        std::uint64_t kvCapacityTotal = 0;
        /// \brief KV cache tokens of the programs that this node runs.
        std::uint64_t programTokens = 0;
        std::optional<OrderPlanner> planner;
    };
    struct Call {
        ScheduledCall request;
        core::TimePoint arrivedAt {};
        std::vector<EndpointId> triedEndpoints;
        core::Duration previousDelay {};
        std::set<AttemptId> attempts;
        /// \brief Whether any failed attempt ran or may have run.
        core::RunState ran = core::RunState::NotRun;
        bool hedged = false;
    };
    struct Attempt {
        CallId call = 0;
        EndpointId endpoint = 0;
        core::TimePoint sentAt {};
        core::TimePoint firstTokenAt {};
        double queueMs = 0;
        bool suspect = false;
    };
    struct Program {
        std::uint64_t servedTokens = 0;
        std::optional<EndpointId> endpoint;
        PrefixKey prefix = 0;
        std::uint32_t tokens = 0;
        std::string service;
        std::string tool;
        core::TimePoint pausedAt {};
    };

    Service& service(const std::string& name);
    void apply(const std::vector<HealthChange>& changes);
    /// \brief Adds the endpoint to, or removes it from, the serving endpoints of its service.
    void setServing(EndpointId endpoint, bool serving);
    void updateSlots(Service& service) const;
    void enqueue(const Call& call, Service& service, std::vector<DroppedCall>& dropped);
    /// \brief Returns whether the KV memory share of this node has room for the call's program; always true for a
    /// started program.
    [[nodiscard]] bool hasKvMemory(const Service& service, const ScheduledCall& call) const;
    void setTokens(std::uint64_t program, const std::string& service, std::uint32_t tokens);
    void enqueueDueRetries(core::TimePoint now, ScheduleStep& step);
    void dropExpired(Service& service, core::TimePoint now, ScheduleStep& step);
    void dispatchQueue(const std::string& model, Service& service, core::TimePoint now, ScheduleStep& step);
    [[nodiscard]] core::Expected<RouteDecision> chooseEndpoint(const Call& call, core::TimePoint now);
    [[nodiscard]] Assignment startAttempt(Call& call, const RouteDecision& decision, core::TimePoint now);
    /// \brief Returns the endpoint from which the KV cache should be fetched; empty when recomputing is cheaper.
    [[nodiscard]] std::optional<EndpointId> kvSource(const Call& call, const RouteDecision& decision) const;
    void startHedges(core::TimePoint now, ScheduleStep& step);
    void dropCall(CallId id, core::Error error, core::Duration retryAfter, std::vector<DroppedCall>& dropped);
    [[nodiscard]] std::vector<AttemptId> cancelOtherAttempts(Call& call, AttemptId answering, core::TimePoint now);
    void endAttempt(AttemptId id, const Attempt& attempt, const Call& call);
    /// \brief Returns the observed divided by the predicted time; the observed time in milliseconds without tokens.
    [[nodiscard]] double latencyRatio(const Attempt& attempt, const Usage& usage, core::TimePoint now) const;
    [[nodiscard]] PoisonNotice endpointLost(EndpointId endpoint, core::TimePoint now);

    SchedulerOptions options;
    Random random;
    Router endpointRouter;
    HealthTracker healthTracker;
    PoisonDetector poison;
    TimeoutEstimator timeouts;
    PauseEstimator pauses;
    std::map<std::string, CustomerLimits> customers;
    std::map<std::string, Service> services;
    std::unordered_map<CallId, Call> calls;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<std::uint64_t, Program> programs;
    std::multimap<core::TimePoint, CallId> retries;
    std::vector<std::set<AttemptId>> attemptsByEndpoint;
    std::vector<double> memoryPressure;
    AttemptId lastAttempt = 0;
    core::TimePoint nextHedgeCheck {};
};

} // namespace lagoontiller::policy
