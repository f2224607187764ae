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
    /// \brief Tokens that count against a budget: prompt and generated.
    [[nodiscard]] std::uint64_t chargedTokens() const noexcept { return this->promptTokens + this->completionTokens; }
    [[nodiscard]] bool operator==(const TokenUsage&) const = default;
};

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
    /// \brief `messages` is the whole history up to this turn, not an addition to the earlier turns.
    bool replacesHistory = false;
    [[nodiscard]] bool operator==(const StoredTurn&) const = default;
};

enum class CallOutcome : int {
    /// An intent without a result: the call may have run.
    Intended,
    Finished,
    /// The outcome will never be known; a late result still replaces it.
    Unknown,
    /// The call did not leave; a later call with the same key may run.
    NotRun,
};

struct StoredCall {
    std::string key;
    std::string digest;
    std::string service;
    std::string path;
    std::string requestId;
    /// \brief False for a repeatable call, which is recorded without an intent.
    bool hasIntent = false;
    CallOutcome outcome = CallOutcome::Intended;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    [[nodiscard]] bool operator==(const StoredCall&) const = default;
};

struct ProgramState {
    bool opened = false;
    std::string programClass;
    std::uint64_t documentVersion = 0;
    std::int64_t openedUnixMs = 0;
    std::map<std::uint32_t, StoredTurn> turns;
    std::map<std::string, StoredCall> calls;
    std::set<std::string> endpointsUsed;
    bool ended = false;
    std::string endReason;
    /// \brief Endpoints that may still hold memory of the ended program.
    std::set<std::string> openReleases;

    /// \brief Highest turn up to which all turns are stored; 0 when none is.
    [[nodiscard]] std::uint32_t lastContiguousTurn() const noexcept;
    [[nodiscard]] bool operator==(const ProgramState&) const = default;
};

/// \brief Durable budget of a root program, summed over the root and all its sub-agents.
struct RootBudget {
    /// \brief Tokens that any owner may have spent without another commit.
    std::uint64_t reservedTokens = 0;
    std::uint64_t usedTokens = 0;
    std::uint32_t turns = 0;
    std::uint32_t calls = 0;
    [[nodiscard]] bool operator==(const RootBudget&) const = default;
};

} // namespace lagoontiller::state
