#pragma once

#include "policy/Scheduler.h"

#include <memory>
#include <string>

namespace lagoontiller::bench {

/// \brief Scheduling policy of one entry node, with the interface of `policy::Scheduler`.
class Decider {
public:
    Decider() = default;
    Decider(const Decider&) = delete;
    Decider& operator=(const Decider&) = delete;
    virtual ~Decider() = default;

    virtual policy::EndpointId upsert(const policy::EndpointSpec& spec, core::TimePoint now) = 0;
    [[nodiscard]] virtual tl::expected<std::vector<policy::DroppedCall>, policy::Refusal> arrive(
        const policy::ScheduledCall& call, core::TimePoint now)
        = 0;
    [[nodiscard]] virtual policy::ScheduleStep next(core::TimePoint now) = 0;
    [[nodiscard]] virtual std::optional<core::TimePoint> nextWake() const = 0;
    virtual std::vector<policy::AttemptId> firstToken(policy::AttemptId attempt, core::TimePoint now) = 0;
    virtual std::vector<policy::AttemptId> finished(
        policy::AttemptId attempt, const policy::Usage& usage, core::TimePoint now)
        = 0;
    [[nodiscard]] virtual policy::AttemptOutcome failed(
        policy::AttemptId attempt, policy::FailureKind kind, core::RunState ran, core::TimePoint now)
        = 0;
    virtual void report(policy::EndpointId endpoint, const policy::LoadReport& report) = 0;
    virtual void cacheEvent(policy::EndpointId endpoint, const policy::CacheEvent& event) = 0;
    virtual void merge(const policy::PoisonNotice& notice, core::TimePoint now) = 0;
    [[nodiscard]] virtual std::optional<policy::PauseOrder> paused(
        const policy::ProgramPause& pause, core::TimePoint now)
        = 0;
    virtual void resumed(std::uint64_t program, core::TimePoint now) = 0;
    virtual void programEnded(std::uint64_t program) = 0;
    virtual void tick(core::TimePoint now) = 0;
    /// \brief Whether the policy makes engines release the caches of ended programs.
    [[nodiscard]] virtual bool releases() const = 0;
    /// \brief Numbers of ejected and live endpoints in the service of `endpoint`.
    [[nodiscard]] virtual std::pair<std::size_t, std::size_t> ejected(policy::EndpointId endpoint) const = 0;
};

enum class PolicyKind : int { Scheduler, RoundRobin, LeastLoad, StickyHash, FirstCome };

inline constexpr std::array baselines { PolicyKind::RoundRobin, PolicyKind::LeastLoad, PolicyKind::StickyHash,
    PolicyKind::FirstCome };

[[nodiscard]] std::string nameOf(PolicyKind kind);

/// \brief Elements of the scheduler that an ablation run enables or disables.
struct Variant {
    bool affinity = true;
    bool spread = true;
    bool queueOrder = true;
    bool admission = true;
    bool memory = true;
    bool retry = true;
    bool hedging = false;
    bool ejection = true;
    bool poison = true;
    bool pauseCache = true;
    bool kvMove = true;
};

struct DeciderSettings {
    std::size_t nodes = 12;
    std::size_t engines = 10;
    std::size_t slots = 8;
    std::vector<std::string> customers;
    Variant variant;
};

[[nodiscard]] std::unique_ptr<Decider> makeSchedulerDecider(const DeciderSettings& settings, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<Decider> makeBaseline(
    PolicyKind kind, const DeciderSettings& settings, std::uint64_t seed);

} // namespace lagoontiller::bench
