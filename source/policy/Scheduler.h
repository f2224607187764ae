#pragma once

#include "policy/OrderPlanner.h"
#include "policy/SchedulerTypes.h"
#include "policy/TimeoutEstimator.h"

#include <map>
#include <set>
#include <unordered_map>

namespace lagoontiller::policy {

/// \brief Joins the decisions of one node: admission, order, endpoint, time-outs, retries, health, poison, cache.
///
/// A call arrives (`arrive`), waits, and is returned by `next` with an endpoint when a slot is free. The owner sends it
/// and reports the events of the attempt. It calls `next` after every event and at `nextWake`, and `tick` about once a
/// second. It holds no clock, socket or thread.
class Scheduler {
public:
    Scheduler(SchedulerOptions options, std::uint64_t seed);

    /// \brief Applies an entry of the VM list; `Gone` forgets the endpoint's caches.
    EndpointId upsert(const EndpointSpec& spec, core::TimePoint now);
    void setCustomer(const std::string& customer, CustomerLimits limits);
    void removeCustomer(const std::string& customer);
    /// \brief Nodes that use the same endpoints, this one included.
    void setRoutingNodes(double nodes);

    /// \brief Admits the call or refuses it "not run". The result lists waiting calls that gave up their place.
    [[nodiscard]] tl::expected<std::vector<DroppedCall>, Refusal> submit(
        const ScheduledCall& call, core::TimePoint now);
    /// \brief Calls to send now, each with its endpoint, and waiting calls that expired or are isolated.
    [[nodiscard]] ScheduleStep schedule(core::TimePoint now);
    /// \brief When `schedule` has a delayed retry to return.
    [[nodiscard]] std::optional<core::TimePoint> nextWakeTime() const;
    /// \brief The caller went away. Returns the attempts to cancel; their ends need not be reported.
    std::vector<AttemptId> cancel(CallId call, core::TimePoint now);
    /// \brief A waiting parent passes its urgency to the waiting calls of a sub-agent.
    void raiseUrgency(std::uint64_t program, const Urgency& parent);

    /// \brief Returns attempts of the same call that must be cancelled because this one answers.
    std::vector<AttemptId> firstToken(AttemptId attempt, core::TimePoint now);
    /// \brief The call ended with an answer. Returns as `firstToken`.
    std::vector<AttemptId> finished(AttemptId attempt, const Usage& usage, core::TimePoint now);
    [[nodiscard]] AttemptOutcome failed(AttemptId attempt, FailureKind kind, core::RunState ran, core::TimePoint now);

    void report(EndpointId endpoint, const LoadReport& report);
    void cacheEvent(EndpointId endpoint, const CacheEvent& event);
    void merge(const PoisonNotice& notice, core::TimePoint now);

    /// \brief The program waits for a tool; none when it has no cache.
    [[nodiscard]] std::optional<PauseOrder> paused(const ProgramPause& pause, core::TimePoint now);
    void resumed(std::uint64_t program, core::TimePoint now);
    /// \brief The program ended or moved to another owner.
    void programEnded(std::uint64_t program);

    /// \brief Planner of the orders for the engines of a service, created with `options` on first use.
    [[nodiscard]] OrderPlanner& orderPlanner(const std::string& service, const OrderOptions& options = {});

    void tick(core::TimePoint now);

    [[nodiscard]] const Router& router() const noexcept { return this->endpointRouter; }
    [[nodiscard]] const HealthTracker& health() const noexcept { return this->healthTracker; }
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t callCount() const noexcept { return this->calls.size(); }

private:
    struct Service {
        AdmissionController admission;
        RetryBudget retryBudget;
        std::map<std::string, RequestQueue> queues;
        /// \brief Live endpoints that are not ejected.
        std::set<EndpointId> serving;
        /// \brief Calls of other nodes on `serving`, from reports.
        double otherRequests = 0;
        /// \brief KV memory of `serving` in tokens, from reports.
        std::map<EndpointId, std::uint64_t> kvCapacityByEndpoint;
        std::uint64_t kvCapacityTotal = 0;
        /// \brief Tokens in the caches of the programs that this node runs.
        std::uint64_t programTokens = 0;
        std::optional<OrderPlanner> planner;
    };
    struct Call {
        ScheduledCall request;
        core::TimePoint arrivedAt {};
        std::vector<EndpointId> triedEndpoints;
        core::Duration previousDelay {};
        std::set<AttemptId> attempts;
        /// \brief Whether any failed attempt may have run.
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
    void setServing(EndpointId endpoint, bool serving);
    void updateSlots(Service& service) const;
    void enqueue(const Call& call, Service& service, std::vector<DroppedCall>& dropped);
    [[nodiscard]] bool hasKvMemory(const Service& service, const ScheduledCall& call) const;
    void setTokens(std::uint64_t program, const std::string& service, std::uint32_t tokens);
    void enqueueDueRetries(core::TimePoint now, ScheduleStep& step);
    void dropExpired(Service& service, core::TimePoint now, ScheduleStep& step);
    void dispatchQueue(const std::string& model, Service& service, core::TimePoint now, ScheduleStep& step);
    [[nodiscard]] core::Expected<RouteDecision> chooseEndpoint(const Call& call, core::TimePoint now);
    [[nodiscard]] Assignment startAttempt(Call& call, const RouteDecision& decision, core::TimePoint now);
    [[nodiscard]] std::optional<EndpointId> kvSource(const Call& call, const RouteDecision& decision) const;
    void startHedges(core::TimePoint now, ScheduleStep& step);
    void dropCall(CallId id, core::Error error, core::Duration retryAfter, std::vector<DroppedCall>& dropped);
    [[nodiscard]] std::vector<AttemptId> cancelOtherAttempts(Call& call, AttemptId answering, core::TimePoint now);
    void endAttempt(AttemptId id, const Attempt& attempt, const Call& call);
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
