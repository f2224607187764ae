#include "bench/policy/Decider.h"

namespace lagoontiller::bench {

namespace {

policy::SchedulerOptions optionsFor(const DeciderSettings& settings)
{
    constexpr double unbounded = 1e9;
    policy::SchedulerOptions options;
    const Variant& variant = settings.variant;
    options.router.slotsPerEndpoint = static_cast<double>(settings.slots);
    options.router.routingNodes = variant.spread ? static_cast<double>(settings.nodes) : 1;
    options.retry.hedging = variant.hedging;
    options.retry.maxAttempts = variant.retry ? options.retry.maxAttempts : 1;
    options.kvMove = variant.kvMove;
    options.admission.queueCapacity = variant.admission ? 8 : 1'000'000;
    options.queue.capacity = 1'000'000;
    options.newProgramMemoryRatio = variant.memory ? options.newProgramMemoryRatio : unbounded;
    if (!variant.ejection) {
        constexpr int never = 1'000'000'000;
        options.health.silenceLimit = never;
        options.health.failureLimit = never;
        options.health.slowLatencyRatio = never;
        options.health.minEjectionTime = {};
        options.health.slowStartTime = core::Duration(1);
    }
    return options;
}

/// \brief `policy::Scheduler` with optional elements disabled by the variant.
class SchedulerDecider final : public Decider {
public:
    SchedulerDecider(const DeciderSettings& settings, std::uint64_t seed)
        : variant(settings.variant)
        , scheduler(optionsFor(settings), seed)
    {
        for (const std::string& customer : settings.customers) {
            this->scheduler.setCustomer(customer, { 1, 1'000'000 });
        }
    }

    policy::EndpointId upsert(const policy::EndpointSpec& spec, core::TimePoint now) override
    {
        return this->scheduler.upsert(spec, now);
    }
    tl::expected<std::vector<policy::DroppedCall>, policy::Refusal> arrive(
        const policy::ScheduledCall& call, core::TimePoint now) override
    {
        policy::ScheduledCall changed = call;
        if (!this->variant.affinity) {
            changed.route.prefix = 0;
        }
        if (!this->variant.queueOrder) {
            // Calls with equal priority and no attained service are queued in order of arrival.
            changed.started = true;
            changed.program = call.id;
            changed.urgency.priority = 0;
        }
        if (!this->variant.poison) {
            changed.digest.clear();
        }
        return this->scheduler.submit(changed, now);
    }
    policy::ScheduleStep next(core::TimePoint now) override { return this->scheduler.schedule(now); }
    std::optional<core::TimePoint> nextWake() const override { return this->scheduler.nextWakeTime(); }
    std::vector<policy::AttemptId> firstToken(policy::AttemptId attempt, core::TimePoint now) override
    {
        return this->scheduler.firstToken(attempt, now);
    }
    std::vector<policy::AttemptId> finished(
        policy::AttemptId attempt, const policy::Usage& usage, core::TimePoint now) override
    {
        return this->scheduler.finished(attempt, usage, now);
    }
    policy::AttemptOutcome failed(
        policy::AttemptId attempt, policy::FailureKind kind, core::RunState ran, core::TimePoint now) override
    {
        return this->scheduler.failed(attempt, kind, ran, now);
    }
    void report(policy::EndpointId endpoint, const policy::LoadReport& report) override
    {
        this->scheduler.report(endpoint, report);
    }
    void cacheEvent(policy::EndpointId endpoint, const policy::CacheEvent& event) override
    {
        this->scheduler.cacheEvent(endpoint, event);
    }
    void merge(const policy::PoisonNotice& notice, core::TimePoint now) override { this->scheduler.merge(notice, now); }
    std::optional<policy::PauseOrder> paused(const policy::ProgramPause& pause, core::TimePoint now) override
    {
        return this->variant.pauseCache ? this->scheduler.paused(pause, now) : std::nullopt;
    }
    void resumed(std::uint64_t program, core::TimePoint now) override { this->scheduler.resumed(program, now); }
    void programEnded(std::uint64_t program) override { this->scheduler.programEnded(program); }
    void tick(core::TimePoint now) override { this->scheduler.tick(now); }
    bool releases() const override { return true; }
    std::pair<std::size_t, std::size_t> ejected(policy::EndpointId endpoint) const override
    {
        return this->scheduler.health().countEjected(this->scheduler.router().endpoints().row(endpoint).service);
    }

private:
    Variant variant;
    policy::Scheduler scheduler;
};

} // namespace

std::unique_ptr<Decider> makeSchedulerDecider(const DeciderSettings& settings, std::uint64_t seed)
{
    return std::make_unique<SchedulerDecider>(settings, seed);
}

} // namespace lagoontiller::bench
