#include "tests/support/FakeEndpoints.h"

namespace lagoontiller::tests {

namespace {

constexpr std::size_t wordsBeforeFault = 2;

EndpointPlan take(std::deque<EndpointPlan>& plans)
{
    if (plans.empty())
        return {};
    const auto plan = plans.front();
    plans.pop_front();
    return plan;
}

} // namespace

std::vector<std::string> FakeEndpoints::answerTo(const std::string& message)
{
    std::vector<std::string> words;
    for (int index = 1; index <= 5; ++index)
        words.push_back(message + "#" + std::to_string(index) + " ");
    return words;
}

std::string FakeEndpoints::textOf(const std::string& message)
{
    std::string text;
    for (const auto& word : answerTo(message))
        text += word;
    return text;
}

void FakeEndpoints::generate(const engines::EngineRequest& request, EngineCaller caller, core::TimePoint now)
{
    const auto plan = take(this->enginePlans);
    const auto fail = [&](http::FailureKind kind, int status, core::Duration delay) {
        this->schedule(delay, [caller, kind, status] { caller.failed({ kind, status, "fake" }); });
    };
    if (plan.fate == EndpointFate::NotConnected || this->unreachable.contains(request.endpoint)) {
        fail(http::FailureKind::NotConnected, 0, plan.delay);
        return;
    }
    this->arrivals.emplace(request.endpoint, now);
    if (plan.fate == EndpointFate::Refuse429 || plan.fate == EndpointFate::Refuse503) {
        fail(http::FailureKind::NoAnswer, plan.fate == EndpointFate::Refuse429 ? 429 : 503, plan.delay);
        return;
    }
    if (plan.fate == EndpointFate::CrashBeforeRun) {
        fail(http::FailureKind::NoAnswer, 0, plan.delay);
        return;
    }
    const std::string message = request.body.at("messages").back().value("content", "");
    this->engineRuns.push_back(
        { request.endpoint, request.cacheKey, request.requestId, message, request.resumeText, now, request.body });
    this->memory.emplace(request.endpoint, request.cacheKey);
    if (plan.fate == EndpointFate::CrashAfterRun) {
        fail(http::FailureKind::NoAnswer, 0, plan.delay);
        return;
    }
    if (plan.fate == EndpointFate::Silent) {
        fail(http::FailureKind::FirstByteTimeout, 0, request.firstByteTimeout);
        return;
    }
    const auto words = answerTo(message);
    std::size_t first = 0;
    std::string covered;
    while (first < words.size() && covered.size() < request.resumeText.size())
        covered += words[first++];
    const bool broken = plan.fate == EndpointFate::CrashInStream || plan.fate == EndpointFate::SilentInStream;
    const auto end = broken ? std::min(words.size(), first + wordsBeforeFault) : words.size();
    this->schedule(plan.delay,
        [this, request, words, first, end, plan, caller] { this->stream(request, words, first, end, plan, caller); });
}

void FakeEndpoints::stream(const engines::EngineRequest& request, const std::vector<std::string>& words,
    std::size_t next, std::size_t end, const EndpointPlan& plan, const EngineCaller& caller)
{
    if (this->cancelled.contains(request.requestId))
        return;
    if (next == end) {
        this->finishStream(request, words.size(), plan, caller);
        return;
    }
    this->memory.emplace(request.endpoint, request.cacheKey);
    caller.text(words[next]);
    this->schedule(this->wordInterval,
        [this, request, words, next, end, plan, caller] { this->stream(request, words, next + 1, end, plan, caller); });
}

void FakeEndpoints::finishStream(
    const engines::EngineRequest& request, std::size_t words, const EndpointPlan& plan, const EngineCaller& caller)
{
    if (plan.fate == EndpointFate::CrashInStream) {
        caller.failed({ http::FailureKind::Interrupted, 200, "fake" });
        return;
    }
    if (plan.fate == EndpointFate::SilentInStream) {
        this->schedule(request.silenceTimeout, [caller] {
            caller.failed({ http::FailureKind::SilenceTimeout, 200, "fake" });
        });
        return;
    }
    engines::EngineFinished result;
    result.usage.promptTokens = request.body.dump().size() / 4;
    result.usage.completionTokens = words;
    result.finishReason = "stop";
    caller.finished(result);
}

void FakeEndpoints::cancel(const std::string& requestId)
{
    this->cancelled.insert(requestId);
}

void FakeEndpoints::call(const services::ServiceRequest& request, ServiceCaller caller, core::TimePoint now)
{
    const auto plan = take(this->servicePlans);
    const auto fail = [&](core::ResultCode code, core::RunState ran, core::Duration delay) {
        this->schedule(delay, [caller, code, ran] { caller(core::failure(code, "fake", ran)); });
    };
    if (plan.fate == EndpointFate::NotConnected || this->unreachable.contains(request.endpoint)) {
        fail(core::ResultCode::EndpointFailed, core::RunState::NotRun, plan.delay);
        return;
    }
    this->arrivals.emplace(request.endpoint, now);
    if (plan.fate == EndpointFate::CrashBeforeRun) {
        fail(core::ResultCode::EndpointFailed, core::RunState::MayHaveRun, plan.delay);
        return;
    }
    if (plan.fate == EndpointFate::Refuse429 || plan.fate == EndpointFate::Refuse503) {
        const int status = plan.fate == EndpointFate::Refuse429 ? 429 : 503;
        this->schedule(plan.delay, [caller, status] { caller(services::ServiceResponse { status, "", "" }); });
        return;
    }
    const int run = ++this->serviceRuns[request.idempotencyKey];
    if (plan.fate == EndpointFate::CrashAfterRun || plan.fate == EndpointFate::CrashInStream) {
        fail(core::ResultCode::EndpointFailed, core::RunState::MayHaveRun, plan.delay);
        return;
    }
    if (plan.fate == EndpointFate::Silent || plan.fate == EndpointFate::SilentInStream) {
        fail(core::ResultCode::EndpointTimeout, core::RunState::MayHaveRun, request.timeout);
        return;
    }
    const auto body = "{\"key\":\"" + request.idempotencyKey + "\",\"run\":" + std::to_string(run) + "}";
    this->schedule(plan.delay, [caller, body] { caller(services::ServiceResponse { 200, "application/json", body }); });
}

bool FakeEndpoints::release(const std::string& endpoint, const std::string& program)
{
    if (this->unreachable.contains(endpoint))
        return false;
    this->memory.erase({ endpoint, program });
    return true;
}

int FakeEndpoints::runsOf(const std::string& key) const
{
    const auto found = this->serviceRuns.find(key);
    return found == this->serviceRuns.end() ? 0 : found->second;
}

} // namespace lagoontiller::tests
