#pragma once

#include "standins/RetryingCaller.h"

#include <string>
#include <vector>

namespace lagoontiller::standins {

/// \brief A call made during the replay, for the check against the ledgers.
struct ReplayedCall {
    std::string key;
    std::string path;
    bool repeatable = false;
    CallerOutcome::Kind kind = CallerOutcome::Kind::Lost;
    /// \brief Refusal that the trace expects; empty when the call must run.
    std::string expectedRefusal;
};

struct ProgramResult {
    std::string name;
    std::string customer;
    std::int64_t latencyMs = 0;
    int turns = 0;
    /// \brief Attempts beyond the first of each step.
    int retries = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    int pendingCommits = 0;
    int refusals = 0;
    std::vector<ReplayedCall> calls;
    /// \brief Differences from the expected outcomes.
    std::vector<std::string> faults;
};

struct ReplayOptions {
    /// \brief Divisor of the pauses.
    double speed = 1;
    /// \brief Suffix that makes program ids and idempotency keys unique per run.
    std::string nonce;
};

/// \brief Replays one program of a trace and compares each answer with the expected outcome.
[[nodiscard]] ProgramResult replayProgram(
    const fakes::TraceProgram& program, EntryList& entries, const std::string& key, const ReplayOptions& options);

} // namespace lagoontiller::standins
