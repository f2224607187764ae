#include "standins/RetryingCaller.h"

#include "core/Hash.h"

#include <algorithm>
#include <set>
#include <thread>

namespace lagoontiller::standins {

namespace {

using nlohmann::json;

constexpr int maxAttempts = 12;
constexpr core::Duration retryTimeLimit = std::chrono::seconds(40);
constexpr std::int64_t defaultBackoffMs = 100;
constexpr std::int64_t maxBackoffMs = 5'000;

// Refusals that a retry cannot resolve: the request or the program has to change.
const std::set<std::string>& finalRefusals()
{
    static const std::set<std::string> names { "budget_exhausted", "program_limit_reached", "program_ended",
        "request_isolated", "key_reused", "turn_conflict", "malformed_json", "invalid_utf8", "body_too_large",
        "missing_field", "invalid_field", "missing_key", "unknown_key", "unknown_model", "unknown_service",
        "unknown_program", "unknown_path", "endpoint_refused" };
    return names;
}

/// \brief Hash that distributes the programs over the entries of their region.
std::size_t entrySpread(const ProgramIdentity& program)
{
    return core::hash64(program.id) % 1'000'003;
}

std::int64_t retryDelayMs(const ClientResponse& response, const fakes::Refusal& refusal)
{
    if (refusal.retryAfterMs >= 0)
        return refusal.retryAfterMs;
    const auto header = response.headers.find("retry-after");
    return header == response.headers.end() ? defaultBackoffMs : 1000 * std::atoll(header->second.c_str());
}

std::string describe(const ClientResponse& response)
{
    if (!response.complete)
        return response.error;
    return "status " + std::to_string(response.status) + " " + response.body.substr(0, 200);
}

} // namespace

struct RetryingCaller::RetryState {
    std::string address;
    std::string region;
    std::size_t spread = 0;
    int attempt = 1;
    core::TimePoint deadline;
};

RetryingCaller::RetryingCaller(EntryList& entries, std::string key)
    : entries(entries)
    , key(std::move(key))
{
}

CallerOutcome RetryingCaller::turn(
    const ProgramIdentity& program, std::uint64_t number, const fakes::TraceTurn& turn, const json& messages)
{
    CallerOutcome outcome;
    RetryState retry { this->entries.choose(this->client, this->key, program.region, entrySpread(program), 0, false),
        program.region, entrySpread(program), 1, core::monotonicNow() + retryTimeLimit };
    json body { { "model", turn.model }, { "messages", messages }, { "stream", turn.stream } };
    if (turn.maxTokens > 0)
        body["max_tokens"] = turn.maxTokens;
    ClientRequest request { "POST", "", "/v1/chat/completions", this->headers(program), body.dump() };
    request.headers.push_back("X-Turn: " + std::to_string(number));
    request.headers.push_back(std::string("X-History: ") + (turn.append ? "append" : "full"));
    std::int64_t wait = defaultBackoffMs;
    do {
        outcome.attempts = retry.attempt;
        if (retry.attempt > 1 && this->fetchTurn(retry, program, number, outcome))
            return outcome;
        request.address = retry.address;
        const auto response = this->client.send(request);
        if (this->readTurn(response, turn.stream, outcome))
            return outcome;
        outcome.detail = describe(response);
        wait = retryDelayMs(response, outcome.refusal);
    } while (this->waitForRetry(retry, wait));
    return outcome;
}

bool RetryingCaller::readTurn(const ClientResponse& response, bool stream, CallerOutcome& outcome) const
{
    outcome.kind = CallerOutcome::Kind::Lost;
    outcome.refusal = {};
    if (!response.complete)
        return false;
    if (const auto refusal = fakes::parseRefusal(response.body)) {
        outcome.kind = CallerOutcome::Kind::Refused;
        outcome.refusal = *refusal;
        return finalRefusals().contains(refusal->name);
    }
    const auto answer = stream ? fakes::parseStream(response.body) : fakes::parseCompletion(response.body);
    if (response.status != 200 || !answer)
        return false;
    outcome.kind = CallerOutcome::Kind::Answered;
    outcome.answer = *answer;
    const auto commit = response.headers.find("x-commit-state");
    if (!stream && commit != response.headers.end())
        outcome.answer.commit = commit->second;
    return true;
}

bool RetryingCaller::fetchTurn(
    const RetryState& retry, const ProgramIdentity& program, std::uint64_t number, CallerOutcome& outcome)
{
    ClientRequest request { "GET", retry.address,
        "/v1/programs/" + encodePathPart(program.id) + "/turns/" + std::to_string(number), this->headers(program), "" };
    const auto response = this->client.send(request);
    if (!response.complete || response.status != 200)
        return false;
    CallerOutcome fetched;
    fetched.attempts = outcome.attempts;
    if (!this->readTurn(response, false, fetched) || fetched.kind != CallerOutcome::Kind::Answered)
        return false;
    outcome = fetched;
    return true;
}

CallerOutcome RetryingCaller::call(
    const ProgramIdentity& program, const fakes::TraceCall& call, const std::string& idempotencyKey)
{
    CallerOutcome outcome;
    RetryState retry { this->entries.choose(this->client, this->key, program.region, entrySpread(program), 0, false),
        program.region, entrySpread(program), 1, core::monotonicNow() + retryTimeLimit };
    ClientRequest request { "POST", "", "/v1/services/" + encodePathPart(call.service) + call.path,
        this->headers(program), call.body.dump() };
    request.headers.push_back("Idempotency-Key: " + idempotencyKey);
    request.headers.push_back(std::string("X-Repeatable: ") + (call.repeatable ? "true" : "false"));
    std::int64_t wait = defaultBackoffMs;
    do {
        outcome.attempts = retry.attempt;
        auto lookup = Lookup::NotRun;
        if (retry.attempt > 1)
            lookup = this->lookUpCall(retry, program, idempotencyKey, outcome);
        if (lookup == Lookup::Result || lookup == Lookup::Unknown)
            return outcome;
        wait = defaultBackoffMs;
        if (lookup == Lookup::InProgress || (lookup == Lookup::Unreachable && !call.repeatable))
            continue;
        request.address = retry.address;
        const auto response = this->client.send(request);
        outcome.kind = CallerOutcome::Kind::Lost;
        outcome.detail = describe(response);
        if (!response.complete)
            continue;
        const auto refusal = fakes::parseRefusal(response.body);
        if (response.status == 200 && !refusal) {
            outcome.kind = CallerOutcome::Kind::Answered;
            return outcome;
        }
        outcome.refusal = refusal.value_or(fakes::Refusal {});
        outcome.kind = CallerOutcome::Kind::Refused;
        // The owner never sends such a call again, so the outcome is final.
        if (outcome.refusal.name == "outcome_unknown")
            outcome.kind = CallerOutcome::Kind::MayHaveRun;
        if (outcome.kind == CallerOutcome::Kind::MayHaveRun || finalRefusals().contains(outcome.refusal.name))
            return outcome;
        wait = retryDelayMs(response, outcome.refusal);
    } while (this->waitForRetry(retry, wait));
    return outcome;
}

RetryingCaller::Lookup RetryingCaller::lookUpCall(
    const RetryState& retry, const ProgramIdentity& program, const std::string& idempotencyKey, CallerOutcome& outcome)
{
    // The program id determines the owner of the key; without it the lookup goes to the owner of calls without a
    // program.
    ClientRequest request { "GET", retry.address, "/v1/calls/" + encodePathPart(idempotencyKey), this->headers(program),
        "" };
    const auto response = this->client.send(request);
    if (!response.complete)
        return Lookup::Unreachable;
    const auto refusal = fakes::parseRefusal(response.body);
    if (response.status == 200 && !refusal) {
        outcome.kind = CallerOutcome::Kind::Answered;
        return Lookup::Result;
    }
    if (!refusal)
        return Lookup::Unreachable;
    if (refusal->name == "unknown_call")
        return Lookup::NotRun;
    outcome.refusal = *refusal;
    outcome.detail = describe(response);
    if (refusal->name == "call_in_progress")
        return Lookup::InProgress;
    if (refusal->name != "outcome_unknown")
        return Lookup::Unreachable;
    outcome.kind = CallerOutcome::Kind::MayHaveRun;
    return Lookup::Unknown;
}

CallerOutcome RetryingCaller::end(const ProgramIdentity& program)
{
    CallerOutcome outcome;
    RetryState retry { this->entries.choose(this->client, this->key, program.region, entrySpread(program), 0, false),
        program.region, entrySpread(program), 1, core::monotonicNow() + retryTimeLimit };
    ClientRequest request { "POST", "", "/v1/programs/" + encodePathPart(program.id) + "/end", this->headers(program),
        "{}" };
    std::int64_t wait = defaultBackoffMs;
    do {
        outcome.attempts = retry.attempt;
        request.address = retry.address;
        const auto response = this->client.send(request);
        outcome.detail = describe(response);
        if (!response.complete)
            continue;
        const auto refusal = fakes::parseRefusal(response.body).value_or(fakes::Refusal {});
        // On a retry "program_ended" means that an earlier attempt succeeded and only its answer was lost.
        const bool ended = retry.attempt > 1 && refusal.name == "program_ended";
        outcome.kind = CallerOutcome::Kind::Answered;
        if (response.status == 200 || ended)
            return outcome;
        outcome.kind = CallerOutcome::Kind::Refused;
        outcome.refusal = refusal;
        if (finalRefusals().contains(refusal.name))
            return outcome;
        wait = retryDelayMs(response, refusal);
    } while (this->waitForRetry(retry, wait));
    return outcome;
}

std::vector<std::string> RetryingCaller::headers(const ProgramIdentity& program) const
{
    std::vector<std::string> fields { "Authorization: Bearer " + this->key, "Content-Type: application/json",
        "X-Program-Id: " + program.id };
    if (!program.parent.empty())
        fields.push_back("X-Parent-Program-Id: " + program.parent);
    if (!program.programClass.empty())
        fields.push_back("X-Class: " + program.programClass);
    return fields;
}

bool RetryingCaller::waitForRetry(RetryState& retry, std::int64_t retryAfterMs)
{
    const auto wait = std::chrono::milliseconds(std::clamp(retryAfterMs, std::int64_t { 1 }, maxBackoffMs));
    if (retry.attempt >= maxAttempts || core::monotonicNow() + wait > retry.deadline)
        return false;
    std::this_thread::sleep_for(wait);
    ++retry.attempt;
    retry.address = this->entries.choose(
        this->client, this->key, retry.region, retry.spread, static_cast<std::size_t>(retry.attempt) - 1, true);
    return true;
}

} // namespace lagoontiller::standins
