#include "standins/ReplayProgram.h"

#include <thread>

namespace lagoontiller::standins {

namespace {

using nlohmann::json;
using Kind = CallerOutcome::Kind;

std::string describe(const CallerOutcome& outcome)
{
    switch (outcome.kind) {
    case Kind::Answered:
        return "answered";
    case Kind::Refused:
        return "refused " + outcome.refusal.name + " (" + outcome.refusal.ran + ") " + outcome.refusal.message;
    case Kind::MayHaveRun:
        return "may have run";
    case Kind::Lost:
        return "lost: " + outcome.detail;
    }
    return "";
}

/// \brief Replays the steps of a program or sub-agent. A failed step ends it, because later steps depend on it.
class ProgramReplay {
public:
    ProgramReplay(RetryingCaller& caller, ProgramIdentity identity, const ReplayOptions& options, ProgramResult& result)
        : caller(caller)
        , identity(std::move(identity))
        , options(options)
        , result(result)
    {
    }

    [[nodiscard]] bool replay(const std::vector<fakes::TraceStep>& steps)
    {
        for (const auto& step : steps) {
            if (!std::visit([this](const auto& action) { return this->run(action); }, step.action))
                return false;
        }
        return true;
    }

private:
    bool run(const fakes::TraceTurn& turn)
    {
        const auto number = this->lastTurn + 1;
        auto full = this->history;
        for (const auto& message : turn.messages)
            full.push_back(message);
        const auto outcome = this->caller.turn(this->identity, number, turn, turn.append ? turn.messages : full);
        this->result.retries += outcome.attempts - 1;
        const auto label = this->identity.id + " turn " + std::to_string(number);
        if (!turn.refused.empty())
            return this->checkRefusal(label, outcome, turn.refused);
        if (outcome.kind != Kind::Answered)
            return this->fault(label + ": " + describe(outcome));
        ++this->result.turns;
        ++this->lastTurn;
        this->count(outcome.answer);
        if (outcome.answer.commit.empty())
            this->fault(label + ": the answer has no commit state");
        if (outcome.answer.text != turn.expectedText)
            return this->fault(
                label + ": text differs, got '" + outcome.answer.text + "', expected '" + turn.expectedText + "'");
        full.push_back({ { "role", "assistant" }, { "content", outcome.answer.text } });
        this->history = std::move(full);
        return true;
    }

    bool run(const fakes::TraceCall& call)
    {
        const auto key = call.key + "-" + this->options.nonce;
        const auto outcome = this->caller.call(this->identity, call, key);
        this->result.retries += outcome.attempts - 1;
        this->result.calls.push_back({ key, call.path, call.repeatable, outcome.kind, call.refused });
        const auto label = this->identity.id + " call " + call.key;
        if (!call.refused.empty())
            return this->checkRefusal(label, outcome, call.refused);
        // A call that may have run is checked against the ledgers.
        if (outcome.kind == Kind::Answered || outcome.kind == Kind::MayHaveRun)
            return true;
        return this->fault(label + ": " + describe(outcome));
    }

    bool run(const fakes::TracePause& pause)
    {
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(static_cast<double>(pause.length.count()) / this->options.speed));
        return true;
    }

    bool run(const fakes::TraceSubAgent& agent)
    {
        auto own = this->identity;
        own.parent = this->identity.id;
        own.id = this->identity.id + "~" + agent.name;
        ProgramReplay replay(this->caller, own, this->options, this->result);
        return replay.replay(agent.steps);
    }

    bool run(const fakes::TraceEnd&)
    {
        const auto outcome = this->caller.end(this->identity);
        this->result.retries += outcome.attempts - 1;
        return outcome.kind == Kind::Answered || this->fault(this->identity.id + " end: " + describe(outcome));
    }

    bool checkRefusal(const std::string& label, const CallerOutcome& outcome, const std::string& stated)
    {
        ++this->result.refusals;
        if (outcome.kind != Kind::Refused || outcome.refusal.name != stated)
            return this->fault(label + ": expected refusal " + stated + ", got " + describe(outcome));
        if (outcome.refusal.ran != "not run")
            return this->fault(label + ": refusal " + stated + " says '" + outcome.refusal.ran + "'");
        return true;
    }

    void count(const fakes::ChatAnswer& answer)
    {
        this->result.promptTokens += answer.promptTokens;
        this->result.cachedTokens += answer.cachedTokens;
        if (answer.commit == "pending")
            ++this->result.pendingCommits;
    }

    bool fault(std::string text)
    {
        this->result.faults.push_back(std::move(text));
        return false;
    }

    RetryingCaller& caller;
    ProgramIdentity identity;
    const ReplayOptions& options;
    ProgramResult& result;
    std::uint64_t lastTurn = 0;
    json history = json::array();
};

} // namespace

ProgramResult replayProgram(
    const fakes::TraceProgram& program, EntryList& entries, const std::string& key, const ReplayOptions& options)
{
    ProgramResult result;
    result.name = program.name;
    result.customer = program.customer;
    RetryingCaller caller(entries, key);
    const ProgramIdentity identity { program.region + "." + program.name + "-" + options.nonce, "",
        program.programClass, program.region };
    const auto start = core::monotonicNow();
    ProgramReplay replay(caller, identity, options, result);
    try {
        (void)replay.replay(program.steps);
    } catch (const json::exception& error) {
        result.faults.push_back(identity.id + ": malformed answer: " + error.what());
    }
    result.latencyMs = std::chrono::duration_cast<std::chrono::milliseconds>(core::monotonicNow() - start).count();
    return result;
}

} // namespace lagoontiller::standins
