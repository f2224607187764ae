#pragma once

#include "bench/fakes/ChatAnswer.h"
#include "bench/fakes/Trace.h"
#include "standins/EntryList.h"

#include <string>

namespace lagoontiller::standins {

/// \brief How a turn or call ended for the caller.
struct CallerOutcome {
    enum class Kind : int {
        Answered,
        Refused,
        /// \brief The system reports that the call may have run and has no result.
        MayHaveRun,
        /// \brief No answer within the permitted attempts.
        Lost,
    };
    Kind kind = Kind::Lost;
    fakes::ChatAnswer answer;
    fakes::Refusal refusal;
    std::string detail;
    int attempts = 0;
};

/// \brief Ids of the program that a request belongs to.
struct ProgramIdentity {
    std::string id;
    std::string parent;
    std::string programClass;
    std::string region;
};

/// \brief Calls entry nodes for one customer. Before a retry at another entry, with the same turn number or key, it
/// asks for the stored result. Never repeats a call that may have run under a new key.
class RetryingCaller {
public:
    RetryingCaller(EntryList& entries, std::string key);

    [[nodiscard]] CallerOutcome turn(const ProgramIdentity& program, std::uint64_t number, const fakes::TraceTurn& turn,
        const nlohmann::json& messages);
    [[nodiscard]] CallerOutcome call(
        const ProgramIdentity& program, const fakes::TraceCall& call, const std::string& idempotencyKey);
    [[nodiscard]] CallerOutcome end(const ProgramIdentity& program);

private:
    struct RetryState;

    [[nodiscard]] std::vector<std::string> headers(const ProgramIdentity& program) const;
    [[nodiscard]] bool waitForRetry(RetryState& retry, std::int64_t retryAfterMs);
    [[nodiscard]] bool fetchTurn(
        const RetryState& retry, const ProgramIdentity& program, std::uint64_t number, CallerOutcome& outcome);
    enum class Lookup : int { Result, NotRun, InProgress, Unknown, Unreachable };
    [[nodiscard]] Lookup lookUpCall(const RetryState& retry, const ProgramIdentity& program,
        const std::string& idempotencyKey, CallerOutcome& outcome);
    [[nodiscard]] bool readTurn(const ClientResponse& response, bool stream, CallerOutcome& outcome) const;

    EntryList& entries;
    std::string key;
    HttpClient client;
};

} // namespace lagoontiller::standins
