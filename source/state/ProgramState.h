#pragma once

#include "core/Identifiers.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lagoontiller::state {

struct TokenUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
    /// \brief Tokens that count against a budget: prompt and completion tokens.
    [[nodiscard]] std::uint64_t chargedTokens() const noexcept { return this->promptTokens + this->completionTokens; }
    [[nodiscard]] bool operator==(const TokenUsage&) const = default;
};

/// \brief A turn that was answered.
struct StoredTurn {
    std::uint32_t turn = 0;
    std::string digest;
    /// \brief JSON array of the messages that the turn added.
    std::string messages;
    std::string answer;
    TokenUsage usage;
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string endpoint;
    /// \brief Whether `messages` replaces the history of all earlier turns instead of extending it.
    bool replacesHistory = false;
    [[nodiscard]] bool operator==(const StoredTurn&) const = default;
};

enum class CallOutcome : int {
    /// The intent is recorded without a result: the call may have run.
    Intended,
    Finished,
    /// The call may have run and no result was received. A late result replaces this outcome.
    Unknown,
    /// The call was not sent; a later call with the same key may run.
    NotRun,
};

/// \brief Latest call with an idempotency key.
struct StoredCall {
    std::string key;
    std::string digest;
    std::string service;
    std::string path;
    std::string requestId;
    /// \brief False for a repeatable call, of which only the result is recorded.
    bool hasIntent = false;
    CallOutcome outcome = CallOutcome::Intended;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    [[nodiscard]] bool operator==(const StoredCall&) const = default;
};

/// \brief Recorded state of one program, either a root or a sub-agent.
struct ProgramState {
    /// \brief Whether the opening of the program is recorded.
    bool opened = false;
    std::string programClass;
    std::uint64_t documentVersion = 0;
    std::int64_t openedUnixMs = 0;
    std::map<std::uint32_t, StoredTurn> turns;
    std::map<std::string, StoredCall> calls;
    std::set<std::string> endpointsUsed;
    bool ended = false;
    std::string endReason;
    /// \brief Endpoints that have not confirmed the release of the ended program's memory.
    std::set<std::string> openReleases;

    /// \brief Highest turn number up to which all turns are stored; 0 when turn 1 is not.
    [[nodiscard]] std::uint32_t lastContiguousTurn() const noexcept;
    [[nodiscard]] bool operator==(const ProgramState&) const = default;
};

/// \brief Recorded budget use of a root program together with all its sub-agents.
struct RootBudget {
    /// \brief Total tokens that owners may spend without committing another reservation.
    std::uint64_t reservedTokens = 0;
    std::uint64_t usedTokens = 0;
    std::uint32_t turns = 0;
    std::uint32_t calls = 0;
    [[nodiscard]] bool operator==(const RootBudget&) const = default;
};

} // namespace lagoontiller::state
