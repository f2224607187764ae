#pragma once

#include "standins/CarefulCaller.h"

#include <string>
#include <vector>

namespace lagoontiller::standins {

/// \brief A call that the program made, for the check against the ledgers.
struct MadeCall {
    std::string key;
    std::string path;
    bool repeatable = false;
    CallerOutcome::Kind kind = CallerOutcome::Kind::Lost;
    /// \brief Refusal that the trace states; empty when the call must run.
    std::string expectedRefusal;
};

struct ProgramResult {
    std::string name;
    std::string customer;
    std::int64_t latencyMs = 0;
    int turns = 0;
    /// \brief Requests beyond the first one of each step.
    int retries = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    int pendingCommits = 0;
    int refusals = 0;
    std::vector<MadeCall> calls;
    /// \brief Stated outcomes that did not hold.
    std::vector<std::string> faults;
};

struct ReplayOptions {
    /// \brief Pauses are divided by this.
    double speed = 1;
    /// \brief Makes program ids and idempotency keys of different runs differ.
    std::string nonce;
};

/// \brief Plays one program of a trace and compares each answer with the stated outcome.
[[nodiscard]] ProgramResult playProgram(
    const fakes::TraceProgram& program, EntryList& entries, const std::string& key, const ReplayOptions& options);

} // namespace lagoontiller::standins
