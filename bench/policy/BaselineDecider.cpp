#include "bench/policy/Decider.h"
#include "core/Hash.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace lagoontiller::bench {

namespace {

constexpr core::Duration firstByteTimeout = std::chrono::seconds(30);
constexpr core::Duration silenceTimeout = std::chrono::seconds(10);
constexpr std::size_t maximumAttempts = 4;
constexpr core::Duration retryDelay = std::chrono::milliseconds(100);

/// \brief Baseline policies without admission control, health checks or cache state.
///
/// A failed call that may be repeated is retried on another endpoint, as simple proxies do.
class BaselineDecider final : public Decider {
public:
    BaselineDecider(PolicyKind kind, const DeciderSettings& settings, std::uint64_t seed)
        : kind(kind)
        , random(seed)
        , slotsPerNode(std::max<std::size_t>(1, settings.engines * settings.slots / settings.nodes))
        , turn(seed)
    {
    }

    policy::EndpointId upsert(const policy::EndpointSpec& spec, core::TimePoint /*now*/) override
    {
        const auto found = std::find_if(this->endpoints.begin(), this->endpoints.end(),
            [&](const auto& each) { return each.spec.name == spec.name; });
        if (found != this->endpoints.end()) {
            found->spec = spec;
            return static_cast<policy::EndpointId>(found - this->endpoints.begin());
        }
        this->endpoints.push_back({ spec, 0, 0 });
        return static_cast<policy::EndpointId>(this->endpoints.size() - 1);
    }

    tl::expected<std::vector<policy::DroppedCall>, policy::Refusal> arrive(
        const policy::ScheduledCall& call, core::TimePoint /*now*/) override
    {
        this->waiting.push_back({ call, {} });
        return std::vector<policy::DroppedCall> {};
    }

    policy::ScheduleStep next(core::TimePoint now) override
    {
        policy::ScheduleStep step;
        while (!this->retries.empty() && this->retries.begin()->first <= now) {
            this->waiting.push_front(this->retries.begin()->second);
            this->retries.erase(this->retries.begin());
        }
        std::deque<Call> kept;
        while (!this->waiting.empty()) {
            Call call = this->waiting.front();
            this->waiting.pop_front();
            const bool model = !call.request.route.model.empty();
            const bool full = this->kind == PolicyKind::FirstCome && model && this->runningModels >= this->slotsPerNode;
            const auto endpoint = full ? std::nullopt : this->choose(call);
            if (!endpoint) {
                kept.push_back(call);
                continue;
            }
            call.tried.push_back(*endpoint);
            this->endpoints[*endpoint].own += 1;
            this->runningModels += model ? 1 : 0;
            const policy::AttemptId id = ++this->lastAttempt;
            step.assignments.push_back(
                { id, call.request.id, *endpoint, 0, firstByteTimeout, silenceTimeout, std::nullopt, false });
            this->running.emplace(id, std::move(call));
        }
        this->waiting = std::move(kept);
        return step;
    }

    std::optional<core::TimePoint> nextWake() const override
    {
        return this->retries.empty() ? std::nullopt : std::optional(this->retries.begin()->first);
    }
    std::vector<policy::AttemptId> firstToken(policy::AttemptId /*attempt*/, core::TimePoint /*now*/) override
    {
        return {};
    }
    std::vector<policy::AttemptId> finished(
        policy::AttemptId attempt, const policy::Usage& /*usage*/, core::TimePoint /*now*/) override
    {
        this->end(attempt);
        return {};
    }
    policy::AttemptOutcome failed(
        policy::AttemptId attempt, policy::FailureKind /*kind*/, core::RunState ran, core::TimePoint now) override
    {
        policy::AttemptOutcome outcome;
        const Call call = this->end(attempt);
        if ((call.request.route.repeatable || ran == core::RunState::NotRun) && call.tried.size() < maximumAttempts) {
            outcome.retryAt = now + retryDelay;
            this->retries.emplace(*outcome.retryAt, call);
        } else {
            outcome.error = core::Error(core::ResultCode::EndpointFailed, "failed", ran);
        }
        return outcome;
    }
    void report(policy::EndpointId endpoint, const policy::LoadReport& report) override
    {
        this->endpoints[endpoint].reported = report.running + report.waiting;
    }
    void cacheEvent(policy::EndpointId /*endpoint*/, const policy::CacheEvent& /*event*/) override { }
    void merge(const policy::PoisonNotice& /*notice*/, core::TimePoint /*now*/) override { }
    std::optional<policy::PauseOrder> paused(const policy::ProgramPause& /*p*/, core::TimePoint /*now*/) override
    {
        return std::nullopt;
    }
    void resumed(std::uint64_t /*program*/, core::TimePoint /*now*/) override { }
    void programEnded(std::uint64_t /*program*/) override { }
    void tick(core::TimePoint /*now*/) override { }
    bool releases() const override { return false; }
    std::pair<std::size_t, std::size_t> ejected(policy::EndpointId /*endpoint*/) const override { return { 0, 1 }; }

private:
    struct Endpoint {
        policy::EndpointSpec spec;
        std::uint32_t reported = 0;
        std::uint32_t own = 0;
    };
    struct Call {
        policy::ScheduledCall request;
        std::vector<policy::EndpointId> tried;
    };

    std::optional<policy::EndpointId> choose(const Call& call)
    {
        std::vector<policy::EndpointId> live;
        std::vector<policy::EndpointId> untried;
        for (policy::EndpointId id = 0; id < this->endpoints.size(); ++id) {
            const policy::EndpointSpec& spec = this->endpoints[id].spec;
            if (spec.service != call.request.route.service || spec.state != policy::EndpointState::Live) {
                continue;
            }
            live.push_back(id);
            if (std::find(call.tried.begin(), call.tried.end(), id) == call.tried.end()) {
                untried.push_back(id);
            }
        }
        const auto& from = untried.empty() ? live : untried;
        if (from.empty()) {
            return std::nullopt;
        }
        if (this->kind == PolicyKind::RoundRobin) {
            return from[this->turn++ % from.size()];
        }
        std::optional<std::pair<std::uint64_t, policy::EndpointId>> best;
        for (const policy::EndpointId id : from) {
            const std::pair<std::uint64_t, policy::EndpointId> rated { this->rating(call, id), id };
            best = best ? std::min(*best, rated) : rated;
        }
        return best->second;
    }

    std::uint64_t rating(const Call& call, policy::EndpointId id)
    {
        constexpr unsigned tieBits = 16;
        if (this->kind == PolicyKind::StickyHash) {
            return core::hash64(this->endpoints[id].spec.name + "/" + std::to_string(call.request.program));
        }
        const Endpoint& endpoint = this->endpoints[id];
        const std::uint64_t load = this->kind == PolicyKind::LeastLoad ? endpoint.reported : endpoint.own;
        return (load << tieBits) + (this->random() >> (64U - tieBits));
    }

    Call end(policy::AttemptId attempt)
    {
        auto node = this->running.extract(attempt);
        Call call = std::move(node.mapped());
        this->endpoints[call.tried.back()].own -= 1;
        this->runningModels -= call.request.route.model.empty() ? 0 : 1;
        return call;
    }

    PolicyKind kind;
    policy::Random random;
    std::size_t slotsPerNode;
    std::uint64_t turn;
    std::vector<Endpoint> endpoints;
    std::deque<Call> waiting;
    std::multimap<core::TimePoint, Call> retries;
    std::unordered_map<policy::AttemptId, Call> running;
    std::size_t runningModels = 0;
    policy::AttemptId lastAttempt = 0;
};

} // namespace

std::string nameOf(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::Scheduler:
        return "ours";
    case PolicyKind::RoundRobin:
        return "round robin";
    case PolicyKind::LeastLoad:
        return "least load";
    case PolicyKind::StickyHash:
        return "sticky hash";
    default:
        return "first come";
    }
}

std::unique_ptr<Decider> makeBaseline(PolicyKind kind, const DeciderSettings& settings, std::uint64_t seed)
{
    return std::make_unique<BaselineDecider>(kind, settings, seed);
}

} // namespace lagoontiller::bench
