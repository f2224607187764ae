#pragma once

#include "control/Effects.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoontiller::tests {

/// \brief What an endpoint does with one request.
enum class EndpointFate : int {
    Answer,
    /// Answers after `delay`.
    Late,
    /// Not a byte of the request arrives.
    NotConnected,
    /// Receives the request and is gone before it runs.
    CrashBeforeRun,
    /// Runs the request and is gone before any answer.
    CrashAfterRun,
    /// Sends two parts of the answer and is gone.
    CrashInStream,
    /// Runs the request and never answers.
    Silent,
    /// Sends two parts of the answer and then nothing.
    SilentInStream,
    Refuse429,
    Refuse503,
};

struct EndpointPlan {
    EndpointFate fate = EndpointFate::Answer;
    core::Duration delay = std::chrono::milliseconds(40);
};

/// \brief One generation that an engine has begun.
struct EngineRun {
    std::string endpoint;
    std::string program;
    std::string requestId;
    std::string lastMessage;
    std::string resumeText;
    core::TimePoint startedAt;
    nlohmann::json body;
};

/// \brief Engines and tool services with chosen faults, and a ledger of what they ran and which memory they hold.
class FakeEndpoints {
public:
    using Schedule = std::function<void(core::Duration, std::function<void()>)>;
    struct EngineCaller {
        std::function<void(const std::string&)> text;
        std::function<void(const engines::EngineFinished&)> finished;
        std::function<void(const engines::EngineFailed&)> failed;
    };
    using ServiceCaller = std::function<void(core::Expected<services::ServiceResponse>)>;

    explicit FakeEndpoints(Schedule schedule)
        : schedule(std::move(schedule))
    {
    }

    void generate(const engines::EngineRequest& request, EngineCaller caller, core::TimePoint now);
    /// \brief Stops a generation; what it holds stays until it is released.
    void cancel(const std::string& requestId);
    void call(const services::ServiceRequest& request, ServiceCaller caller, core::TimePoint now);
    /// \brief False when the engine is not reachable.
    [[nodiscard]] bool release(const std::string& endpoint, const std::string& program);

    /// \brief Words of the answer to a message, each with a trailing blank.
    [[nodiscard]] static std::vector<std::string> answerTo(const std::string& message);
    [[nodiscard]] static std::string textOf(const std::string& message);

    [[nodiscard]] int runsOf(const std::string& key) const;
    /// \brief Pairs of engine and program that hold memory.
    [[nodiscard]] std::set<std::pair<std::string, std::string>> held() const { return this->memory; }

    std::deque<EndpointPlan> enginePlans;
    std::deque<EndpointPlan> servicePlans;
    std::set<std::string> unreachable;
    std::vector<EngineRun> engineRuns;
    /// \brief Times at which any request arrived, by endpoint.
    std::multimap<std::string, core::TimePoint> arrivals;
    core::Duration wordInterval = std::chrono::milliseconds(20);

private:
    void stream(const engines::EngineRequest& request, const std::vector<std::string>& words, std::size_t next,
        std::size_t end, const EndpointPlan& plan, const EngineCaller& caller);
    void finishStream(
        const engines::EngineRequest& request, std::size_t words, const EndpointPlan& plan, const EngineCaller& caller);

    Schedule schedule;
    std::set<std::string> cancelled;
    std::map<std::string, int> serviceRuns;
    std::set<std::pair<std::string, std::string>> memory;
};

} // namespace lagoontiller::tests
