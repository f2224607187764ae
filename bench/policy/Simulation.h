#pragma once

#include "bench/policy/Decider.h"
#include "bench/policy/EngineDouble.h"
#include "bench/policy/Workload.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace lagoontiller::bench {

inline constexpr core::Duration defaultReportLag = std::chrono::milliseconds(300);

enum class FaultKind : int {
    EndpointCrash,
    SilentConnections,
    PoisonRequest,
    StoreOutage,
    LaggedReports,
    RegionCut,
    ZoneLost,
    LeavingWave,
};

[[nodiscard]] std::string nameOf(FaultKind kind);

struct Fault {
    FaultKind kind = FaultKind::EndpointCrash;
    core::Duration at = std::chrono::seconds(30);
};

/// \brief Time from the start of a fault until the platform has fully recovered.
inline constexpr core::Duration faultLength = std::chrono::seconds(20);

struct RunSettings {
    PolicyKind policy = PolicyKind::Scheduler;
    double load = 0.7;
    std::vector<Fault> faults;
    std::uint64_t seed = 1;
    core::Duration length = std::chrono::seconds(120);
    std::size_t engines = 10;
    Variant variant;
};

struct EndedProgram {
    core::TimePoint arrived {};
    double seconds = 0;
};

struct RunResult {
    std::vector<EndedProgram> programs;
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    /// \brief Programs that ended because a call without an answer may have run.
    std::uint64_t failed = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t completedInTime = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t wastedTokens = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t poisonLosses = 0;
    /// \brief Violation counts by condition; empty if none was violated.
    std::map<std::string, std::uint64_t> violations;
};

/// \brief Simulates the programs, entry nodes, engines and services of one deployment in virtual time.
class Simulation {
public:
    Simulation(const Deployment& deployment, const RunSettings& settings);
    [[nodiscard]] RunResult run();

private:
    struct Node {
        std::unique_ptr<Decider> decider;
        std::size_t region = 0;
        std::size_t zone = 0;
        std::map<policy::AttemptId, std::size_t> attempts;
        std::optional<core::TimePoint> wake;
    };
    struct Endpoint {
        std::string name;
        bool model = true;
        std::size_t zone = 0;
        std::size_t region = 0;
        bool up = true;
        /// \brief Incremented when the process stops, to identify results of an earlier process.
        std::uint32_t generation = 0;
        std::uint32_t version = 0;
        policy::EndpointState listed = policy::EndpointState::Live;
        std::optional<core::TimePoint> leavingSince;
        std::optional<EngineDouble> engine;
        std::set<std::size_t> attempts;
    };
    struct Program {
        ArrivingProgram arriving;
        std::size_t node = 0;
        std::size_t step = 0;
        policy::CallId call = 0;
        core::TimePoint callSince {};
        bool poison = false;
        int resends = 0;
        /// \brief Attempts of the current call that have not ended.
        int running = 0;
        bool ended = false;
        std::map<std::uint32_t, std::uint32_t> computed;
        std::map<std::size_t, int> runs;
    };
    struct Attempt {
        std::size_t node = 0;
        policy::AttemptId id = 0;
        policy::CallId call = 0;
        std::size_t program = 0;
        std::size_t endpoint = 0;
        core::Duration silence {};
        bool started = false;
        bool first = false;
        /// \brief The connection is silent: no event reaches the node.
        bool silent = false;
        bool done = false;
    };
    struct Event {
        core::TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    struct OccursLater {
        bool operator()(const Event& a, const Event& b) const
        {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };

    // Set-up and virtual time (Simulation.cpp).
    void buildEndpoints();
    void buildNodes();
    void schedule(core::Duration delay, std::function<void()> action);
    void schedulePeriodic(core::Duration interval, const std::function<void()>& action);
    void updateVmList(std::size_t endpoint, policy::EndpointState state);
    [[nodiscard]] policy::EndpointSpec specOf(const Endpoint& endpoint) const;
    void recordViolation(const std::string& condition) { this->result.violations[condition] += 1; }
    void tickNodes();

    // Programs (Callers.cpp).
    void startProgram(std::size_t program);
    void runStep(std::size_t program);
    void pause(std::size_t program, const PlanStep& step);
    void submitCall(std::size_t program);
    [[nodiscard]] policy::ScheduledCall callOf(const Program& program, std::size_t index) const;
    [[nodiscard]] const ProgramPlan& planOf(const Program& program) const;
    void refused(std::size_t program, const core::Error& error, core::Duration retryAfter);
    void answered(std::size_t program);
    void endProgram(std::size_t program, bool success);
    void dispatchCalls(std::size_t node);

    // Attempts (Attempts.cpp).
    void send(std::size_t node, const policy::Assignment& assignment);
    void checkAssignment(const Program& program, const policy::Assignment& assignment, std::size_t endpoint);
    void deliverRequest(std::size_t attempt, std::uint32_t cachedHere);
    void executeToolCall(std::size_t attempt);
    void advanceEngine(std::size_t endpoint);
    void handleOutput(std::size_t endpoint, const EngineOutput& output);
    void finish(std::size_t attempt, const policy::Usage& usage);
    void fail(std::size_t attempt, policy::FailureKind kind, core::RunState ran);
    void cancel(std::size_t node, const std::vector<policy::AttemptId>& attempts);
    void silenceConnection(std::size_t attempt);
    [[nodiscard]] core::Duration networkDelay(const Attempt& attempt, std::uint64_t bytes) const;
    [[nodiscard]] bool isDisconnected(std::size_t regionA, std::size_t regionB) const;
    [[nodiscard]] const PlanStep& stepOf(const Program& program) const;
    [[nodiscard]] std::uint64_t cacheKey(std::size_t program, std::uint32_t context) const;

    // Reports and faults (Faults.cpp).
    void sendReports();
    void inject(const Fault& fault);
    void crash(std::size_t endpoint, core::Duration restart);
    void replaceVm(std::size_t endpoint);
    void broadcastNotice(const policy::PoisonNotice& notice, std::size_t from);

    const Deployment& deployment;
    RunSettings settings;
    policy::Random random;
    RunResult result;
    core::TimePoint now;
    core::TimePoint start;
    std::uint64_t sequence = 0;
    std::priority_queue<Event, std::vector<Event>, OccursLater> events;
    std::vector<Node> nodes;
    std::vector<Endpoint> endpoints;
    std::vector<Program> programs;
    std::vector<Attempt> attempts;
    std::map<policy::CallId, std::size_t> calls;
    policy::CallId lastCall = 0;
    std::size_t open = 0;
    core::Duration reportLag = defaultReportLag;
    double reportLoss = 0;
    bool storeDown = false;
    std::optional<std::size_t> disconnectedRegion;
    std::set<std::size_t> poisoned;
};

} // namespace lagoontiller::bench
